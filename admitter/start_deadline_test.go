package admitter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/admitter"
)

// Guards against an order that waits beyond its start deadline, against refusing an order while a slot is free because
// the clock of its sender is behind, and against refusing as busy an order that could start by preemption.
func TestStartDeadline(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(1), admitter.WithHeadroom(1),
		admitter.WithNow(func() time.Time { return now }))
	var decisions []error
	enqueue := func(rank string, startDeadline time.Time) (*admitter.Ticket, error) {
		item := newItem("normal", "a", 100, time.Time{})
		if rank == "urgent" {
			item = newItem("urgent", "a", 100, time.Time{})
		}
		item.Order.StartDeadline = startDeadline
		return a.Enqueue(item, func(_ *admitter.Ticket, err error) { decisions = append(decisions, err) })
	}
	first, err := enqueue("normal", now.Add(-time.Hour))
	must.NoError(t, err)
	must.Eq(t, []error{nil}, decisions)

	// No run has ended yet, so the wait is unknown.
	_, err = enqueue("normal", now.Add(time.Hour))
	must.Eq(t, admitter.CodeBusy, admitter.AsRefusal(err).Code)

	_, err = enqueue("urgent", now)
	must.NoError(t, err)
	must.Eq(t, []error{nil, nil}, decisions)
	now = now.Add(time.Second)
	first.Requeue(50, func(*admitter.Ticket, error) {})

	// Urgent work holds the only slot, and paused work is waiting.
	_, err = enqueue("normal", now.Add(time.Millisecond))
	must.Eq(t, admitter.CodeBusy, admitter.AsRefusal(err).Code)
}

// Guards against an order that was admitted by its estimated wait and stays in the queue after its start deadline has
// passed.
func TestStartDeadlinePassesInQueue(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(1), admitter.WithHeadroom(0),
		admitter.WithNow(func() time.Time { return now }))
	running, err := a.Enqueue(newItem("urgent", "a", 100, time.Time{}), func(*admitter.Ticket, error) {})
	must.NoError(t, err)
	now = now.Add(100 * time.Millisecond)
	running.Finish(100) // a rate of 1,000 tokens per second

	_, err = a.Enqueue(newItem("urgent", "a", 100, time.Time{}), func(*admitter.Ticket, error) {})
	must.NoError(t, err)
	item := newItem("urgent", "a", 100, time.Time{})
	item.Order.StartDeadline = now.Add(300 * time.Millisecond)
	var refusal error
	decisions := 0
	_, err = a.Enqueue(item, func(_ *admitter.Ticket, err error) { refusal, decisions = err, decisions+1 })
	must.NoError(t, err)
	now = now.Add(300 * time.Millisecond)
	a.Tick()
	must.Eq(t, 0, decisions)
	now = now.Add(100 * time.Millisecond)
	a.Tick()
	must.Eq(t, 1, decisions)
	must.Eq(t, admitter.CodeBusy, admitter.AsRefusal(refusal).Code)
}
