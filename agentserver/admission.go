package agentserver

import (
	"context"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/streamer"
)

const (
	defaultSlots = 256
	defaultQueue = 1024
	// refusalWait is when a refused order is worth sending again.
	refusalWait = time.Second
)

// QueuedOrder is one order that waits for a slot.
type QueuedOrder struct {
	Order *streamer.Order
	// Cost is the estimated work in tokens.
	Cost float64
}

// Ticket is the right to use one slot of the upstream.
type Ticket struct {
	// Preempted returns a channel that is closed when the slot of the current run must be given up. Without Preempted and
	// Resume the slot is kept to the end.
	Preempted func() <-chan struct{}
	// Resume gives a preempted slot back, tells how many tokens were made so far, and waits for the next one. Its error
	// ends the run.
	Resume func(ctx context.Context, tokens int) error
	// OnFirstToken, if set, is told once that the first token was made.
	OnFirstToken func()
	// Finish gives the slot back and tells how many tokens were made over all runs; it is called once.
	Finish func(tokens int)
}

// RefusalError is a truthful rejection of an order that was never given to the upstream.
type RefusalError struct {
	Code    string
	RetryAt time.Time
}

// Error returns the code.
func (r *RefusalError) Error() string {
	return "agentserver: refused: " + r.Code
}

// queue admits in order of arrival with bounded slots and places.
type queue struct {
	slots  chan struct{}
	places int

	mu      sync.Mutex
	waiting int
}

func newQueue(slots, places int) *queue {
	return &queue{slots: make(chan struct{}, slots), places: places}
}

func (q *queue) admit(ctx context.Context, it QueuedOrder) (Ticket, error) {
	ticket := Ticket{Finish: func(int) { <-q.slots }}
	select {
	case q.slots <- struct{}{}:
		return ticket, nil
	default:
	}
	if !it.Order.StartDeadline.IsZero() {
		// The queue has no estimate of the wait.
		return Ticket{}, &RefusalError{Code: streamer.CodeBusy}
	}
	q.mu.Lock()
	if q.waiting >= q.places {
		q.mu.Unlock()
		return Ticket{}, &RefusalError{Code: "queue-full"}
	}
	q.waiting++
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		q.waiting--
		q.mu.Unlock()
	}()
	select {
	case q.slots <- struct{}{}:
		return ticket, nil
	case <-ctx.Done():
		return Ticket{}, ctx.Err()
	}
}

func (q *queue) load(now time.Time) streamer.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return streamer.Load{At: now, Running: len(q.slots), Queued: []int{q.waiting}}
}
