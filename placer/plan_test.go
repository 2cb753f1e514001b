package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/placer"
)

func configuration(states ...configurer.VersionState) (*configurer.Configuration, []identifier.Target) {
	cfg := &configurer.Configuration{}
	var targets []identifier.Target
	for i, s := range states {
		m := configurer.Model{
			Name: identifier.Model(fmt.Sprintf("m%02d", i)), Versions: []configurer.Version{{Name: "v1", State: s}},
		}
		cfg.Models = append(cfg.Models, m)
		targets = append(targets, identifier.Target{Model: m.Name, Version: "v1"})
	}
	return cfg, targets
}

// apply carries orders out as engines do.
func apply(t must.T, engines []placer.Engine, orders []placer.Order) {
	for _, o := range orders {
		i := slices.IndexFunc(engines, func(e placer.Engine) bool { return e.Upstream == o.Upstream })
		e := &engines[i]
		must.False(t, e.Leaving, must.Sprint("order to a leaving engine"))
		if o.Action == placer.ActionUnload {
			must.SliceContains(t, e.Loaded, o.Target)
			e.Loaded = slices.DeleteFunc(e.Loaded, func(x identifier.Target) bool { return x == o.Target })
			continue
		}
		must.SliceNotContains(t, e.Loaded, o.Target)
		e.Loaded = append(e.Loaded, o.Target)
		must.LessEq(t, e.MaxVersions, len(e.Loaded))
	}
}

func count(engines []placer.Engine, x identifier.Target) int {
	n := 0
	for _, e := range engines {
		if !e.Leaving && slices.Contains(e.Loaded, x) {
			n++
		}
	}
	return n
}

// Guards against a plan that never ends, starves a version in use of its two engines although there is room, keeps
// a withdrawn one, overfills an engine, or sends orders to one that leaves.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := rapid.SliceOfN(rapid.SampledFrom([]configurer.VersionState{
			configurer.VersionServing, configurer.VersionCandidate, configurer.VersionWithdrawn,
		}), 1, 8).Draw(rt, "states")
		cfg, targets := configuration(states...)
		engines := make([]placer.Engine, rapid.IntRange(2, 24).Draw(rt, "engines"))
		for i := range engines {
			places := rapid.IntRange(1, 4).Draw(rt, "places")
			loaded := rapid.SliceOfNDistinct(rapid.SampledFrom(targets), 0, min(places, len(targets)), rapid.ID).Draw(rt, "loaded")
			engines[i] = placer.Engine{
				Upstream: identifier.Upstream(fmt.Sprintf("u%02d", i)), MaxVersions: places, Loaded: loaded,
				Leaving: rapid.IntRange(0, 9).Draw(rt, "leaving") == 0,
			}
		}
		use := map[identifier.Target]float64{}
		for _, x := range targets {
			use[x] = rapid.Float64Range(0, 1000).Draw(rt, "use")
		}
		limit := 0
		for _, e := range engines {
			limit += 4 * e.MaxVersions
		}
		steps := 0
		for orders := placer.Plan(cfg, engines, use); len(orders) > 0; orders = placer.Plan(cfg, engines, use) {
			must.Less(rt, limit, steps, must.Sprintf("no end after %d plans: %v", steps, orders))
			apply(rt, engines, orders)
			steps++
		}
		places, live, wanted := 0, 0, 0
		for _, e := range engines {
			if !e.Leaving {
				places, live = places+e.MaxVersions, live+1
			}
		}
		for _, s := range states {
			if s != configurer.VersionWithdrawn {
				wanted++
			}
		}
		for i, x := range targets {
			if states[i] == configurer.VersionWithdrawn {
				must.Zero(rt, count(engines, x), must.Sprint("withdrawn version stays loaded"))
			} else if live >= 2 && places >= 4*wanted {
				must.GreaterEq(rt, 2, count(engines, x), must.Sprint("version in use has fewer than two engines"))
			}
		}
	})
}

// Guards against a new version or a lost engine that moves far more than it must.
func TestPlanMovesLittle(t *testing.T) {
	states := slices.Repeat([]configurer.VersionState{configurer.VersionServing}, 18)
	cfg, targets := configuration(states...)
	engines := make([]placer.Engine, 220)
	for i := range engines {
		engines[i] = placer.Engine{Upstream: identifier.Upstream(fmt.Sprintf("u%03d", i)), MaxVersions: 2}
	}
	use := map[identifier.Target]float64{}
	for i, x := range targets {
		use[x] = float64(1 + i)
	}
	settle := func() int {
		n := 0
		for orders := placer.Plan(cfg, engines, use); len(orders) > 0; orders = placer.Plan(cfg, engines, use) {
			apply(t, engines, orders)
			n += len(orders)
		}
		return n
	}
	must.Eq(t, 440, settle())
	added := identifier.Target{Model: "m00", Version: "v2"}
	cfg.Models[0].Versions = append(cfg.Models[0].Versions, configurer.Version{Name: "v2", State: configurer.VersionCandidate})
	moved := settle()
	t.Logf("a new version: %d orders for %d engines", moved, count(engines, added))
	must.GreaterEq(t, 2, count(engines, added))
	must.LessEq(t, 2*count(engines, added)+4, moved)
	engines = engines[1:]
	must.LessEq(t, 4, settle())
}

// Guards against use that is forgotten at once or kept for ever.
func TestUseHalves(t *testing.T) {
	now := time.Unix(0, 0)
	u := placer.NewUsageTracker(func() time.Time { return now })
	x := identifier.Target{Model: "m", Version: "v"}
	u.Add(x, 1000)
	now = now.Add(5 * time.Minute)
	must.InDelta(t, 500, u.Recent()[x], 1e-6)
	now = now.Add(2 * time.Hour)
	must.MapEmpty(t, u.Recent())
}
