package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against a choice that has more load than the least loaded upstream by more than the allowed slack, when all samples are
// equally old and every upstream is in the subset. The slack is 0 within one data centre, plus the distance penalty with several
// data centres or regions, plus the load that affinity tolerates for a session or a prefix. Requests begun since a fresh sample
// count in full.
func TestChooseAgainstLeastLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		n := rapid.IntRange(1, 12).Draw(t, "upstreams")
		centres := rapid.IntRange(1, 3).Draw(t, "data centres")
		regions := rapid.IntRange(1, centres).Draw(t, "regions")
		session := identifier.Session(rapid.SampledFrom([]string{"", "s"}).Draw(t, "session"))
		prefix := rapid.Uint64Range(0, 2).Draw(t, "prefix")
		b := balancer.New("dc-0", withSeed(rapid.Uint64().Draw(t, "seed")), balancer.WithNow(func() time.Time { return now }),
			balancer.WithRegion("r-0"), balancer.WithChoices(n), balancer.WithSampleLimits(10*time.Second, time.Second, 1000))
		ups := make([]balancer.Upstream, n)
		for i := range ups {
			ups[i] = balancer.Upstream{
				Name: identifier.Upstream(fmt.Sprintf("u%d", i)), Targets: []identifier.Target{target(0)},
				DataCentre: identifier.DataCentre(fmt.Sprintf("dc-%d", i%centres)),
				Region:     identifier.Region(fmt.Sprintf("r-%d", i%centres%regions)),
			}
		}
		b.Update(ups)
		loads := map[identifier.Upstream]int{}
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			now = now.Add(5 * time.Second)
			mean := 0.0
			for _, u := range ups {
				l := rapid.IntRange(0, 30).Draw(t, "load")
				loads[u.Name] = l
				mean += float64(l) / float64(n)
				b.Report(u.Name, streamer.Load{At: now, Running: l, Queued: []int{0}})
			}
			age := time.Duration(rapid.IntRange(0, 3).Draw(t, "age in seconds")) * time.Second
			now = now.Add(age)
			choices := 1
			if age == 0 {
				choices = rapid.IntRange(1, 20).Draw(t, "choices")
			}
			for range choices {
				u, err := b.Choose(balancer.Query{Target: target(0), Session: session, Prefix: prefix})
				if err != nil {
					t.Fatal(err)
				}
				leastLoad := loads[ups[0].Name]
				for _, l := range loads {
					leastLoad = min(leastLoad, l)
				}
				slack := 1e-6
				if centres > 1 {
					slack += 0.1 + 0.02*mean
				}
				if regions > 1 {
					slack += 1 + 0.25*mean
				}
				if session != "" || prefix != 0 {
					slack += 1 + 0.25*mean
				}
				// A sample has half its weight after a second, so the same slack allows a larger difference between old samples.
				slack *= 1 + age.Seconds()
				if excess := float64(loads[u.Name] - leastLoad); excess > slack {
					t.Fatalf("chose load %d, least %d, mean %.2f, slack %.2f", loads[u.Name], leastLoad, mean, slack)
				}
				b.Begin(u.Name)
				loads[u.Name]++
			}
		}
	})
}
