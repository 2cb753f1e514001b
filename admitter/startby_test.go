package admitter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/admitter"
)

// Guards against an order that waits beyond its start-by, against a refusal while a slot is free although the clock of
// the sender is behind, and against a refusal as busy of work that a preemption would start.
func TestStartBy(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(1), admitter.WithHeadroom(1),
		admitter.WithNow(func() time.Time { return now }))
	var settled []error
	offer := func(rank string, by time.Time) (*admitter.Ticket, error) {
		it := item("normal", "a", 100, time.Time{})
		if rank == "urgent" {
			it = item("urgent", "a", 100, time.Time{})
		}
		it.Order.StartDeadline = by
		return a.Enqueue(it, func(_ *admitter.Ticket, err error) { settled = append(settled, err) })
	}
	first, err := offer("normal", now.Add(-time.Hour))
	must.NoError(t, err)
	must.Eq(t, []error{nil}, settled)

	// No run has ended, so the wait is unknown.
	_, err = offer("normal", now.Add(time.Hour))
	must.Eq(t, admitter.CodeBusy, admitter.AsRefusal(err).Code)

	_, err = offer("urgent", now)
	must.NoError(t, err)
	must.Eq(t, []error{nil, nil}, settled)
	now = now.Add(time.Second)
	first.Requeue(50, func(*admitter.Ticket, error) {})

	// The only slot is taken by urgent work, and paused work waits.
	_, err = offer("normal", now.Add(time.Millisecond))
	must.Eq(t, admitter.CodeBusy, admitter.AsRefusal(err).Code)
}

// Guards against an order that was admitted because of an estimate and then waits although its start-by has passed.
func TestStartByPassesInQueue(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(1), admitter.WithHeadroom(0),
		admitter.WithNow(func() time.Time { return now }))
	running, err := a.Enqueue(item("urgent", "a", 100, time.Time{}), func(*admitter.Ticket, error) {})
	must.NoError(t, err)
	now = now.Add(100 * time.Millisecond)
	running.Finish(100) // 1,000 tokens per second

	_, err = a.Enqueue(item("urgent", "a", 100, time.Time{}), func(*admitter.Ticket, error) {})
	must.NoError(t, err)
	it := item("urgent", "a", 100, time.Time{})
	it.Order.StartDeadline = now.Add(300 * time.Millisecond)
	var got error
	settled := 0
	_, err = a.Enqueue(it, func(_ *admitter.Ticket, err error) { got, settled = err, settled+1 })
	must.NoError(t, err)
	now = now.Add(300 * time.Millisecond)
	a.Tick()
	must.Eq(t, 0, settled)
	now = now.Add(100 * time.Millisecond)
	a.Tick()
	must.Eq(t, 1, settled)
	must.Eq(t, admitter.CodeBusy, admitter.AsRefusal(got).Code)
}
