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

// fleet returns n upstreams that serve versions in turn, in data centres dc-0 to dc-3 of one region.
func fleet(n, versions int) []balancer.Upstream {
	ups := make([]balancer.Upstream, n)
	for i := range ups {
		ups[i] = balancer.Upstream{
			Name: identifier.Upstream(fmt.Sprintf("u%d", i)), Region: "r", Targets: []identifier.Target{target(i % versions)},
			DataCentre: identifier.DataCentre(fmt.Sprintf("dc-%d", i/versions%4)),
		}
	}
	return ups
}

func seeded(seed uint64) balancer.Option {
	return balancer.WithRand(rand.New(rand.NewPCG(seed, 1)))
}

// Guards against choices of upstreams that are leaving, excluded, behind an open breaker or without the version, and
// against an error while a usable one exists.
func TestChooseProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		const versions = 2
		ups := fleet(12, versions)
		b := balancer.New("dc-0", seeded(rapid.Uint64().Draw(t, "seed")), balancer.WithNow(func() time.Time { return now }),
			balancer.WithSubset(rapid.IntRange(1, 8).Draw(t, "subset")))
		b.Update(ups)
		failed := map[identifier.Upstream]int{}
		left := map[identifier.Upstream]bool{}
		name := func(t *rapid.T) int { return rapid.IntRange(0, len(ups)-1).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				k := balancer.Query{
					Target: target(rapid.IntRange(0, versions-1).Draw(t, "version")), Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"),
					Session: identifier.Session(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "session")),
				}
				for range rapid.IntRange(0, 3).Draw(t, "excluded") {
					k.Exclude = append(k.Exclude, ups[name(t)].Name)
				}
				good := func(u balancer.Upstream) bool {
					return !left[u.Name] && !slices.Contains(k.Exclude, u.Name) && slices.Contains(u.Targets, k.Target)
				}
				u, err := b.Choose(k)
				if err != nil {
					must.ErrorIs(t, err, balancer.ErrNoUpstream)
					for _, u := range ups {
						if good(u) && failed[u.Name] < 5 {
							t.Fatalf("no upstream although %s is usable", u.Name)
						}
					}
					return
				}
				if !good(u) {
					t.Fatalf("chose %s, left %v, excluded %v", u.Name, left[u.Name], k.Exclude)
				}
				if failed[u.Name] >= 5 {
					t.Fatalf("chose %s before the cool-down", u.Name)
				}
			},
			"fail": func(t *rapid.T) {
				u := ups[name(t)].Name
				if failed[u] < 5 {
					b.Begin(u)
					b.End(u, balancer.ResultFailure)
					failed[u]++
				}
			},
			"leave": func(t *rapid.T) {
				i := name(t)
				if rapid.Bool().Draw(t, "by list") {
					ups[i].Leaving = true
					b.Update(ups)
				} else {
					b.Report(ups[i].Name, streamer.Load{At: now, Leaving: true})
				}
				left[ups[i].Name] = true
			},
			"report": func(t *rapid.T) {
				// Cool-downs last at least a second, which these steps do not add up to.
				now = now.Add(time.Millisecond)
				u := ups[name(t)].Name
				if left[u] {
					return // the agent of a leaving upstream says so in each report
				}
				b.Report(u, streamer.Load{At: now, Running: rapid.IntRange(0, 50).Draw(t, "running")})
			},
		})
	})
}

// Guards against a leaving upstream that a stale list without the sign brings back.
func TestLeavingStays(t *testing.T) {
	b := balancer.New("dc-0", seeded(1))
	ups := fleet(1, 1)
	b.Update(ups)
	b.Report(ups[0].Name, streamer.Load{At: time.Now(), Leaving: true})
	b.Update(ups)
	_, err := b.Choose(balancer.Query{Target: target(0)})
	must.ErrorIs(t, err, balancer.ErrNoUpstream)
}

// Guards against a herd on the one upstream that looked idle: its sample must be used up after a few choices, also when
// the requests themselves have not begun yet.
func TestNoHerd(t *testing.T) {
	now := start
	b := balancer.New("dc-0", seeded(3), balancer.WithNow(func() time.Time { return now }), balancer.WithChoices(8))
	ups := fleet(8, 1)
	b.Update(ups)
	for i, u := range ups {
		b.Report(u.Name, streamer.Load{At: now, Running: 20 * min(i, 1)})
	}
	idle := 0
	for range 80 {
		u, err := b.Choose(balancer.Query{Target: target(0)})
		must.NoError(t, err)
		if u.Name == ups[0].Name {
			idle++
		}
	}
	must.Between(t, 4, idle, 4+40)
}

// Guards against forgetting requests that began after the moment a late sample describes.
func TestLateSample(t *testing.T) {
	now := start
	b := balancer.New("dc-0", seeded(3), balancer.WithNow(func() time.Time { return now }), balancer.WithChoices(8))
	ups := fleet(2, 1)
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
	b := balancer.New("dc-0", seeded(5), balancer.WithNow(func() time.Time { return now }))
	ups := fleet(1, 1)
	b.Update(ups)
	k := balancer.Query{Target: target(0)}
	for range 5 {
		b.Begin("u0")
		b.End("u0", balancer.ResultFailure)
	}
	open := func() bool { _, err := b.Choose(k); return errors.Is(err, balancer.ErrNoUpstream) }
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

// Guards against a subset that reaches beyond its data centre without need, that differs between runs, or that changes
// as a whole when one upstream goes.
func TestSubset(t *testing.T) {
	ups := fleet(400, 1)
	members := func(ups []balancer.Upstream) map[identifier.Upstream]bool {
		b := balancer.New("dc-1", seeded(5), balancer.WithSelf("e"), balancer.WithSubset(20))
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
	gone := slices.IndexFunc(ups, func(u balancer.Upstream) bool { return first[u.Name] })
	second := members(slices.Delete(slices.Clone(ups), gone, gone+1))
	kept := 0
	for u := range second {
		if first[u] {
			kept++
		}
	}
	must.Eq(t, 19, kept)
}

// Guards against probes that starve an upstream, exceed their rate or wait for a black-holed one.
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
		b.Update(fleet(5, 1))
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

// Guards against data races between choices, reports and updates, and against requests in flight that do not end at 0.
func TestConcurrentUse(t *testing.T) {
	b := balancer.New("dc-0")
	ups := fleet(40, 2)
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

func prepared(n int) (*balancer.Balancer, []balancer.Query) {
	b := balancer.New("dc-0")
	ups := fleet(n, 19)
	b.Update(ups)
	for i, u := range ups {
		b.Report(u.Name, streamer.Load{At: time.Now(), Running: i % 17})
	}
	keys := make([]balancer.Query, 19)
	for i := range keys {
		keys[i] = balancer.Query{Target: target(i), Prefix: uint64(i), Session: "session"}
	}
	return b, keys
}

// Guards against allocation on the path of each choice.
func TestChooseAllocatesNothing(t *testing.T) {
	b, keys := prepared(2200)
	n := 0
	must.Eq(t, 0, testing.AllocsPerRun(1000, func() {
		n++
		if _, err := b.Choose(keys[n%len(keys)]); err != nil {
			panic(err)
		}
	}))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 2200} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			bal, keys := prepared(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := bal.Choose(keys[i%len(keys)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against requests sent behind the prompts that an engine is still reading, when another one runs some requests more.
func TestWaitingCountsMore(t *testing.T) {
	for weight, want := range map[int]identifier.Upstream{1: "u0", 4: "u1"} {
		b := balancer.New("dc-0", seeded(1), balancer.WithNow(func() time.Time { return start }), balancer.WithWaitingWeight(weight))
		ups := fleet(2, 1)
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
