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

func newConfiguration(states ...configurer.VersionState) (*configurer.Configuration, []identifier.Target) {
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

// applyOrders changes the engines as if they had carried out the orders, and checks that each order is valid.
func applyOrders(t must.T, engines []placer.Engine, orders []placer.Order) {
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

func engineCount(engines []placer.Engine, x identifier.Target) int {
	n := 0
	for _, e := range engines {
		if !e.Leaving && slices.Contains(e.Loaded, x) {
			n++
		}
	}
	return n
}

// Guards against plans that never end, leave a version in use on fewer than two engines although there is room, keep a
// withdrawn version loaded, load too many versions on an engine, or send orders to a leaving engine.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := rapid.SliceOfN(rapid.SampledFrom([]configurer.VersionState{
			configurer.VersionServing, configurer.VersionCandidate, configurer.VersionWithdrawn,
		}), 1, 8).Draw(rt, "states")
		cfg, targets := newConfiguration(states...)
		engines := make([]placer.Engine, rapid.IntRange(2, 24).Draw(rt, "engines"))
		for i := range engines {
			slots := rapid.IntRange(1, 4).Draw(rt, "places")
			loaded := rapid.SliceOfNDistinct(rapid.SampledFrom(targets), 0, min(slots, len(targets)), rapid.ID).Draw(rt, "loaded")
			engines[i] = placer.Engine{
				Upstream: identifier.Upstream(fmt.Sprintf("u%02d", i)), MaxVersions: slots, Loaded: loaded,
				Leaving: rapid.IntRange(0, 9).Draw(rt, "leaving") == 0,
			}
		}
		usage := map[identifier.Target]float64{}
		for _, x := range targets {
			usage[x] = rapid.Float64Range(0, 1000).Draw(rt, "use")
		}
		maxPlans := 0
		for _, e := range engines {
			maxPlans += 4 * e.MaxVersions
		}
		plans := 0
		for orders := placer.Plan(cfg, engines, usage); len(orders) > 0; orders = placer.Plan(cfg, engines, usage) {
			must.Less(rt, maxPlans, plans, must.Sprintf("still orders after %d plans: %v", plans, orders))
			applyOrders(rt, engines, orders)
			plans++
		}
		slots, liveEngines, wanted := 0, 0, 0
		for _, e := range engines {
			if !e.Leaving {
				slots, liveEngines = slots+e.MaxVersions, liveEngines+1
			}
		}
		for _, s := range states {
			if s != configurer.VersionWithdrawn {
				wanted++
			}
		}
		for i, x := range targets {
			if states[i] == configurer.VersionWithdrawn {
				must.Zero(rt, engineCount(engines, x), must.Sprint("withdrawn version stays loaded"))
			} else if liveEngines >= 2 && slots >= 4*wanted {
				must.GreaterEq(rt, 2, engineCount(engines, x), must.Sprint("version in use has fewer than two engines"))
			}
		}
	})
}

// Guards against a new version or a lost engine that causes far more orders than necessary.
func TestPlanLimitsMoves(t *testing.T) {
	states := slices.Repeat([]configurer.VersionState{configurer.VersionServing}, 18)
	cfg, targets := newConfiguration(states...)
	engines := make([]placer.Engine, 220)
	for i := range engines {
		engines[i] = placer.Engine{Upstream: identifier.Upstream(fmt.Sprintf("u%03d", i)), MaxVersions: 2}
	}
	usage := map[identifier.Target]float64{}
	for i, x := range targets {
		usage[x] = float64(1 + i)
	}
	planUntilStable := func() int {
		n := 0
		for orders := placer.Plan(cfg, engines, usage); len(orders) > 0; orders = placer.Plan(cfg, engines, usage) {
			applyOrders(t, engines, orders)
			n += len(orders)
		}
		return n
	}
	must.Eq(t, 440, planUntilStable())
	added := identifier.Target{Model: "m00", Version: "v2"}
	cfg.Models[0].Versions = append(cfg.Models[0].Versions, configurer.Version{Name: "v2", State: configurer.VersionCandidate})
	orderCount := planUntilStable()
	t.Logf("a new version: %d orders for %d engines", orderCount, engineCount(engines, added))
	must.GreaterEq(t, 2, engineCount(engines, added))
	must.LessEq(t, 2*engineCount(engines, added)+4, orderCount)
	engines = engines[1:]
	must.LessEq(t, 4, planUntilStable())
}

// Guards against usage that is dropped at once or kept for ever.
func TestUsageDecay(t *testing.T) {
	now := time.Unix(0, 0)
	u := placer.NewUsageTracker(func() time.Time { return now })
	x := identifier.Target{Model: "m", Version: "v"}
	u.Add(x, 1000)
	now = now.Add(5 * time.Minute)
	must.InDelta(t, 500, u.Recent()[x], 1e-6)
	now = now.Add(2 * time.Hour)
	must.MapEmpty(t, u.Recent())
}
