package admitter

import (
	"context"
	"time"

	"github.com/siskinfront/siskinfront/streamer"
)

// QueuedOrder is an order that asks for a slot of the engine.
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

// Ticket is the right to run one item once a slot is granted; its methods are safe for concurrent use.
type Ticket struct {
	admitter   *Admitter
	item       QueuedOrder
	rankIndex  int // index into the queues of the admitter
	flow       *flow
	onDecision func(*Ticket, error)

	// The fields below are guarded by the mutex of the admitter.
	state               ticketState
	paused              bool    // has run before and must not be refused
	grantedByFloor      bool    // granted by the floor of its rank and therefore not preempted
	hasFirstToken       bool    // has produced its first token
	preempting          bool    // asked to pause but still running
	outranked           bool    // preempted by work of a higher rank
	preemptions         int     // number of preemptions so far
	cost                float64 // tokens charged for the current run
	doneTokens          int     // tokens produced by earlier runs
	queuedAt            time.Time
	grantedAt           time.Time
	preemptionRequested chan struct{}
}

// Preempted returns a channel that is closed when the work should pause at its next step; the holder then calls Requeue
// or Resume. The channel belongs to the current run; the next run has another one.
func (t *Ticket) Preempted() <-chan struct{} {
	t.admitter.mu.Lock()
	defer t.admitter.mu.Unlock()
	return t.preemptionRequested
}

// Item returns the item of the ticket.
func (t *Ticket) Item() QueuedOrder {
	return t.item
}

// MarkFirstToken records that the work has produced its first token; until then only work of a higher rank preempts it.
// Work whose holder never calls it is therefore not preempted for other accounts of its rank.
func (t *Ticket) MarkFirstToken() {
	t.admitter.update(func(time.Time) { t.hasFirstToken = true })
}

// Finish frees the slot; tokens is the number that the work produced over all its runs. Further calls do nothing.
func (t *Ticket) Finish(tokens int) {
	t.admitter.update(func(now time.Time) {
		if t.state == stateRunning {
			t.admitter.release(t, tokens-t.doneTokens, now, true)
			t.state = stateEnded
			t.admitter.counters.finished++
			t.admitter.closeIfDrained()
		}
	})
}

// Requeue frees the slot of preempted work and puts it back at the front of its flow; tokens is the number that it has
// produced over all runs so far. onDecision is called once, with nil when the work may continue or with
// ErrPausedExpired.
func (t *Ticket) Requeue(tokens int, onDecision func(*Ticket, error)) {
	t.admitter.update(func(now time.Time) {
		if t.state != stateRunning {
			return
		}
		t.admitter.release(t, tokens-t.doneTokens, now, false)
		t.doneTokens = tokens
		t.paused = true
		t.preemptions++
		t.onDecision = onDecision
		t.state = stateWaiting
		t.queuedAt = now
		t.admitter.pausedCount++
		t.admitter.counters.preempted++
		t.admitter.queues[t.rankIndex].push(t, true)
	})
}

// Resume calls Requeue and waits for the slot. If it returns an error, the work has ended, and its outcome is
// OutcomeRun.
func (t *Ticket) Resume(ctx context.Context, tokens int) error {
	decided := make(chan error, 1)
	t.Requeue(tokens, func(_ *Ticket, err error) { decided <- err })
	return t.admitter.waitForDecision(ctx, t, decided)
}
