package agentserver

import (
	"context"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/streamer"
)

const (
	defaultSlots       = 256
	defaultQueuePlaces = 1024
	// retryDelay is how long the sender of a refused order should wait before it sends the order again.
	retryDelay = time.Second
)

// QueuedOrder is an order that waits for a slot.
type QueuedOrder struct {
	Order *streamer.Order
	// Cost is the estimated number of prompt and completion tokens.
	Cost float64
}

// Ticket is the right to use one slot of the upstream.
type Ticket struct {
	// Preempted returns a channel that is closed when the run must release its current slot. If Preempted and Resume are
	// nil, the run keeps its slot to the end.
	Preempted func() <-chan struct{}
	// Resume releases a preempted slot, reports the number of tokens generated so far, and waits for another slot. An
	// error ends the run.
	Resume func(ctx context.Context, tokens int) error
	// OnFirstToken, if not nil, is called once when the first token was generated.
	OnFirstToken func()
	// Finish releases the slot and reports the number of tokens generated over all slots of the order; it is called once.
	Finish func(tokens int)
}

// RefusalError is the rejection of an order that was never sent to the upstream.
type RefusalError struct {
	Code    string
	RetryAt time.Time
}

// Error returns the code.
func (r *RefusalError) Error() string {
	return "agentserver: refused: " + r.Code
}

// queue admits orders first in, first out, with limits on the slots and on the orders that wait.
type queue struct {
	slots      chan struct{}
	maxWaiting int

	mu      sync.Mutex
	waiting int
}

func newQueue(slots, maxWaiting int) *queue {
	return &queue{slots: make(chan struct{}, slots), maxWaiting: maxWaiting}
}

func (q *queue) admit(ctx context.Context, queued QueuedOrder) (Ticket, error) {
	ticket := Ticket{Finish: func(int) { <-q.slots }}
	select {
	case q.slots <- struct{}{}:
		return ticket, nil
	default:
	}
	if !queued.Order.StartDeadline.IsZero() {
		// The queue cannot estimate whether a slot will be free by the start deadline.
		return Ticket{}, &RefusalError{Code: streamer.CodeBusy}
	}
	q.mu.Lock()
	if q.waiting >= q.maxWaiting {
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
