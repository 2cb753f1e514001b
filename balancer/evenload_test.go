package balancer_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// choicesHash plays a seeded sequence of reports, choices and ends of requests, and returns the hash of the upstreams chosen.
func choicesHash(seed uint64, opts ...balancer.Option) uint64 {
	rng, now, hash := rand.New(rand.NewPCG(seed, 9)), start, fnv.New64a()
	ups := newUpstreams(40, 2)
	for i := range ups {
		ups[i].Slots = i % 3 * 16
	}
	b := balancer.New("dc-0", append(opts, withSeed(seed), balancer.WithNow(func() time.Time { return now }), balancer.WithWaitingWeight(3))...)
	b.Update(ups)
	var running []identifier.Upstream
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		name := ups[rng.IntN(len(ups))].Name
		l := streamer.Load{At: now, Running: rng.IntN(64), TokenInterval: time.Duration(rng.IntN(3)) * time.Millisecond}
		if rng.IntN(4) == 0 {
			l.Queued = []int{rng.IntN(5)}
		}
		b.Report(name, l)
		u, err := b.Choose(balancer.Query{Target: target(rng.IntN(2)), Prefix: uint64(rng.IntN(20)), BusyRefusals: rng.IntN(20) / 19})
		if err != nil {
			panic(err)
		}
		b.Begin(u.Name)
		running = append(running, u.Name)
		_, _ = fmt.Fprintln(hash, u.Name)
		for len(running) > 30 {
			b.End(running[0], balancer.Result(rng.IntN(2)*int(balancer.ResultRefused)))
			running = running[1:]
		}
	}
	return hash.Sum64()
}

// Guards against a choice without WithEvenLoad that differs in any bit from the one before that option existed. The hashes are
// those of the revision without it.
func TestChoiceWithoutEvenLoad(t *testing.T) {
	for i, want := range []uint64{36428500457859538, 2930514808101375404, 1195740381724798862} {
		if got := choicesHash(uint64(i)); got != want {
			t.Errorf("seed %d: hash %d, want %d", i, got, want)
		}
	}
}

// Guards against a choice by expected time that differs in any bit from the one before prompts were announced if none is. The hashes are
// those of the revision before.
func TestChoiceWithoutAnnouncements(t *testing.T) {
	for i, want := range []uint64{17810220172713177234, 15707103787062175131, 8986413694438854840} {
		if got := choicesHash(uint64(i), balancer.WithEvenLoad()); got != want {
			t.Errorf("seed %d: hash %d, want %d", i, got, want)
		}
	}
}

// playShare plays requests of a time at upstreams that report their true loads, except that one of them reports what a function
// returns. It returns the share of the choices that this one gets, relative to the mean, from the second quarter on.
func playShare(t *testing.T, entries, upstreams int, report func(streamer.Load) streamer.Load) float64 {
	t.Helper()
	const requests = 40_000
	return playForged(t, entries, upstreams, requests/4, requests, report, func(*balancer.Balancer, time.Time) {})
}

// playForged is playShare with the share of the requests between two numbers, of which one is sent each millisecond. Before each of
// them, forge is called with the entry that sends it.
func playForged(t *testing.T, entries, upstreams, from, until int, report func(streamer.Load) streamer.Load, forge func(*balancer.Balancer, time.Time)) float64 {
	t.Helper()
	now, rng := start, rand.New(rand.NewPCG(4, 5))
	ups := newUpstreams(upstreams, 1)
	for i := range ups {
		ups[i].DataCentre, ups[i].Slots = "dc-0", 64
	}
	balancers := make([]*balancer.Balancer, entries)
	for i := range balancers {
		balancers[i] = balancer.New("dc-0", withSeed(uint64(i)), balancer.WithNow(func() time.Time { return now }),
			balancer.WithSubsetSize(64), balancer.WithWaitingWeight(3), balancer.WithEvenLoad())
		balancers[i].Update(ups)
	}
	type request struct {
		entry int
		name  identifier.Upstream
	}
	var running []request
	loads, misreporting, chosen := map[identifier.Upstream]int{}, ups[0].Name, 0
	reportTo := func(entry int, name identifier.Upstream) {
		l := streamer.Load{At: now, Running: loads[name], Slowdown: 1, SlowdownCorrection: 1}
		if name == misreporting {
			l = report(l)
		}
		balancers[entry].Report(name, l)
	}
	for i := range until {
		now = now.Add(time.Millisecond)
		entry := rng.IntN(entries)
		if i >= from {
			forge(balancers[entry], now)
		}
		u, err := balancers[entry].Choose(balancer.Query{Target: target(0)})
		must.NoError(t, err)
		balancers[entry].Begin(u.Name)
		loads[u.Name]++
		reportTo(entry, u.Name)
		if u.Name == misreporting && i >= from {
			chosen++
		}
		running = append(running, request{entry, u.Name})
		if len(running) > 6*upstreams {
			j := rng.IntN(len(running))
			x := running[j]
			running = append(running[:j], running[j+1:]...)
			loads[x.name]--
			balancers[x.entry].End(x.name, balancer.ResultSuccess)
		}
	}
	return float64(chosen) * float64(upstreams) / float64(until-from)
}

// Guards against an upstream that attracts an unbounded share of the requests by reporting a load or a speed that is better than it
// is, and against one that is not used any more because of values that no upstream has.
func TestInfluenceIsBounded(t *testing.T) {
	for name, report := range map[string]func(streamer.Load) streamer.Load{
		"no load": func(l streamer.Load) streamer.Load {
			l.Running = 0
			return l
		},
		"no load, good speed": func(l streamer.Load) streamer.Load {
			l.Running, l.Slowdown, l.SlowdownCorrection = 0, 1e-9, 1e-9
			return l
		},
		"negative load": func(l streamer.Load) streamer.Load {
			l.Running, l.Slowdown = -1<<40, math.Inf(-1)
			return l
		},
		"invalid speed": func(l streamer.Load) streamer.Load {
			l.Slowdown, l.SlowdownCorrection = math.NaN(), -1
			return l
		},
	} {
		for _, x := range []struct{ entries, upstreams int }{{1, 55}, {4, 18}, {30, 55}, {4, 3}} {
			t.Run(fmt.Sprint(name, ", ", x.entries, " entries, ", x.upstreams, " upstreams"), func(t *testing.T) {
				t.Parallel()
				share := playShare(t, x.entries, x.upstreams, report)
				t.Logf("share %.2f of the mean", share)
				must.Between(t, 0.1, share, min(4, 0.8*float64(x.upstreams)))
			})
		}
	}
}

// Guards against a state, or gauges, that show no uneven load although an upstream is idle while requests wait at another, and against one that
// counts samples that are too old.
func TestPoolState(t *testing.T) {
	now := start
	b := balancer.New("dc", balancer.WithNow(func() time.Time { return now }), balancer.WithEvenLoad())
	var ups []balancer.Upstream
	for i := range 4 {
		ups = append(ups, balancer.Upstream{Name: identifier.Upstream(fmt.Sprint("u", i)), Service: "s", DataCentre: "dc", Region: "r", Slots: 8})
	}
	b.Update(ups)
	must.SliceEmpty(t, b.State().(balancer.State).Pools)
	b.Report("u0", streamer.Load{At: now})
	now = now.Add(2 * time.Second)
	b.Report("u1", streamer.Load{At: now, Running: 8, Queued: []int{1}, Slowdown: 2, SlowdownCorrection: 1.5})
	b.Report("u2", streamer.Load{At: now, Running: 3})
	state := b.State().(balancer.State)
	must.Eq(t, []balancer.PoolState{{Service: "s", BusiestOverMean: 9.0 * 3 / 12, IdleWhileOthersWait: 1}}, state.Pools)
	must.Eq(t, map[string]map[string]float64{
		"busiest-over-mean": {"s": 9.0 * 3 / 12}, "idle-while-others-wait": {"s": 1},
	}, b.ServiceGauges())
	must.EqOp(t, 3, state.Upstreams[1].Slowdown)
	must.EqOp(t, 1.5, state.Upstreams[1].Correction)
	must.EqOp(t, (9+2)*3-2, state.Upstreams[1].ExpectedTime)
	now = now.Add(2 * time.Second)
	b.Report("u2", streamer.Load{At: now, Running: 2})
	must.Eq(t, []balancer.PoolState{{Service: "s", BusiestOverMean: 9.0 * 2 / 11}}, b.State().(balancer.State).Pools)
}

// Guards against an upstream that reports an absurd load and so raises the mean with which the others are compared.
func TestReportedLoadIsBounded(t *testing.T) {
	b := balancer.New("dc", balancer.WithEvenLoad(), balancer.WithWaitingWeight(3))
	b.Update([]balancer.Upstream{{Name: "u", Service: "s", DataCentre: "dc", Region: "r", Slots: 8}})
	for _, l := range []streamer.Load{{Running: math.MaxInt32}, {Running: 8, Queued: []int{1 << 30}}} {
		l.At = time.Now()
		b.Report("u", l)
		must.EqOp(t, 16*8, b.State().(balancer.State).Upstreams[0].Load)
	}
	b.Report("u", streamer.Load{At: time.Now(), Running: -5})
	must.EqOp(t, 0, b.State().(balancer.State).Upstreams[0].Load)
}
