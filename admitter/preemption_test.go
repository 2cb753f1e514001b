package admitter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/admitter"
)

// preempted reports whether a ticket was asked to leave.
func preempted(tk *admitter.Ticket) bool {
	select {
	case <-tk.Preempted():
		return true
	default:
		return false
	}
}

// Guards against work that is paused for another account of its rank before its first token, which then comes late by a
// turn of the round, and against an account that keeps all slots after it.
func TestNoPauseBeforeFirstToken(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(8), admitter.WithNow(func() time.Time { return now }))
	var large []*admitter.Ticket
	for range 8 {
		tk, err := a.Enqueue(item("urgent", "large", 100, time.Time{}), func(*admitter.Ticket, error) {})
		must.NoError(t, err)
		large = append(large, tk)
	}
	_, err := a.Enqueue(item("urgent", "small", 100, time.Time{}), func(*admitter.Ticket, error) {})
	must.NoError(t, err)
	for _, tk := range large {
		must.False(t, preempted(tk))
	}
	large[3].MarkFirstToken()
	for i, tk := range large {
		must.Eq(t, i == 3, preempted(tk))
	}
}

// Guards against paused work that piles up behind new work of its rank and delays the return to normal service after an
// overload: what a higher rank displaced continues before anything new starts.
func TestDisplacedWorkGoesFirst(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(1), admitter.WithNow(func() time.Time { return now }))
	var order []string
	offer := func(rank, account string) *admitter.Ticket {
		it := item("urgent", account, 100, time.Time{})
		it.Order.Rank = ranks()[map[string]int{"urgent": 0, "batch": 2}[rank]].Name
		tk, err := a.Enqueue(it, func(*admitter.Ticket, error) { order = append(order, account) })
		must.NoError(t, err)
		return tk
	}
	displaced := offer("batch", "displaced")
	offer("batch", "other") // its account is ahead in the round once the displaced work waits again
	urgent := offer("urgent", "urgent")
	must.True(t, preempted(displaced))
	displaced.Requeue(10, func(*admitter.Ticket, error) { order = append(order, "resumed") })
	must.Eq(t, []string{"displaced", "urgent"}, order)
	urgent.Finish(100)
	must.Eq(t, []string{"displaced", "urgent", "resumed"}, order)
}
