package admitter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/admitter"
)

// isPreempted reports whether a ticket was asked to pause.
func isPreempted(tk *admitter.Ticket) bool {
	select {
	case <-tk.Preempted():
		return true
	default:
		return false
	}
}

// Guards against preempting work for another account of its rank before its first token, which would then be late by a
// whole round, and against an account that keeps all slots once its work has a first token.
func TestNoSameRankPreemptionBeforeFirstToken(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(8), admitter.WithNow(func() time.Time { return now }))
	var large []*admitter.Ticket
	for range 8 {
		tk, err := a.Enqueue(newItem("urgent", "large", 100, time.Time{}), func(*admitter.Ticket, error) {})
		must.NoError(t, err)
		large = append(large, tk)
	}
	_, err := a.Enqueue(newItem("urgent", "small", 100, time.Time{}), func(*admitter.Ticket, error) {})
	must.NoError(t, err)
	for _, tk := range large {
		must.False(t, isPreempted(tk))
	}
	large[3].MarkFirstToken()
	for i, tk := range large {
		must.Eq(t, i == 3, isPreempted(tk))
	}
}

// Guards against paused work that accumulates behind new work of its rank and delays the return to normal service after
// an overload: work preempted by a higher rank must resume before new work of its rank starts.
func TestOutrankedWorkResumesFirst(t *testing.T) {
	now := start
	a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(1), admitter.WithNow(func() time.Time { return now }))
	var order []string
	enqueue := func(rank, account string) *admitter.Ticket {
		item := newItem("urgent", account, 100, time.Time{})
		item.Order.Rank = ranks()[map[string]int{"urgent": 0, "batch": 2}[rank]].Name
		tk, err := a.Enqueue(item, func(*admitter.Ticket, error) { order = append(order, account) })
		must.NoError(t, err)
		return tk
	}
	outranked := enqueue("batch", "outranked")
	enqueue("batch", "other") // its account precedes the one of the outranked work in the round
	urgent := enqueue("urgent", "urgent")
	must.True(t, isPreempted(outranked))
	outranked.Requeue(10, func(*admitter.Ticket, error) { order = append(order, "resumed") })
	must.Eq(t, []string{"outranked", "urgent"}, order)
	urgent.Finish(100)
	must.Eq(t, []string{"outranked", "urgent", "resumed"}, order)
}
