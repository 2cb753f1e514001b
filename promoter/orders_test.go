package promoter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

func orderTo(to identifier.Version, era, version uint64) promoter.RolloutOrder {
	return promoter.RolloutOrder{Service: "s", To: to, Duration: time.Minute, At: storer.Position{Era: era, Version: version}}
}

// Guards against orders of a copy, or orders that the operator writes again, that start a roll-out anew, and against new orders that are
// taken for them.
func TestOrdersAfterReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	x := promoter.Orders{}
	offer := func(want promoter.OrderChange, to identifier.Version, era, version uint64, mayBeOld bool) {
		t.Helper()
		must.EqOp(t, want, x.Offer(orderTo(to, era, version), mayBeOld, now))
	}
	offer(promoter.OrderNew, "v2", 1, 80, false)
	offer(promoter.OrderIgnored, "v2", 1, 80, false)
	offer(promoter.OrderNew, "v3", 1, 95, false)
	offer(promoter.OrderIgnored, "v2", 1, 90, false)

	x.MarkReturned(now)
	// The copy holds the order before; the operator then writes both again.
	offer(promoter.OrderIgnored, "v2", 2, 80, true)
	offer(promoter.OrderIgnored, "v2", 2, 91, false)
	offer(promoter.OrderConfirmed, "v3", 2, 92, false)
	offer(promoter.OrderIgnored, "v3", 1, 95, false)
	offer(promoter.OrderNew, "v4", 2, 93, false)

	now = now.Add(time.Minute)
	// Much later, an order with the contents of an earlier one is a new one.
	offer(promoter.OrderNew, "v3", 2, 94, false)
	offer(promoter.OrderNew, "v3", 2, 95, false)
}

// Guards against an order that was written while this entry was cut off and that it never carries out.
func TestOrderOfFirstRead(t *testing.T) {
	now := time.Unix(1000, 0)
	x := promoter.Orders{}
	must.EqOp(t, promoter.OrderNew, x.Offer(orderTo("v2", 1, 95), false, now))
	x.MarkReturned(now)
	must.EqOp(t, promoter.OrderNew, x.Offer(orderTo("v5", 2, 90), true, now))
}

// Guards against a verdict of a later era that counts more than an earlier one, and against verdicts on other orders.
func TestFirstVerdict(t *testing.T) {
	o := orderTo("v2", 3, 95)
	verdict := func(to identifier.Version, number, era uint64, bad bool) promoter.Verdict {
		v := promoter.Verdict{To: to, Number: number, Era: era, State: promoter.TimedRolloutSucceeded}
		if bad {
			v.State = promoter.TimedRolloutRolledBack
		}
		return v
	}
	_, ok := promoter.FirstVerdict([]promoter.Verdict{verdict("v3", 95, 1, true), verdict("v2", 94, 1, true), {To: "v2", Number: 95}}, &o)
	must.False(t, ok)
	v, ok := promoter.FirstVerdict([]promoter.Verdict{verdict("v2", 95, 3, false), verdict("v2", 95, 2, true), verdict("v2", 95, 3, false)}, &o)
	must.True(t, ok)
	must.EqOp(t, promoter.TimedRolloutRolledBack, v.State)
	old := promoter.OldVerdicts([]promoter.Verdict{verdict("v2", 95, 3, false), verdict("v1", 7, 1, true)}, &o, (2 * time.Hour).Milliseconds())
	must.SliceLen(t, 1, old)
	must.EqOp(t, "v1", string(old[0].To))
	must.SliceEmpty(t, promoter.OldVerdicts(old, &o, time.Minute.Milliseconds()))
}
