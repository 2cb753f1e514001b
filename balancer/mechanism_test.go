package balancer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
)

// mechanism is a way to choose an upstream.
type mechanism string

const (
	byRequests    mechanism = "a: requests in flight"
	byTime        mechanism = "b: expected time"
	byPrompts     mechanism = "c: expected time and prompts"
	powerOfTwo    mechanism = "d: two of the subset"
	powerOfThree  mechanism = "d: three of the subset"
	byRoom        mechanism = "e: in proportion to room"
	allKnowingOne mechanism = "all-knowing"

	// The mechanisms f compare the expected time as b does, with the remaining time of reading of long prompts.
	ownPrompts     mechanism = "f: own prompts"
	allAtOnce      mechanism = "f: announced at once"
	allAfter50     mechanism = "f: announced after 50 ms"
	allAfter300    mechanism = "f: announced after 300 ms"
	allAfter50Lost mechanism = "f: announced after 50 ms, a tenth lost"
)

// choose returns the index of the engine for a request.
func (r *unequalRun) choose(entry int, q balancer.Query) int {
	b := r.balancers[entry]
	switch r.mechanism {
	case byRequests, byTime, ownPrompts, allAtOnce, allAfter50, allAfter300, allAfter50Lost:
		u, err := b.Choose(q)
		if err != nil {
			panic(err)
		}
		return r.index[u.Name]
	case allKnowingOne:
		best, least := 0, math.Inf(1)
		for i := range r.engines {
			e := &r.engines[i]
			t := max(e.readUntil-r.now, 0).Seconds() + 40*float64(stepsPerEvent)*(stepTime+time.Duration(e.running+1)*stepTimePerRequest).Seconds()*e.factor(r.now)
			if e.caches[q.Prefix] && q.Prefix != 0 {
				t -= float64(sharedTokens) / tokensReadPerSecond
			}
			if t < least {
				best, least = i, t
			}
		}
		return best
	}
	states := b.State().(balancer.State).Upstreams
	chosen := r.pick(entry, states)
	if q.Prefix != 0 {
		chosen = r.keepAffinity(b, q, states, chosen)
	}
	if _, err := b.ChooseNamed(balancer.Query{Service: "s"}, r.list[chosen].Name); err != nil {
		panic(err)
	}
	return chosen
}

// keepAffinity returns the engine that the balancer prefers for a prefix unless its expected time exceeds that of the chosen one by more
// than the margin of the balancer.
func (r *unequalRun) keepAffinity(b *balancer.Balancer, q balancer.Query, states []balancer.UpstreamState, chosen int) int {
	u, err := b.Choose(q)
	if err != nil || !r.engines[r.index[u.Name]].caches[q.Prefix] {
		return chosen
	}
	times, mean := map[int]float64{}, 0.0
	for _, x := range states {
		times[r.index[x.Upstream]] = x.ExpectedTime
		mean += x.ExpectedTime / float64(len(states))
	}
	if i := r.index[u.Name]; times[i] <= times[chosen]+q.PrefixRatio*(0.5*mean+2) {
		return i
	}
	return chosen
}

func (r *unequalRun) pick(entry int, states []balancer.UpstreamState) int {
	n := len(states)
	switch r.mechanism {
	case powerOfTwo, powerOfThree:
		n = 2
		if r.mechanism == powerOfThree {
			n = 3
		}
		best := states[r.choiceRNG.IntN(len(states))]
		for range n - 1 {
			if x := states[r.choiceRNG.IntN(len(states))]; x.ExpectedTime < best.ExpectedTime {
				best = x
			}
		}
		return r.index[best.Upstream]
	case byRoom:
		mean, sum := 0.0, 0.0
		for _, x := range states {
			mean += x.ExpectedTime / float64(n)
		}
		room := func(x balancer.UpstreamState) float64 { return max(2*mean-x.ExpectedTime, 0) + 0.01 }
		for _, x := range states {
			sum += room(x)
		}
		left := r.choiceRNG.Float64() * sum
		for _, x := range states {
			if left -= room(x); left <= 0 {
				return r.index[x.Upstream]
			}
		}
		return r.index[states[n-1].Upstream]
	default:
		// Three random ones by expected time and prompts.
		best, least := 0, math.Inf(1)
		for range 3 {
			x := states[r.choiceRNG.IntN(n)]
			i := r.index[x.Upstream]
			if t := x.ExpectedTime + promptWeight*r.observer(entry, i).promptTime(r.now); t < least {
				best, least = i, t
			}
		}
		return best
	}
}

// BenchmarkUnequal prints the mean latencies of each mechanism over the seeds 1 to 4; they do not depend on the machine.
func BenchmarkUnequal(b *testing.B) {
	for _, x := range []struct {
		name string
		unequal
		seconds int
	}{
		{"base", unequal{entries: 4, upstreams: 3, reportDelay: 20 * time.Millisecond}, 80},
		{"base", unequal{entries: 4, upstreams: 18, reportDelay: 20 * time.Millisecond}, 40},
		{"base", unequal{entries: 30, upstreams: 55, reportDelay: 20 * time.Millisecond}, 40},
		{"late", unequal{entries: 30, upstreams: 55, reportDelay: 300 * time.Millisecond}, 40},
		{"very late", unequal{entries: 30, upstreams: 55, reportDelay: 3 * time.Second}, 40},
		{"plain prompts", unequal{entries: 30, upstreams: 55, reportDelay: 20 * time.Millisecond, plainPrompts: true}, 40},
		{"no figure", unequal{entries: 30, upstreams: 55, reportDelay: 20 * time.Millisecond, withoutFigure: true}, 40},
		{"slow for 5 s", unequal{entries: 30, upstreams: 55, reportDelay: 20 * time.Millisecond, slowForSeconds: true}, 80},
		{"slow for 5 s, no figure", unequal{entries: 30, upstreams: 55, reportDelay: 20 * time.Millisecond, slowForSeconds: true, withoutFigure: true}, 80},
		{"equal engines", unequal{entries: 30, upstreams: 55, reportDelay: 20 * time.Millisecond, equal: true}, 40},
		{"base", unequal{entries: 330, upstreams: 55, reportDelay: 20 * time.Millisecond}, 200},
		{"plain prompts", unequal{entries: 330, upstreams: 55, reportDelay: 20 * time.Millisecond, plainPrompts: true}, 200},
		{"large", unequal{entries: 330, upstreams: 2200, reportDelay: 20 * time.Millisecond}, 8},
	} {
		for _, m := range []mechanism{
			byRequests, byTime, byPrompts, powerOfTwo, powerOfThree, byRoom, ownPrompts, allAtOnce, allAfter50, allAfter300, allAfter50Lost, allKnowingOne,
		} {
			b.Run(fmt.Sprint(x.name, ", ", x.entries, " entries, ", x.upstreams, " upstreams, ", m), func(b *testing.B) {
				var l latencies
				seeds := 4
				if x.upstreams > 1000 {
					seeds = 1 // the others would take minutes
				}
				for b.Loop() {
					l = latencies{}
					for seed := range seeds {
						x.mechanism, x.seed = m, uint64(seed)+1
						l = l.add(x.simulate(x.seconds), 1/float64(seeds))
					}
				}
				b.ReportMetric(l.first95, "first-p95")
				b.ReportMetric(l.first99, "first-p99")
				b.ReportMetric(l.whole95, "whole-p95")
				b.ReportMetric(l.whole99, "whole-p99")
				b.ReportMetric(l.busiest, "busiest/mean")
				b.ReportMetric(l.cached, "cached")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// announce lets the entry that sent a prompt, and the others, know that the engine reads it.
func (r *unequalRun) announce(entry, i, tokens int) {
	d := time.Duration(float64(tokens) / tokensReadPerSecond * r.observer(entry, i).slowdown(r.now) * float64(time.Second))
	if d < balancer.MinReading {
		return
	}
	var delay time.Duration
	switch r.mechanism {
	case ownPrompts, allAtOnce:
	case allAfter50, allAfter50Lost:
		delay = 50 * time.Millisecond
	case allAfter300:
		delay = 300 * time.Millisecond
	default:
		return
	}
	name, sentAt := r.list[i].Name, start.Add(r.now)
	r.balancers[entry].AddReading(name, sentAt, d)
	if r.mechanism == ownPrompts {
		return
	}
	r.after(delay, func() {
		for j, b := range r.balancers {
			if j != entry && (r.mechanism != allAfter50Lost || r.choiceRNG.IntN(10) > 0) {
				b.AddReading(name, sentAt, d)
			}
		}
	})
}
