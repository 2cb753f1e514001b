package throttler_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/throttler"
)

// Guards against a cold time that does not end by itself, that a response without a limit ends, and against slots from before it.
func TestColdTime(t *testing.T) {
	var changes []throttler.ColdChange
	f := newFixture(throttler.WithOnCold(func(c throttler.ColdChange) { changes = append(changes, c) }))
	must.EqOp(t, 1000, f.sent(time.Second, time.Millisecond))

	// It turns cold in the middle of its life.
	until := f.now.Add(10 * time.Second)
	f.SetCold(u1, 20, until)
	must.True(t, f.IsCold(u1))
	must.Eq(t, []identifier.Upstream{u1}, f.AppendClosed(nil))
	must.Eq(t, []identifier.Upstream{u1}, f.AppendCold(nil))
	must.True(t, f.Take("u1/2"), must.Sprint("another start under the same name is not cold"))
	n := 0
	for range 9 {
		f.Observe(u1, -1)
		// A time that only counts down is no change.
		f.SetCold(u1, 20, until)
		n += f.sent(time.Second, time.Millisecond)
	}
	// The owner grants 9 a second without a stated bound, from a second on.
	must.Between(t, 0.8*8*9, float64(n), 20*9)
	f.now = until
	must.True(t, f.Take(u1))
	must.False(t, f.IsCold(u1))
	must.SliceEmpty(t, f.AppendClosed(nil))
	must.SliceEmpty(t, f.AppendLimited(nil))
	f.Sweep()
	must.Eq(t, []throttler.ColdChange{
		{Upstream: u1, Until: until, PerSecond: 20}, {Upstream: u1, Until: until, PerSecond: 20, Ended: true},
	}, changes)
	must.MapEmpty(t, f.State().(map[identifier.Upstream]throttler.UpstreamState))

	// A time that runs backwards, and a rate of 0.
	f.SetCold(u1, 20, f.now.Add(time.Minute))
	f.SetCold(u1, 20, f.now)
	must.True(t, f.Take(u1))
	f.SetCold(u1, 20, f.now.Add(time.Minute))
	f.SetCold(u1, 0, f.now.Add(time.Minute))
	must.True(t, f.Take(u1))
	must.EqOp(t, 0, len(f.AppendCold(nil)))
	must.EqOp(t, 3, f.Counters()["cold-begun"])
	must.EqOp(t, 3, f.Counters()["cold-ended"])
}

// Guards against slots of a higher limit that are used after the upstream has turned cold.
func TestColdUpstreamGetsNoEarlierSlots(t *testing.T) {
	f := newFixture()
	f.Observe(u1, 1000)
	must.Positive(t, f.sent(time.Second, time.Millisecond))
	for range 100 {
		f.Want(u1, true)
	}
	f.now = f.now.Add(50 * time.Millisecond)
	f.Want(u1, true)
	f.silent = true
	f.SetCold(u1, 1, f.now.Add(time.Minute))
	must.False(t, f.Take(u1))
	must.EqOp(t, 0, f.sent(400*time.Millisecond, time.Millisecond))
}

// Guards against a limit in answers that replaces the rate of a cold upstream although it is higher, that is ignored although it is lower,
// or that ends with the cold time.
func TestLowerOfLimitAndColdRate(t *testing.T) {
	for _, limit := range []float64{5, 80} {
		f := newFixture()
		f.Observe(u1, limit)
		f.SetCold(u1, 20, f.now.Add(20*time.Second))
		n := float64(f.sent(20*time.Second, time.Millisecond)) / 20
		must.Between(t, 0.4*min(limit, 20), n, min(limit, 20)+0.2)
		f.Sweep()
		n = float64(f.sent(20*time.Second, time.Millisecond)) / 20
		must.Between(t, 0.6*limit, n, limit+0.2)
		f.Observe(u1, -1)
		must.True(t, f.Take(u1))
		must.True(t, f.Take(u1))
	}
}

// Guards against slots that a paused entry uses late, or that an answer grants which waited while the entry was paused.
func TestPausedEntryUsesNoOldColdSlots(t *testing.T) {
	f := newFixture()
	f.silent = true
	f.SetCold(u1, 20, f.now.Add(time.Hour))
	must.False(t, f.try())
	g := f.owner.Answer(f.lastAsk, f.now.Add(-time.Hour))
	for g.Number == 0 {
		g = f.owner.Answer(f.lastAsk, f.now)
		f.now = f.now.Add(10 * time.Millisecond)
	}
	f.now = f.now.Add(3 * time.Second)
	f.Grant(g)
	f.now = f.now.Add(time.Millisecond)
	must.False(t, f.Take(u1))
	must.EqOp(t, 1, f.Counters()["grants-late"])

	f.silent = false
	for range 1000 {
		f.Want(u1, true)
		f.now = f.now.Add(time.Millisecond)
		if f.HasSlot(u1) {
			break
		}
	}
	must.True(t, f.HasSlot(u1))
	f.now = f.now.Add(1001 * time.Millisecond)
	must.False(t, f.Take(u1))
}

// Guards against rates whose slots of two owners exceed the bound, and against a bound that leaves little of the rate.
func TestGrantRate(t *testing.T) {
	for _, b := range []throttler.ColdBound{{Over: 1.5, Slack: 5}, {Over: 2}, {Over: 1.2, Slack: 20}} {
		for _, rate := range []float64{1, 2, 5, 10, 23, 50, 100} {
			granted := b.GrantRate(rate)
			must.LessEq(t, rate, granted)
			must.GreaterEq(t, 0.45*rate, granted)
			if most := b.Over*rate + b.Slack; most >= 2+1.1*rate {
				must.LessEq(t, most+0.001, 2*(1.2*granted+1))
			}
		}
	}
	must.EqOp(t, 4.5, throttler.ColdBound{}.GrantRate(10))
}

// Guards against refused requests that come back all at once or in another order, or so late that nothing comes while they could be served.
func TestTurns(t *testing.T) {
	var x throttler.Turns
	now := time.Unix(1000, 0)
	end := now.Add(20 * time.Second)
	perSecond := map[int64]int{}
	last := now
	for range 200 {
		at := x.Next("a", 5, now, end)
		must.True(t, at.After(last))
		last = at
		perSecond[int64(at.Sub(now)/time.Second)]++
	}
	for second, n := range perSecond {
		switch {
		case second < 20:
			must.LessEq(t, 7, n)
		default:
			must.LessEq(t, 110, n, must.Sprint("after the end of the cold time"))
		}
	}
	must.Less(t, 23*time.Second, last.Sub(now))
	must.Less(t, time.Second, x.Next("b", 5, now, end).Sub(now), must.Sprint("another service has its own order"))
	now = now.Add(30 * time.Second)
	must.Less(t, time.Second, x.Next("a", 5, now, now.Add(time.Minute)).Sub(now))
	for range 10_000 {
		must.LessEq(t, 70*time.Second, x.Next("c", 0.001, now, now.Add(time.Hour)).Sub(now))
	}
}

// Guards against turns that do not follow the part of this entry in the rates of the cold upstreams.
func TestColdTurnOfEntry(t *testing.T) {
	f := newFixture()
	f.entries = 3
	names := []identifier.Upstream{u1, "u2/1"}
	for _, u := range names {
		f.SetCold(u, 6, f.now.Add(time.Hour))
	}
	var last time.Time
	for range 11 {
		last = f.ColdTurn("a", names)
	}
	// Two upstreams of which owners grant 2.7 a second without a stated bound, for three entries.
	must.Between(t, 5500*time.Millisecond, last.Sub(f.now), 6600*time.Millisecond)
}

// Guards against entries that grant slots of a cold upstream because others take them for its owner, and against limits that answers name
// whose asks are not answered.
func TestOnlyOwnersByTheirOwnListGrant(t *testing.T) {
	names := []identifier.Instance{"e1", "e2", "e3", "e4"}
	owner := throttler.OwnerOf(u1, names)
	for _, name := range names {
		must.EqOp(t, name == owner, throttler.MayGrant(throttler.Ask{Upstream: u1, Cold: true}, name, names))
		must.True(t, throttler.MayGrant(throttler.Ask{Upstream: u1, Cold: true}, name, []identifier.Instance{name}))
		must.True(t, throttler.MayGrant(throttler.Ask{Upstream: u1}, name, names))
	}
	must.False(t, throttler.MayGrant(throttler.Ask{Upstream: u1, Cold: true}, "e1", nil))
}

// Guards against a cold time that ends with the limit that answers named beside it.
func TestColdTimeOutlastsNamedLimit(t *testing.T) {
	f := newFixture()
	f.SetCold(u1, 20, f.now.Add(time.Minute))
	f.Observe(u1, 5)
	f.Observe(u1, -1)
	must.True(t, f.IsCold(u1))
	must.False(t, f.Take(u1))
	f.Observe(u1, 5)
	f.SetCold(u1, 20, f.now)
	must.False(t, f.Take(u1), must.Sprint("the named limit outlasts the cold time"))
}

// Guards against an owner that has just started and grants at once, while slots of the owner before it are left.
func TestNewOwnerOfColdUpstreamWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	owner := throttler.NewOwner()
	for id := uint64(1); ; id++ {
		g := owner.Answer(throttler.Ask{Upstream: u1, PerSecond: 50, Cold: true, Number: 5, ID: id}, now)
		if begin := now.Add(time.Duration(g.AfterMillis * float64(time.Millisecond))); g.Number > 0 {
			must.GreaterEq(t, time.Second, begin.Sub(time.Unix(1000, 0)))
			break
		}
		now = now.Add(time.Millisecond)
	}
}

// Guards against an owner that panics or grants without end at absurd rates, which a configuration or a datagram may state.
func TestAbsurdColdRates(t *testing.T) {
	for _, perSecond := range []float64{1e300, math.Inf(1), 1e-300, 0, -1, math.NaN()} {
		f := newFixture()
		f.SetCold(u1, perSecond, f.now.Add(time.Minute))
		f.sent(2*time.Second, 10*time.Millisecond)
		g := f.owner.Answer(throttler.Ask{Upstream: "u2/1", PerSecond: perSecond, Cold: true, Number: 1 << 30, ID: 1}, f.now)
		must.Between(t, 0, g.Number, 1_000_001)
	}
}

// Guards against granted slots of a cold upstream that are used so late that those of two owners exceed the bound (ColdBound.GrantRate counts
// on 0.2 s).
func TestGrantedColdSlotEndsSoon(t *testing.T) {
	f := newFixture()
	f.silent = true
	f.SetCold(u1, 20, f.now.Add(time.Hour))
	must.False(t, f.try())
	f.Grant(throttler.Grant{Upstream: u1, ID: f.lastAsk.ID, Number: 1, IntervalMillis: 50})
	must.True(t, f.HasSlot(u1))
	f.now = f.now.Add(199 * time.Millisecond)
	must.True(t, f.HasSlot(u1))
	f.now = f.now.Add(time.Millisecond)
	must.False(t, f.Take(u1))
}
