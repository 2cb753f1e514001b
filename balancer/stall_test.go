package balancer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against requests sent to a stalled upstream, also by affinity, while others work, against avoiding most upstreams when
// their version is slow, and against an upstream that is not used again after it has recovered.
func TestStalled(t *testing.T) {
	for _, tc := range []struct {
		name    string
		stalled int
		avoided bool
	}{{"one of eight", 1, true}, {"three of eight", 3, true}, {"half", 4, false}, {"all", 8, false}} {
		t.Run(tc.name, func(t *testing.T) {
			now := start
			b := balancer.New("dc-0", withSeed(7), balancer.WithNow(func() time.Time { return now }))
			ups := newUpstreams(8, 1)
			b.Update(ups)
			report := func(stalled int) {
				now = now.Add(time.Second)
				for i, u := range ups {
					b.Report(u.Name, streamer.Load{At: now, Running: 4 + i, Stalled: i < stalled})
				}
			}
			// countStalledChoices returns how many of 200 choices are of upstreams that stall in this test case.
			countStalledChoices := func() int {
				n := 0
				for range 200 {
					now = now.Add(20 * time.Millisecond)
					u, err := b.Choose(balancer.Query{Target: target(0), Session: "s"})
					must.NoError(t, err)
					for i := range tc.stalled {
						if ups[i].Name == u.Name {
							n++
						}
					}
				}
				return n
			}
			report(0)
			must.Positive(t, countStalledChoices())
			report(tc.stalled)
			if tc.avoided {
				must.Zero(t, countStalledChoices())
			} else {
				must.Positive(t, countStalledChoices())
			}
			b.Update(ups)
			must.Eq(t, tc.avoided, countStalledChoices() == 0)
			report(0)
			must.Positive(t, countStalledChoices())
		})
	}
}

// Guards against a stalled upstream that is not probed for minutes: it gets no requests, so only a probe can show that it works
// again.
func TestProbeOfStalled(t *testing.T) {
	now := start
	b := balancer.New("dc-0", withSeed(7), balancer.WithNow(func() time.Time { return now }))
	ups := newUpstreams(20, 1)
	b.Update(ups)
	_, err := b.Choose(balancer.Query{Target: target(0)})
	must.NoError(t, err)
	now = now.Add(time.Second)
	for i, u := range ups {
		b.Report(u.Name, streamer.Load{At: now.Add(time.Duration(i) * time.Millisecond), Stalled: i == len(ups)-1})
	}
	var probed []identifier.Upstream
	for range 14 {
		now = now.Add(time.Second)
		u, ok := b.NextProbe()
		must.True(t, ok)
		probed = append(probed, u.Name)
	}
	must.SliceContains(t, probed[9:], ups[19].Name)
	must.SliceNotContains(t, probed[:9], ups[19].Name)
}

// Guards against a slow upstream that gets as many requests as the others, against one that gets none although the others have
// much more load, and against a slow version whose upstreams all count as loaded.
func TestSlowUpstream(t *testing.T) {
	for _, tc := range []struct {
		name      string
		slow      int
		load      int
		want, max int
	}{
		{"one slow", 1, 4, 0, 0}, {"one slow, others loaded", 1, 12, 50, 200}, {"all slow, two in the data centre", 8, 4, 50, 150},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := start
			b := balancer.New("dc-0", withSeed(7), balancer.WithNow(func() time.Time { return now }))
			ups := newUpstreams(8, 1)
			b.Update(ups)
			choices := 0
			for range 200 {
				now = now.Add(time.Second)
				for i, u := range ups {
					l := streamer.Load{At: now, Running: tc.load, TokenInterval: 30 * time.Millisecond}
					if i < tc.slow {
						l.TokenInterval *= 2
					}
					if i == 0 {
						l.Running = 4
					}
					b.Report(u.Name, l)
				}
				u, err := b.Choose(balancer.Query{Target: target(0)})
				must.NoError(t, err)
				if u.Name == ups[0].Name {
					choices++
				}
			}
			must.Between(t, tc.want, choices, tc.max)
		})
	}
}
