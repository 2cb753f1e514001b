package throttler_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/throttler"
)

// Guards against the owner of a cold upstream that receives the more asks the more entries there are, and against a rate of which less is
// used because entries ask less often. formerUse is what was used before the number of asks was bounded.
func TestAsksAtColdOwner(t *testing.T) {
	const d = 15 * time.Second
	formerUse := map[float64]float64{1: 0.78, 23: 0.62, 100: 0.58}
	for _, rate := range []float64{1, 23, 100} {
		for _, n := range []int{330, 1000} {
			t.Run(fmt.Sprintf("%d entries, %v a second", n, rate), func(t *testing.T) {
				t.Parallel()
				f := newColdFleet(uint64(n), n, rate)
				f.run(d, f.demand())
				// The owner allows 40 asks a second and 1.25 for each slot. As many first asks come while the entries learn that the upstream is
				// cold, and a fourth more is left for lost datagrams and chance.
				granted := throttler.ColdBound{Over: coldOver, Slack: coldSlack}.GrantRate(rate)
				bound := 1.25 * 2 * (40 + 1.25*granted)
				used := 0
				for _, u := range f.upstreams {
					most := float64(mostIn(f.asked[u], 5*time.Second)) / 5
					t.Logf("%s: asks %.1f a second, at most %.1f in 5 s (bound %.0f), %d in 1 s; %.2f of the rate", u, float64(len(f.asked[u]))/d.Seconds(), most,
						bound, mostIn(f.asked[u], time.Second), float64(len(f.arrived[u]))/(rate*d.Seconds()))
					must.LessEq(t, bound, most)
					used += len(f.arrived[u])
				}
				must.GreaterEq(t, 0.9*formerUse[rate], float64(used)/(3*rate*d.Seconds()))
			})
		}
	}
}

// mostIn returns the most times in any window of a length.
func mostIn(list []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range list {
		for !list[first].After(at.Add(-window)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an owner that lets more entries ask than it is to receive asks, that holds entries off for no reason, or without
// end.
func TestAskTimes(t *testing.T) {
	o := throttler.NewOwner()
	now := time.Unix(1000, 0)
	ask := throttler.Ask{Upstream: u1, PerSecond: 100, Cold: true, Number: 1}
	again := func() time.Duration {
		ask.ID++
		return time.Duration(o.Answer(ask, now).AgainMillis * float64(time.Millisecond))
	}
	first := again()
	must.Between(t, 900*time.Millisecond, first, time.Second, must.Sprint("the first slot begins after 1.01 s"))
	for i := range 329 {
		must.Between(t, first+time.Duration(i)*time.Second/166, again(), first+time.Duration(i+2)*time.Second/164)
	}
	for range 20_000 {
		must.LessEq(t, time.Minute, again())
	}
	now = now.Add(2 * time.Minute)
	must.EqOp(t, 0, again(), must.Sprint("nobody else asks"))
	now = now.Add(2 * time.Minute)
	o.Sweep(now)
	must.Between(t, 900*time.Millisecond, again(), time.Second)

	ask.Cold = false
	must.EqOp(t, 0, again())
}

// Guards against first asks of all entries that come at once as an upstream becomes cold or as all have started.
func TestFirstAsksAreSpread(t *testing.T) {
	const n = 300
	known := time.Unix(1002, 0)
	bySecond := map[time.Duration]int{}
	for range n {
		f := newFixture(throttler.WithPeersKnownFrom(func() time.Time { return known }))
		f.entries, f.silent = n, true
		f.SetCold(u1, 100, f.now.Add(time.Hour))
		for f.asks == 0 {
			f.Want(u1, true)
			f.now = f.now.Add(10 * time.Millisecond)
		}
		bySecond[f.now.Sub(known).Truncate(time.Second)]++
	}
	// 0.45 of the rate is granted without a stated bound, for which 96 asks a second are allowed.
	must.LessEq(t, 130, bySecond[0])
	must.LessEq(t, 130, bySecond[time.Second])
	must.LessEq(t, 4, len(bySecond))

	// An entry that wants a slot later asks at once.
	f := newFixture()
	f.entries = n
	f.SetCold(u1, 100, f.now.Add(time.Hour))
	f.now = f.now.Add(10 * time.Second)
	f.Want(u1, true)
	must.EqOp(t, 1, f.asks)
}

// Guards against an owner that does not answer and receives every ask over ten times.
func TestAsksAreRepeatedLessOften(t *testing.T) {
	f := newFixture()
	f.silent = true
	f.SetCold(u1, 20, f.now.Add(time.Hour))
	f.now = f.now.Add(time.Second)
	for range 100 {
		f.Want(u1, true)
		f.now = f.now.Add(4 * time.Millisecond)
	}
	must.EqOp(t, 4, f.asks)
}

// Guards against an entry that never asks again, or panics, because of what another one states as the time after which it may.
func TestInvalidAskTime(t *testing.T) {
	for text, isValid := range map[string]bool{
		`{}`: true, `{"again":null}`: true, `{"again":0}`: true, `{"again":-1}`: true, `{"again":-1e300}`: true, `{"again":1e300}`: true,
		`{"after":1e300,"again":1e300}`: true, `{"after":-1e300}`: true, `{"after":1e300}`: true, `{"interval":1e300}`: true,
		`{"again":""}`: false, `{"again":"x"}`: false, `{"again":[1]}`: false, `{"again":1e999}`: false,
	} {
		for _, number := range []int{0, 1} {
			t.Run(fmt.Sprint(text, " with ", number), func(t *testing.T) {
				var g throttler.Grant
				err := json.Unmarshal([]byte(text), &g)
				must.EqOp(t, isValid, err == nil)
				f := newFixture()
				f.silent = true
				f.SetCold(u1, 20, f.now.Add(time.Hour))
				f.now = f.now.Add(time.Second)
				f.Want(u1, true)
				g.Upstream, g.ID, g.Number = u1, f.lastAsk.ID, number
				f.Grant(g)
				f.now = f.now.Add(2 * time.Minute)
				for range 2 {
					f.Want(u1, true)
					f.Take(u1)
				}
				if g.AfterMillis < 1e6 || number == 0 {
					must.EqOp(t, 2, f.asks)
				}
			})
		}
	}
}
