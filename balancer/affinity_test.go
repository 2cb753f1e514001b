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

// Guards against a session that changes its upstream, against requests without a session that all follow it there, and against
// session affinity that continues when the upstream has much more load than the others.
func TestAffinity(t *testing.T) {
	now := start
	b := balancer.New("dc-0", withSeed(5), balancer.WithNow(func() time.Time { return now }))
	ups := newUpstreams(8, 1)
	b.Update(ups)
	report := func(loads ...int) {
		now = now.Add(time.Second)
		for i, u := range ups {
			b.Report(u.Name, streamer.Load{At: now, Running: loads[min(i, len(loads)-1)]})
		}
	}
	report(10)
	choose := func(q balancer.Query) identifier.Upstream {
		q.Target = target(0)
		u, err := b.Choose(q)
		must.NoError(t, err)
		return u.Name
	}
	first := choose(balancer.Query{Session: "s"})
	for range 3 {
		must.Eq(t, first, choose(balancer.Query{Session: "s"}))
	}
	otherChosen := false
	for range 40 {
		otherChosen = otherChosen || choose(balancer.Query{}) != first
	}
	must.True(t, otherChosen)
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

// Guards against entries that send the same prefix to different upstreams, prefixes that all have the same preferred upstream,
// prefixes that stay at an overloaded upstream or return to one that refused, and preferred upstreams in another region.
func TestPreferredUpstreams(t *testing.T) {
	now := start
	ups := newUpstreams(20, 1)
	otherRegion := balancer.Upstream{Name: "far", Region: "far", DataCentre: "dc-far", Targets: []identifier.Target{target(0)}}
	entries := make([]*balancer.Balancer, 4)
	reportLoads := func(load func(identifier.Upstream) int) {
		now = now.Add(time.Second)
		for _, b := range entries {
			for _, u := range ups {
				b.Report(u.Name, streamer.Load{At: now, Running: load(u.Name)})
			}
		}
	}
	for i := range entries {
		entries[i] = balancer.New(identifier.DataCentre(fmt.Sprintf("dc-%d", i)), withSeed(uint64(i)),
			balancer.WithNow(func() time.Time { return now }), balancer.WithSelf(identifier.Instance(fmt.Sprint(i))))
		entries[i].Update(append(slices.Clone(ups), otherRegion))
	}
	choose := func(prefix uint64, exclude ...identifier.Upstream) identifier.Upstream {
		var chosen identifier.Upstream
		for i, b := range entries {
			u, err := b.Choose(balancer.Query{Target: target(0), Prefix: prefix, Exclude: exclude})
			must.NoError(t, err)
			must.NotEq(t, otherRegion.Name, u.Name)
			if i > 0 {
				must.Eq(t, chosen, u.Name)
			}
			chosen = u.Name
		}
		return chosen
	}
	evenLoad := func(identifier.Upstream) int { return 10 }
	// Fill the prefix window first: in a short one, three requests make a prefix frequent, which disables its affinity.
	for prefix := uint64(1000); prefix < 1064; prefix++ {
		reportLoads(evenLoad)
		choose(prefix)
	}
	choices := map[identifier.Upstream]int{}
	for prefix := uint64(1); prefix <= 100; prefix++ {
		reportLoads(evenLoad)
		first := choose(prefix)
		choices[first]++
		reportLoads(evenLoad)
		must.Eq(t, first, choose(prefix))
		second := choose(prefix, first)
		must.NotEq(t, first, second)
		reportLoads(func(u identifier.Upstream) int {
			if u == first {
				return 30
			}
			return 10
		})
		must.Eq(t, second, choose(prefix))
	}
	must.Greater(t, len(ups)*3/4, len(choices))
	for _, n := range choices {
		must.Less(t, 100/4, n)
	}
}

// Guards against a preferred upstream that counts as full because a request waits there while slots are free: an engine reads
// prompts one after another. When the slots were learned from such samples, 6 requests of one prefix went to 5 engines.
func TestWaitingBesideFreeSlots(t *testing.T) {
	now := start
	ups := newUpstreams(8, 1)
	for i := range ups {
		ups[i].Slots = 64
	}
	b := balancer.New("dc-0", withSeed(1), balancer.WithNow(func() time.Time { return now }))
	b.Update(ups)
	report := func(waiting identifier.Upstream) {
		now = now.Add(time.Second)
		for _, u := range ups {
			l := streamer.Load{At: now, Running: 10}
			if u.Name == waiting {
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
	preferred := choose()
	report(preferred)
	must.EqOp(t, preferred, choose())
	must.Zero(t, b.Counters()["affinity-yielded"])
}

// Guards against affinity for a prefix of most requests, also after the list of upstreams is replaced, and against a rare prefix
// that loses its affinity next to a frequent one or for its first requests.
func TestFrequentPrefix(t *testing.T) {
	now := start
	ups := newUpstreams(20, 1)
	b := balancer.New("dc-0", withSeed(1), balancer.WithNow(func() time.Time { return now }))
	b.Update(ups)
	keepsAffinity := func(prefix uint64) bool {
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
		must.True(t, keepsAffinity(uint64(i)+100))
	}
	for range 40 {
		keepsAffinity(1)
	}
	must.False(t, keepsAffinity(1))
	must.True(t, keepsAffinity(2))
	b.Update(ups)
	must.False(t, keepsAffinity(1))
	for i := range 64 {
		must.True(t, keepsAffinity(uint64(i)+300))
	}
	must.True(t, keepsAffinity(1))
}

// Guards against long prefixes that are recomputed elsewhere because of a small difference in load, and against short ones that
// stay at an upstream with more load. The tolerated load grows with the length of the prefix up to a bound, beyond which the
// longest prompts would queue behind each other.
func TestPrefixLength(t *testing.T) {
	for _, tc := range []struct {
		prefixRatio float64
		load        int
		atPreferred bool
	}{{0.05, 14, false}, {1.5, 14, true}, {6, 14, true}, {6, 40, false}} {
		now := start
		b := balancer.New("dc-0", withSeed(1), balancer.WithNow(func() time.Time { return now }), balancer.WithChoices(8))
		ups := newUpstreams(8, 1)
		for i := range ups {
			ups[i].Slots = 64
		}
		b.Update(ups)
		report := func(busier identifier.Upstream) {
			now = now.Add(time.Second)
			for _, u := range ups {
				l := streamer.Load{At: now, Running: 10}
				if u.Name == busier {
					l.Running = tc.load
				}
				b.Report(u.Name, l)
			}
		}
		choose := func(prefix uint64) identifier.Upstream {
			u, err := b.Choose(balancer.Query{Target: target(0), Prefix: prefix, PrefixRatio: tc.prefixRatio})
			must.NoError(t, err)
			return u.Name
		}
		report("")
		preferred := choose(7)
		report(preferred)
		must.EqOp(t, tc.atPreferred, choose(7) == preferred)
	}
}
