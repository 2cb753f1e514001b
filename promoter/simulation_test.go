package promoter_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// simulatedSlack is the number of requests that a bad version may get beyond testMaxExposure.
	simulatedSlack = 30
	// simulatedStartup is the time until the upstreams of the new version are available, as a fraction of the roll-out.
	simulatedStartup = 0.27
	// decisionDelay and growingDelay are the times between two decisions of an entry.
	decisionDelay = 1500 * time.Millisecond
	growingDelay  = 500 * time.Millisecond
)

// simulation is a roll-out of a version of which a share of the requests is slower, over several entries.
type simulation struct {
	seed     uint64
	duration time.Duration
	// rate is the number of requests of the service in a second.
	rate float64
	// share is the share of the new version's requests that are slower by factor, in the steps that are set, and only on
	// slowRoute unless it is empty.
	share, factor          float64
	slowResponse, slowPace bool
	slowRoute              string
	// load stretches all times of both versions from an elapsed fraction on, as in a burst.
	load     float64
	loadFrom float64
}

// result is what a simulated roll-out led to.
type result struct {
	state    string
	reason   string
	exposed  int
	requests int
	endedAt  time.Duration
}

// withinBound reports whether a bad version got no more requests than it may.
func (r *result) withinBound() bool {
	return float64(r.exposed) <= testMaxExposure*float64(r.requests)+simulatedSlack
}

type timedEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// simulatedRoutes are the routes with their shares of the requests, and the medians and spreads of their times.
var simulatedRoutes = []struct {
	name                 string
	share                float64
	response, spread     float64
	events               int
	interval, spreadPace float64
}{
	{"report", 0.24, 0.11, 1.3, 60, 0.025, 0.5},
	{"answer", 0.38, 0.018, 1.1, 40, 0.022, 0.5},
	{"tag", 0.38, 0.03, 1.2, 4, 0.02, 0.6},
}

func (s *simulation) run() result {
	const entries = 4
	rng := rand.New(rand.NewPCG(s.seed, 1))
	order := promoter.RolloutOrder{Service: "drafting", To: "v2", Duration: s.duration, At: storer.Position{Version: 7}}
	var r result
	var q eventQueue
	var now time.Duration
	at := func(t time.Duration, run func()) { heap.Push(&q, timedEvent{t, run}) }
	clock := func() time.Time { return orderTime.Add(now) }
	millis := func() int64 { return 10_000 + now.Milliseconds() }
	rollouts := make([]*promoter.TimedRollout, entries)
	tallies := make([]promoter.Tally, entries)
	active := make([]int64, entries)
	decided := make([]bool, entries)
	final := ""
	for i := range entries {
		rollouts[i] = promoter.NewTimedRollout(order, identifier.Instance(strconv.Itoa(i)),
			promoter.ExposureBound{Share: testMaxExposure, Slack: simulatedSlack}, testSessionTime, orderTime)
		var decide func()
		decide = func() {
			tallies[i] = rollouts[i].Tally(millis(), active[i], clock())
			decided[i] = final != ""
			if !decided[i] {
				state, reason := rollouts[i].Decide(tallies, millis(), clock())
				if promoter.IsFinal(state) {
					final, decided[i] = string(state), true
					r.state, r.reason, r.endedAt = final, reason, now
				}
			}
			delay := decisionDelay
			if rollouts[i].IsDeciding(millis()) {
				delay = growingDelay
			}
			if !decided[i] {
				at(now+delay, decide)
			}
		}
		at(time.Duration(float64(decisionDelay)*float64(i)/entries), decide)
	}
	var id uint64
	var arrive func()
	arrive = func() {
		at(now+time.Duration(rng.ExpFloat64()/s.rate*float64(time.Second)), arrive)
		i := rng.IntN(entries)
		available := now > time.Duration(simulatedStartup*float64(s.duration))
		isNew := available && rollouts[i].UsesNewVersion(rng.Uint64(), clock()) && (!decided[i] || final != "rolled-back")
		isNew = isNew || decided[i] && final == "succeeded"
		r.requests++
		if isNew {
			r.exposed++
		}
		s.attempt(rng, rollouts[i], &id, isNew, clock, func(d time.Duration, run func()) { at(now+d, run) }, now, &active[i])
	}
	at(0, arrive)
	for len(q) > 0 {
		e := heap.Pop(&q).(timedEvent)
		if e.at > s.duration {
			break
		}
		now = e.at
		e.run()
	}
	return r
}

// attempt plays one request.
func (s *simulation) attempt(rng *rand.Rand, t *promoter.TimedRollout, id *uint64, isNew bool, clock func() time.Time,
	after func(time.Duration, func()), now time.Duration, active *int64,
) {
	x := rng.Float64()
	route := simulatedRoutes[0]
	for _, route = range simulatedRoutes {
		if x -= route.share; x < 0 {
			break
		}
	}
	response := route.response * math.Exp(route.spread*rng.NormFloat64())
	interval := route.interval * math.Exp(route.spreadPace*rng.NormFloat64())
	if s.load > 1 && now >= time.Duration(s.loadFrom*float64(s.duration)) {
		response *= s.load
		interval *= s.load
	}
	if isNew && rng.Float64() < s.share && (s.slowRoute == "" || s.slowRoute == route.name) {
		if s.slowResponse {
			response *= s.factor
		}
		if s.slowPace {
			interval *= s.factor
		}
	}
	seconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	*id++
	n := *id
	t.BeginAttempt(n, isNew, route.name, "m", clock())
	if !isNew {
		*active++
	}
	const paceEvents = 7
	after(seconds(response), func() { t.AddResponse(n, seconds(response), clock()) })
	pace := seconds(paceEvents * interval)
	after(seconds(response+interval*float64(min(paceEvents, route.events-1))), func() { t.AddPace(n, pace) })
	after(seconds(response+interval*float64(route.events)), func() {
		t.AddAnswer(n, isNew, route.name, false)
		t.EndAttempt(n, clock())
		if !isNew {
			*active--
		}
	})
}

// runAll plays simulations side by side and counts those for which a condition holds.
func runAll(t *testing.T, all []*simulation, holds func(*simulation, result) bool) int {
	t.Helper()
	var n atomic.Int64
	var g errgroup.Group
	g.SetLimit(2)
	for _, s := range all {
		g.Go(func() error {
			if holds(s, s.run()) {
				n.Add(1)
			}
			return nil
		})
	}
	must.NoError(t, g.Wait())
	return int(n.Load())
}

// Guards against a slow version that gets too many requests because its median is good or its slow requests are still open.
func TestTimedRolloutBoundsExposureOfSlowVersion(t *testing.T) {
	var all []*simulation
	for _, d := range []time.Duration{15 * time.Second, 24 * time.Second} {
		for _, rate := range []float64{20, 60} {
			for _, factor := range []float64{3, 5, 8, 10} {
				for _, share := range []float64{0.3, 0.5, 1} {
					for seed := range uint64(20) {
						all = append(all, &simulation{
							seed: seed, duration: d, rate: rate, load: 1, factor: factor, share: share, slowResponse: true, slowPace: true,
						})
					}
				}
			}
		}
	}
	broken := runAll(t, all, func(s *simulation, r result) bool {
		if r.withinBound() {
			return false
		}
		t.Logf("%+v: %d of %d requests, %s %s", *s, r.exposed, r.requests, r.state, r.reason)
		return true
	})
	must.LessEq(t, len(all)/100, broken)
}

// Guards against a good version that is rolled back or misses its deadline.
func TestTimedRolloutKeepsGoodVersion(t *testing.T) {
	var all []*simulation
	for _, rate := range []float64{60, 150} {
		for seed := range uint64(20) {
			all = append(all, &simulation{seed: seed, duration: 24 * time.Second, rate: rate, load: 1})
		}
	}
	succeeded := runAll(t, all, func(s *simulation, r result) bool {
		if r.state != "succeeded" {
			t.Logf("%+v: %s after %v: %s", *s, r.state, r.endedAt, r.reason)
		}
		return r.state == "succeeded"
	})
	must.GreaterEq(t, len(all)*9/10, succeeded)
}
