package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against affinity of a session that does not hold, that binds other requests, or that does not yield under load.
func TestAffinity(t *testing.T) {
	now := start
	b := balancer.New("dc-0", seeded(5), balancer.WithNow(func() time.Time { return now }))
	ups := fleet(8, 1)
	b.Update(ups)
	report := func(loads ...int) {
		now = now.Add(time.Second)
		for i, u := range ups {
			b.Report(u.Name, streamer.Load{At: now, Running: loads[min(i, len(loads)-1)]})
		}
	}
	report(10)
	choose := func(k balancer.Query) identifier.Upstream {
		k.Target = target(0)
		u, err := b.Choose(k)
		must.NoError(t, err)
		return u.Name
	}
	first := choose(balancer.Query{Session: "s"})
	for range 3 {
		must.Eq(t, first, choose(balancer.Query{Session: "s"}))
	}
	elsewhere := false
	for range 40 {
		elsewhere = elsewhere || choose(balancer.Query{}) != first
	}
	must.True(t, elsewhere)
	must.Zero(t, b.Counters()["affinity-yielded"])
	loads := make([]int, len(ups))
	for i, u := range ups {
		loads[i] = 10
		if u.Name == first {
			loads[i] = 30
		}
	}
	report(loads...)
	must.NotEq(t, first, choose(balancer.Query{Session: "s"}))
	must.Eq(t, int64(1), b.Counters()["affinity-yielded"])
}

// Guards against prefixes that entries send to different upstreams, that all have the same home, that crowd an
// overloaded home or return to one that refused, and against homes in another region.
func TestHomes(t *testing.T) {
	now := start
	ups := fleet(20, 1)
	far := balancer.Upstream{Name: "far", Region: "far", DataCentre: "dc-far", Targets: []identifier.Target{target(0)}}
	entries := make([]*balancer.Balancer, 4)
	report := func(load func(identifier.Upstream) int) {
		now = now.Add(time.Second)
		for _, b := range entries {
			for _, u := range ups {
				b.Report(u.Name, streamer.Load{At: now, Running: load(u.Name)})
			}
		}
	}
	for i := range entries {
		entries[i] = balancer.New(identifier.DataCentre(fmt.Sprintf("dc-%d", i)), seeded(uint64(i)),
			balancer.WithNow(func() time.Time { return now }), balancer.WithSelf(identifier.Instance(fmt.Sprint(i))))
		entries[i].Update(append(slices.Clone(ups), far))
	}
	choose := func(prefix uint64, exclude ...identifier.Upstream) identifier.Upstream {
		var chosen identifier.Upstream
		for i, b := range entries {
			u, err := b.Choose(balancer.Query{Target: target(0), Prefix: prefix, Exclude: exclude})
			must.NoError(t, err)
			must.NotEq(t, far.Name, u.Name)
			if i > 0 {
				must.Eq(t, chosen, u.Name)
			}
			chosen = u.Name
		}
		return chosen
	}
	even := func(identifier.Upstream) int { return 10 }
	// Beside a short history three requests in a row make a prefix frequent, which has no homes.
	for prefix := uint64(1000); prefix < 1064; prefix++ {
		report(even)
		choose(prefix)
	}
	taken := map[identifier.Upstream]int{}
	for prefix := uint64(1); prefix <= 100; prefix++ {
		report(even)
		first := choose(prefix)
		taken[first]++
		report(even)
		must.Eq(t, first, choose(prefix))
		second := choose(prefix, first)
		must.NotEq(t, first, second)
		report(func(u identifier.Upstream) int {
			if u == first {
				return 30
			}
			return 10
		})
		must.Eq(t, second, choose(prefix))
	}
	must.Greater(t, len(ups)*3/4, len(taken))
	for _, n := range taken {
		must.Less(t, 100/4, n)
	}
}

// Guards against a home that counts as full because a request waits there while slots are free: an engine reads prompts one
// after another. With the slots that such samples suggest, requests of one prefix went to 5 engines of 6 uses.
func TestWaitingBesideFreeSlots(t *testing.T) {
	now := start
	ups := fleet(8, 1)
	for i := range ups {
		ups[i].Slots = 64
	}
	b := balancer.New("dc-0", seeded(1), balancer.WithNow(func() time.Time { return now }))
	b.Update(ups)
	report := func(waitsAt identifier.Upstream) {
		now = now.Add(time.Second)
		for _, u := range ups {
			l := streamer.Load{At: now, Running: 10}
			if u.Name == waitsAt {
				l.Running, l.Queued = 9, []int{1}
			}
			b.Report(u.Name, l)
		}
	}
	choose := func() identifier.Upstream {
		u, err := b.Choose(balancer.Query{Target: target(0), Prefix: 7})
		must.NoError(t, err)
		return u.Name
	}
	report("")
	home := choose()
	report(home)
	must.EqOp(t, home, choose())
	must.Zero(t, b.Counters()["affinity-yielded"])
}

// Guards against a prefix of most requests that is bound to its few homes, also after a new list of upstreams, and against a
// rare prefix that loses its homes beside it or for its first requests.
func TestFrequentPrefix(t *testing.T) {
	now := start
	ups := fleet(20, 1)
	b := balancer.New("dc-0", seeded(1), balancer.WithNow(func() time.Time { return now }))
	b.Update(ups)
	kept := func(prefix uint64) bool {
		now = now.Add(time.Second)
		for _, u := range ups {
			b.Report(u.Name, streamer.Load{At: now, Running: 10})
		}
		before := b.Counters()["affinity-kept"]
		_, err := b.Choose(balancer.Query{Target: target(0), Prefix: prefix})
		must.NoError(t, err)
		return b.Counters()["affinity-kept"] > before
	}
	for i := range 100 {
		must.True(t, kept(uint64(i)+100))
	}
	for range 40 {
		kept(1)
	}
	must.False(t, kept(1))
	must.True(t, kept(2))
	b.Update(ups)
	must.False(t, kept(1))
	for i := range 64 {
		must.True(t, kept(uint64(i)+300))
	}
	must.True(t, kept(1))
}

// Guards against long prefixes that are read again for a small difference of loads, and against short ones that crowd a busier
// home: a long one is worth more of the load of its home, up to a bound, beyond which the longest prompts would wait together.
func TestLengthOfPrefix(t *testing.T) {
	for _, x := range []struct {
		shared float64
		load   int
		atHome bool
	}{{0.05, 14, false}, {1.5, 14, true}, {6, 14, true}, {6, 40, false}} {
		now := start
		b := balancer.New("dc-0", seeded(1), balancer.WithNow(func() time.Time { return now }), balancer.WithChoices(8))
		ups := fleet(8, 1)
		for i := range ups {
			ups[i].Slots = 64
		}
		b.Update(ups)
		report := func(busier identifier.Upstream) {
			now = now.Add(time.Second)
			for _, u := range ups {
				l := streamer.Load{At: now, Running: 10}
				if u.Name == busier {
					l.Running = x.load
				}
				b.Report(u.Name, l)
			}
		}
		choose := func(prefix uint64) identifier.Upstream {
			u, err := b.Choose(balancer.Query{Target: target(0), Prefix: prefix, PrefixRatio: x.shared})
			must.NoError(t, err)
			return u.Name
		}
		report("")
		home := choose(7)
		report(home)
		must.EqOp(t, x.atHome, choose(7) == home)
	}
}
