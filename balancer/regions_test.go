package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// regions returns a set of regions.
func regions(names ...identifier.Region) map[identifier.Region]struct{} {
	set := map[identifier.Region]struct{}{}
	for _, name := range names {
		set[name] = struct{}{}
	}
	return set
}

// Guards against an upstream in a region to which the request is not bound, whether it is the nearest, the least loaded, that of the session, a
// preferred one of the prefix or the trial of a breaker, and against a refusal while an upstream of an allowed region is left, also outside the
// subset.
func TestChoiceKeepsRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := balancer.New("dc0", balancer.WithRegion("r0"), balancer.WithNow(func() time.Time { return now }),
			balancer.WithSubsetSize(rapid.IntRange(1, 6).Draw(t, "subset")))
		all := []identifier.Region{"r0", "r1", "r2", ""}
		regionOf := map[identifier.Upstream]identifier.Region{}
		var list []balancer.Upstream
		for i := range rapid.IntRange(1, 12).Draw(t, "upstreams") {
			r := rapid.IntRange(0, 3).Draw(t, "region")
			u := balancer.Upstream{
				Name: identifier.Upstream(fmt.Sprint("u", i)), Region: all[r], DataCentre: identifier.DataCentre(fmt.Sprint("dc", r)), Service: "s", Slots: 4,
			}
			regionOf[u.Name] = u.Region
			list = append(list, u)
		}
		b.Update(list)
		for range 40 {
			q := balancer.Query{Service: "s", Prefix: rapid.Uint64Range(0, 2).Draw(t, "prefix"), Session: "x"}
			if rapid.Bool().Draw(t, "bound") {
				q.Regions = regions(rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "regions")...)
			}
			isAllowed := func(name identifier.Upstream) bool {
				_, ok := q.Regions[regionOf[name]]
				return q.Regions == nil || ok && regionOf[name] != ""
			}
			isServed := false
			for name := range regionOf {
				isServed = isServed || isAllowed(name)
			}
			has := b.HasUpstream(q)
			u, err := b.Choose(q)
			must.EqOp(t, err == nil, has)
			if err != nil {
				// A breaker may be open; without failures there is always a choice.
				now = now.Add(time.Minute)
				if q.Regions != nil {
					must.EqOp(t, isServed, b.HasUpstream(q))
				}
				continue
			}
			must.True(t, isAllowed(u.Name))
			b.Begin(u.Name)
			b.Report(u.Name, streamer.Load{At: now, Running: rapid.IntRange(0, 5).Draw(t, "running")})
			b.End(u.Name, rapid.SampledFrom([]balancer.Result{balancer.ResultSuccess, balancer.ResultFailure}).Draw(t, "result"))
			now = now.Add(10 * time.Millisecond)
		}
	})
}

// Guards against a region whose upstreams are all outside the subset and that is refused for ever once their breakers have opened, and against a
// choice by name outside the allowed regions.
func TestBoundRequestClosesBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := balancer.New("dc0", balancer.WithRegion("r0"), balancer.WithNow(func() time.Time { return now }), balancer.WithSubsetSize(1))
	b.Update([]balancer.Upstream{
		{Name: "near", Region: "r0", DataCentre: "dc0", Service: "s"}, {Name: "far", Region: "r1", DataCentre: "dc1", Service: "s"},
	})
	q := balancer.Query{Service: "s", Regions: regions("r1")}
	_, err := b.ChooseNamed(q, "near")
	must.ErrorIs(t, err, balancer.ErrNoUpstream)
	for range 5 {
		u, err := b.Choose(q)
		must.NoError(t, err)
		must.EqOp(t, "far", string(u.Name))
		b.Begin(u.Name)
		b.End(u.Name, balancer.ResultFailure)
	}
	must.False(t, b.HasUpstream(q))
	now = now.Add(time.Minute)
	must.True(t, b.HasUpstream(q))
	u, err := b.Choose(q)
	must.NoError(t, err)
	_, err = b.Choose(q)
	must.ErrorIs(t, err, balancer.ErrNoUpstream)
	b.Begin(u.Name)
	b.End(u.Name, balancer.ResultSuccess)
	_, err = b.Choose(q)
	must.NoError(t, err)
}
