package promoter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
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
	all := []promoter.Verdict{verdict("v2", 95, 3, false), verdict("v1", 7, 1, true), verdict("v0", 6, 1, false)}
	old := promoter.OldVerdicts(all, &o, (2 * time.Hour).Milliseconds())
	must.SliceLen(t, 1, old)
	must.EqOp(t, "v0", string(old[0].To))
	must.SliceLen(t, 2, promoter.OldVerdicts(all, &o, (25*time.Hour).Milliseconds()))
	must.SliceEmpty(t, promoter.OldVerdicts(all, &o, time.Minute.Milliseconds()))
}

// Guards against a version that stays out of service although a later order kept it, and against one that returns because an order of a
// later era had a lower number.
func TestRolledBack(t *testing.T) {
	o := orderTo("v9", 3, 95)
	verdict := func(to identifier.Version, number, era uint64, state interpreter.State) promoter.Verdict {
		return promoter.Verdict{To: to, Number: number, Era: era, State: state}
	}
	bad, good := promoter.TimedRolloutRolledBack, promoter.TimedRolloutSucceeded
	must.Eq(t, []identifier.Version{"v1", "v3", "v5"}, promoter.RolledBack([]promoter.Verdict{
		verdict("v1", 10, 1, bad), verdict("v2", 12, 1, bad), verdict("v2", 11, 1, bad), verdict("v2", 13, 1, good),
		verdict("v3", 20, 1, good), verdict("v3", 15, 2, bad), verdict("v4", 20, 1, bad), verdict("v4", 15, 2, good),
		verdict("v5", 30, 1, bad), verdict("v5", 40, 1, promoter.TimedRolloutCanary), verdict("v9", 50, 1, bad),
	}, &o))
}
