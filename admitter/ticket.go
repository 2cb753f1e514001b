package admitter

import (
	"context"
	"time"

	"github.com/siskinfront/siskinfront/streamer"
)

// QueuedOrder is work that asks for a slot of the engine.
type QueuedOrder struct {
	Order *streamer.Order
	// Cost is the expected cost in tokens; values under 1 count as 1.
	Cost float64
	// Resumable is set when the engine can pause the work and continue it later without loss.
	Resumable bool
}

type ticketState int

const (
	stateWaiting ticketState = iota
	stateRunning
	stateEnded
)

// Ticket is the right to run one item; its methods are safe for concurrent use.
type Ticket struct {
	a      *Admitter
	item   QueuedOrder
	rank   int
	flow   *flow
	settle func(*Ticket, error)

	// The fields below are guarded by the mutex of the admitter.
	state      ticketState
	paused     bool    // it has run before and may not be refused
	floored    bool    // granted by the floor of its rank and thus not preempted
	begun      bool    // it has produced its first token
	preempting bool    // asked to leave but still running
	outranked  bool    // asked to leave for work of a higher rank
	pauses     int     // number of preemptions so far
	cost       float64 // tokens charged for the current run
	done       int     // tokens produced by earlier runs
	queuedAt   time.Time
	grantedAt  time.Time
	preempted  chan struct{}
}

// Preempted is closed when the work should pause at its next step; the holder then calls Requeue or Resume. The
// channel belongs to the current run and is replaced by the next one.
func (t *Ticket) Preempted() <-chan struct{} {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	return t.preempted
}

// Item returns the item of the ticket.
func (t *Ticket) Item() QueuedOrder {
	return t.item
}

// MarkFirstToken says that the work has produced its first token; until then only work of a higher rank preempts it. Work whose
// holder never calls Begun is not preempted for other accounts of its rank.
func (t *Ticket) MarkFirstToken() {
	t.a.change(func(time.Time) { t.begun = true })
}

// Finish releases the slot; tokens is the number that the work produced over all its runs. Further calls do nothing.
func (t *Ticket) Finish(tokens int) {
	t.a.change(func(now time.Time) {
		if t.state == stateRunning {
			t.a.release(t, tokens-t.done, now, true)
			t.state = stateEnded
			t.a.counters.finished++
			t.a.settleDrain()
		}
	})
}

// Requeue releases the slot of preempted work, of which tokens were produced so far over all runs, and puts it back
// at the front of its queue. settle is called once, with nil when it may continue or with ErrPausedExpired.
func (t *Ticket) Requeue(tokens int, settle func(*Ticket, error)) {
	t.a.change(func(now time.Time) {
		if t.state != stateRunning {
			return
		}
		t.a.release(t, tokens-t.done, now, false)
		t.done = tokens
		t.paused = true
		t.pauses++
		t.settle = settle
		t.state = stateWaiting
		t.queuedAt = now
		t.a.paused++
		t.a.counters.preempted++
		t.a.queues[t.rank].push(t, true)
	})
}

// Resume is Requeue that waits for the slot; when it fails the work has ended, and its outcome is run.
func (t *Ticket) Resume(ctx context.Context, tokens int) error {
	ready := make(chan error, 1)
	t.Requeue(tokens, func(_ *Ticket, err error) { ready <- err })
	return t.a.wait(ctx, t, ready)
}
