package balancer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func target(i int) identifier.Target {
	return identifier.Target{Model: "m", Version: identifier.Version(fmt.Sprint(i))}
}

// newUpstreams returns n upstreams, each with one of the versions in turn, in data centres dc-0 to dc-3 of one region.
func newUpstreams(n, versions int) []balancer.Upstream {
	ups := make([]balancer.Upstream, n)
	for i := range ups {
		ups[i] = balancer.Upstream{
			Name: identifier.Upstream(fmt.Sprintf("u%d", i)), Region: "r", Targets: []identifier.Target{target(i % versions)},
			DataCentre: identifier.DataCentre(fmt.Sprintf("dc-%d", i/versions%4)),
		}
	}
	return ups
}

func withSeed(seed uint64) balancer.Option {
	return balancer.WithRand(rand.New(rand.NewPCG(seed, 1)))
}

// Guards against the choice of an upstream that is leaving, is excluded, has an open breaker or lacks the version, and against
// an error while a usable upstream exists.
func TestChooseProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		const versions = 2
		ups := newUpstreams(12, versions)
		b := balancer.New("dc-0", withSeed(rapid.Uint64().Draw(t, "seed")), balancer.WithNow(func() time.Time { return now }),
			balancer.WithSubsetSize(rapid.IntRange(1, 8).Draw(t, "subset")))
		b.Update(ups)
		failures := map[identifier.Upstream]int{}
		leaving := map[identifier.Upstream]bool{}
		drawIndex := func(t *rapid.T) int { return rapid.IntRange(0, len(ups)-1).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				q := balancer.Query{
					Target: target(rapid.IntRange(0, versions-1).Draw(t, "version")), Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"),
					Session: identifier.Session(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "session")),
				}
				for range rapid.IntRange(0, 3).Draw(t, "excluded") {
					q.Exclude = append(q.Exclude, ups[drawIndex(t)].Name)
				}
				isEligible := func(u balancer.Upstream) bool {
					return !leaving[u.Name] && !slices.Contains(q.Exclude, u.Name) && slices.Contains(u.Targets, q.Target)
				}
				u, err := b.Choose(q)
				if err != nil {
					must.ErrorIs(t, err, balancer.ErrNoUpstream)
					for _, u := range ups {
						if isEligible(u) && failures[u.Name] < 5 {
							t.Fatalf("no upstream although %s is usable", u.Name)
						}
					}
					return
				}
				if !isEligible(u) {
					t.Fatalf("chose %s, leaving %v, excluded %v", u.Name, leaving[u.Name], q.Exclude)
				}
				if failures[u.Name] >= 5 {
					t.Fatalf("chose %s before the cool-down", u.Name)
				}
			},
			"fail": func(t *rapid.T) {
				u := ups[drawIndex(t)].Name
				if failures[u] < 5 {
					b.Begin(u)
					b.End(u, balancer.ResultFailure)
					failures[u]++
				}
			},
			"leave": func(t *rapid.T) {
				i := drawIndex(t)
				if rapid.Bool().Draw(t, "by list") {
					ups[i].Leaving = true
					b.Update(ups)
				} else {
					b.Report(ups[i].Name, streamer.Load{At: now, Draining: true})
				}
				leaving[ups[i].Name] = true
			},
			"report": func(t *rapid.T) {
				// All steps together are shorter than a cool-down, which lasts at least a second.
				now = now.Add(time.Millisecond)
				u := ups[drawIndex(t)].Name
				if leaving[u] {
					return // the agent of a leaving upstream sets Leaving in every report
				}
				b.Report(u, streamer.Load{At: now, Running: rapid.IntRange(0, 50).Draw(t, "running")})
			},
		})
	})
}

// Guards against a leaving upstream that becomes usable again through an outdated list in which it is not leaving yet.
func TestLeavingIsFinal(t *testing.T) {
	b := balancer.New("dc-0", withSeed(1))
	ups := newUpstreams(1, 1)
	b.Update(ups)
	b.Report(ups[0].Name, streamer.Load{At: time.Now(), Draining: true})
	b.Update(ups)
	_, err := b.Choose(balancer.Query{Target: target(0)})
	must.ErrorIs(t, err, balancer.ErrNoUpstream)
}

// Guards against a burst of requests that all go to the one upstream that looked idle: its sample must expire after a few
// choices, even when the chosen requests have not begun yet.
func TestIdleUpstreamNotOverwhelmed(t *testing.T) {
	now := start
	b := balancer.New("dc-0", withSeed(3), balancer.WithNow(func() time.Time { return now }), balancer.WithChoices(8))
	ups := newUpstreams(8, 1)
	b.Update(ups)
	for i, u := range ups {
		b.Report(u.Name, streamer.Load{At: now, Running: 20 * min(i, 1)})
	}
	idleChoices := 0
	for range 80 {
		u, err := b.Choose(balancer.Query{Target: target(0)})
		must.NoError(t, err)
		if u.Name == ups[0].Name {
			idleChoices++
		}
	}
	must.Between(t, 4, idleChoices, 4+40)
}

// Guards against a delayed sample that hides the requests begun after the time at which it was taken.
func TestLateSample(t *testing.T) {
	now := start
	b := balancer.New("dc-0", withSeed(3), balancer.WithNow(func() time.Time { return now }), balancer.WithChoices(8))
	ups := newUpstreams(2, 1)
	b.Update(ups)
	b.Report(ups[1].Name, streamer.Load{At: now, Running: 4})
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		b.Begin(ups[0].Name)
	}
	b.Report(ups[0].Name, streamer.Load{At: start.Add(time.Millisecond)})
	u, err := b.Choose(balancer.Query{Target: target(0)})
	must.NoError(t, err)
	must.Eq(t, ups[1].Name, u.Name)
}

// Guards against a breaker that stays open, or that lets more than one trial through after its cool-down.
func TestBreaker(t *testing.T) {
	now := start
	b := balancer.New("dc-0", withSeed(5), balancer.WithNow(func() time.Time { return now }))
	ups := newUpstreams(1, 1)
	b.Update(ups)
	q := balancer.Query{Target: target(0)}
	for range 5 {
		b.Begin("u0")
		b.End("u0", balancer.ResultFailure)
	}
	open := func() bool { _, err := b.Choose(q); return errors.Is(err, balancer.ErrNoUpstream) }
	must.True(t, open())
	now = now.Add(1500 * time.Millisecond)
	must.False(t, open())
	must.True(t, open())
	b.End("u0", balancer.ResultFailure)
	now = now.Add(1900 * time.Millisecond)
	must.True(t, open())
	now = now.Add(1100 * time.Millisecond)
	must.False(t, open())
	b.End("u0", balancer.ResultSuccess)
	must.False(t, open())
	must.False(t, open())
}

// Guards against a subset that includes upstreams of other data centres although its own has enough, that differs between runs,
// or that changes in more than one member when one upstream is removed.
func TestSubset(t *testing.T) {
	ups := newUpstreams(400, 1)
	members := func(ups []balancer.Upstream) map[identifier.Upstream]bool {
		b := balancer.New("dc-1", withSeed(5), balancer.WithSelf("e"), balancer.WithSubsetSize(20))
		b.Update(ups)
		got := map[identifier.Upstream]bool{}
		for _, u := range b.State().(balancer.State).Upstreams {
			got[u.Upstream] = true
			must.Eq(t, 0, u.Distance)
		}
		return got
	}
	first := members(ups)
	must.MapLen(t, 20, first)
	must.Eq(t, first, members(ups))
	removed := slices.IndexFunc(ups, func(u balancer.Upstream) bool { return first[u.Name] })
	second := members(slices.Delete(slices.Clone(ups), removed, removed+1))
	kept := 0
	for u := range second {
		if first[u] {
			kept++
		}
	}
	must.Eq(t, 19, kept)
}

// Guards against upstreams that get too few probes, a rate of probes above the limit, and probes that are blocked by an upstream
// that does not reply.
func TestRunProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		probed := map[identifier.Upstream]int{}
		b := balancer.New("dc-0", balancer.WithProbeRate(10),
			balancer.WithProbe(func(ctx context.Context, u balancer.Upstream) (streamer.Load, error) {
				mu.Lock()
				probed[u.Name]++
				mu.Unlock()
				if u.Name == "u0" {
					<-ctx.Done()
					return streamer.Load{}, ctx.Err()
				}
				return streamer.Load{At: time.Now(), Running: 3}, nil
			}))
		b.Update(newUpstreams(5, 1))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := b.Choose(balancer.Query{Target: target(0)})
		must.NoError(t, err)
		must.ErrorIs(t, b.Run(ctx), context.DeadlineExceeded)
		total := 0
		for _, n := range probed {
			must.Between(t, 15, n, 25)
			total += n
		}
		must.Between(t, 95, total, 100)
	})
}

// Guards against data races between choices, reports and updates, and against a count of requests in flight that is not 0 after
// all requests have ended.
func TestConcurrentUse(t *testing.T) {
	b := balancer.New("dc-0")
	ups := newUpstreams(40, 2)
	b.Update(ups)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 500 {
				u, err := b.Choose(balancer.Query{Target: target(n % 2), Prefix: uint64(n % 7), Session: "s"})
				if err != nil {
					continue
				}
				b.Begin(u.Name)
				b.Report(u.Name, streamer.Load{At: time.Now(), Running: n % 9})
				b.NextProbe()
				if i == 0 && n%50 == 0 {
					b.Update(ups)
				}
				b.End(u.Name, balancer.Result(n%4))
			}
		})
	}
	wg.Wait()
	for _, u := range b.State().(balancer.State).Upstreams {
		must.Eq(t, 0, u.InFlight)
	}
}

// newLoadedBalancer returns a balancer with n upstreams that have reported loads, and a query for each of their 19 versions.
func newLoadedBalancer(n int, opts ...balancer.Option) (*balancer.Balancer, []balancer.Query) {
	b := balancer.New("dc-0", opts...)
	upstreams := newUpstreams(n, 19)
	b.Update(upstreams)
	for i, u := range upstreams {
		b.Report(u.Name, streamer.Load{At: time.Now(), Running: i % 17})
	}
	queries := make([]balancer.Query, 19)
	for i := range queries {
		queries[i] = balancer.Query{Target: target(i), Prefix: uint64(i), Session: "session"}
	}
	return b, queries
}

// Guards against memory allocation in Choose, which runs for each request.
func TestChooseAllocatesNothing(t *testing.T) {
	for _, opts := range [][]balancer.Option{nil, {balancer.WithEvenLoad(), balancer.WithSubsetSize(64)}} {
		b, queries := newLoadedBalancer(2200, opts...)
		n := 0
		must.Eq(t, 0, testing.AllocsPerRun(1000, func() {
			n++
			if _, err := b.Choose(queries[n%len(queries)]); err != nil {
				panic(err)
			}
		}))
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 2200} {
		for name, opts := range map[string][]balancer.Option{"": nil, ",even-load": {balancer.WithEvenLoad()}} {
			b.Run(fmt.Sprintf("workers=%d%s", n, name), func(b *testing.B) {
				bal, queries := newLoadedBalancer(n, opts...)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, err := bal.Choose(queries[i%len(queries)]); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// Guards against requests that wait for prompts being read at one engine, when another engine has only a few more running
// requests: a waiting request must weigh more than a running one.
func TestWaitingWeight(t *testing.T) {
	for weight, want := range map[int]identifier.Upstream{1: "u0", 4: "u1"} {
		b := balancer.New("dc-0", withSeed(1), balancer.WithNow(func() time.Time { return start }), balancer.WithWaitingWeight(weight))
		ups := newUpstreams(2, 1)
		for i := range ups {
			ups[i].DataCentre, ups[i].Slots = "dc-0", 64
		}
		b.Update(ups)
		b.Report("u0", streamer.Load{At: start, Running: 8, Queued: []int{2}})
		b.Report("u1", streamer.Load{At: start, Running: 13})
		u, err := b.Choose(balancer.Query{Target: target(0)})
		must.NoError(t, err)
		must.EqOp(t, want, u.Name)
	}
}

// Guards against HasUpstream that disagrees with Choose, or that uses up the trial of an open breaker.
func TestHasUpstream(t *testing.T) {
	now := time.Now()
	b := balancer.New("dc", balancer.WithNow(func() time.Time { return now }))
	q := balancer.Query{Service: "s"}
	must.False(t, b.HasUpstream(q))
	b.Update([]balancer.Upstream{{Name: "u", Region: "r", DataCentre: "dc", Service: "s"}})
	must.True(t, b.HasUpstream(q))
	must.False(t, b.HasUpstream(balancer.Query{Service: "s", Exclude: []identifier.Upstream{"u"}}))
	for range 5 {
		b.Begin("u")
		b.End("u", balancer.ResultFailure)
	}
	must.False(t, b.HasUpstream(q))
	now = now.Add(time.Minute)
	must.True(t, b.HasUpstream(q))
	must.True(t, b.HasUpstream(q))
	_, err := b.Choose(q)
	must.NoError(t, err)
	must.False(t, b.HasUpstream(q))
}
