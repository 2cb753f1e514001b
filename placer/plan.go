package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Engine is the state of a model engine as reported by its agent.
type Engine struct {
	Upstream identifier.Upstream
	// Loaded lists the versions that the engine has loaded.
	Loaded []identifier.Target
	// MaxVersions is the number of versions that fit into the engine.
	MaxVersions int
	// Leaving is set when the engine takes no new work; it gets no orders.
	Leaving bool
}

// Action is the kind of an order.
type Action string

// The actions of an order; both are idempotent.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks one engine to load or unload one version.
type Order struct {
	Upstream identifier.Upstream
	Action   Action
	Target   identifier.Target
	Reason   string
}

// The reasons for orders.
const (
	// ReasonBelowShare means that the version is loaded on fewer engines than its share.
	ReasonBelowShare = "below-share"
	// ReasonWithdrawn means that the version is withdrawn or not configured.
	ReasonWithdrawn = "withdrawn"
	// ReasonAboveShare means that the version exceeds its share and is unloaded to make room for another.
	ReasonAboveShare = "above-share"
)

const (
	// minEnginesPerVersion is the number of engines on which each version is loaded if there is room, so that it is still
	// served after one failure.
	minEnginesPerVersion = 2
	// maxOrdersPerPlan limits the orders of one plan, because engines read versions from a weight store with a rate limit and
	// an engine answers more slowly while it loads.
	maxOrdersPerPlan = 4
	// usageSmoothing is the fraction of the mean usage that is added to the usage of each version before shares are computed,
	// so that a version without recent work stays loaded and small changes of usage cause no orders.
	usageSmoothing = 0.25
	// shareTolerance is the fraction of its share by which a version may exceed it before it is unloaded for another.
	shareTolerance = 0.25
)

// Plan returns the next orders that bring the engines closer to the shares of the versions, in the sequence in which they
// are to be sent, or none if nothing needs to change. The usage is the work per version in any unit; a version without an
// entry counts as unused. The same input gives the same orders.
func Plan(cfg *configurer.Configuration, engines []Engine, usage map[identifier.Target]float64) []Order {
	p := newPlanner(cfg, engines, usage)
	p.unloadWithdrawn()
	p.loadBelowShare()
	return p.orders
}

// planner builds one plan.
type planner struct {
	// engines are those that are not leaving, sorted by upstream.
	engines []*engineState
	// wanted lists the configured versions that are not withdrawn.
	wanted []identifier.Target
	// share is the number of engines on which each wanted version should be loaded.
	share map[identifier.Target]int
	// engineCount is the number of engines that have each version loaded, assuming that the orders so far are carried out.
	engineCount map[identifier.Target]int
	orders      []Order
}

// engineState is an engine during planning.
type engineState struct {
	Engine
	// loaded lists the versions that the engine has loaded, assuming that the orders so far are carried out.
	loaded []identifier.Target
	// hasOrder is set once the engine can get no further order in this plan. One order at a time lets an engine go on
	// answering requests.
	hasOrder bool
}

func newPlanner(cfg *configurer.Configuration, engines []Engine, usage map[identifier.Target]float64) *planner {
	p := &planner{engineCount: map[identifier.Target]int{}}
	slots := 0
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		p.engines = append(p.engines, &engineState{Engine: e, loaded: slices.Clone(e.Loaded)})
		slots += e.MaxVersions
		for _, t := range e.Loaded {
			p.engineCount[t]++
		}
	}
	slices.SortFunc(p.engines, func(a, b *engineState) int { return cmp.Compare(a.Upstream, b.Upstream) })
	for _, m := range cfg.Models {
		for _, v := range m.Versions {
			if v.State != configurer.VersionWithdrawn {
				p.wanted = append(p.wanted, identifier.Target{Model: m.Name, Version: v.Name})
			}
		}
	}
	p.share = shares(p.wanted, usage, slots, len(p.engines))
	return p
}

// shares divides the slots, one per loaded version and engine, among the wanted versions: minEnginesPerVersion each first,
// the rest by usage. No version gets more slots than there are engines.
func shares(wanted []identifier.Target, usage map[identifier.Target]float64, slots, engines int) map[identifier.Target]int {
	share := make(map[identifier.Target]int, len(wanted))
	if len(wanted) == 0 {
		return share
	}
	total := 0.0
	for _, t := range wanted {
		total += max(0, usage[t])
	}
	smoothingWeight := usageSmoothing * total / float64(len(wanted))
	if total == 0 {
		smoothingWeight = 1
	}
	weight := func(t identifier.Target) float64 { return max(0, usage[t]) + smoothingWeight }
	// Each slot goes to the version that needs it most; the first ones give every version its minimum.
	for range slots {
		best := -1
		for i, t := range wanted {
			switch {
			case share[t] >= engines:
			case best < 0, needsMore(share, weight, t, wanted[best]):
				best = i
			}
		}
		if best < 0 {
			break
		}
		share[wanted[best]]++
	}
	return share
}

// needsMore reports whether version a needs the next slot more than b: because it is further below the minimum, or else
// because its weight per slot would be higher.
func needsMore(share map[identifier.Target]int, weight func(identifier.Target) float64, a, b identifier.Target) bool {
	x, y := min(share[a], minEnginesPerVersion), min(share[b], minEnginesPerVersion)
	if x != y {
		return x < y
	}
	return weight(a)/float64(share[a]+1) > weight(b)/float64(share[b]+1)
}

// unloadWithdrawn unloads the versions that are withdrawn or no longer configured.
func (p *planner) unloadWithdrawn() {
	for _, e := range p.engines {
		for _, t := range e.Loaded {
			if !slices.Contains(p.wanted, t) {
				p.addOrder(e, ActionUnload, t, ReasonWithdrawn)
				break
			}
		}
	}
}

// loadBelowShare loads the versions that are below their share, those below the minimum first, and where no engine has a
// free slot unloads another version to make room.
func (p *planner) loadBelowShare() {
	versions := slices.Clone(p.wanted)
	slices.SortStableFunc(versions, func(a, b identifier.Target) int {
		return cmp.Compare(min(p.engineCount[a], minEnginesPerVersion), min(p.engineCount[b], minEnginesPerVersion))
	})
	for _, t := range versions {
		for p.engineCount[t] < p.desiredEngines(t) {
			if e := p.engineWithFreeSlot(t); e != nil {
				p.addOrder(e, ActionLoad, t, ReasonBelowShare)
				p.engineCount[t]++
				continue
			}
			if e, toUnload := p.engineAboveShare(t); e != nil {
				p.addOrder(e, ActionUnload, toUnload, ReasonAboveShare)
				p.engineCount[toUnload]--
			}
			break
		}
	}
}

// desiredEngines returns the number of engines on which a version should be loaded.
func (p *planner) desiredEngines(t identifier.Target) int {
	return min(p.share[t], len(p.engines))
}

// engineWithFreeSlot returns the engine with the most free slots that has not loaded the version, or nil. Among engines
// with equally many, a hash spreads the versions.
func (p *planner) engineWithFreeSlot(t identifier.Target) *engineState {
	var best *engineState
	for _, e := range p.engines {
		if e.hasOrder || len(e.loaded) >= e.MaxVersions || slices.Contains(e.loaded, t) {
			continue
		}
		if best == nil || preferred(e, best, t) {
			best = e
		}
	}
	return best
}

// preferred reports whether engine a is a better choice than b to load the version.
func preferred(a, b *engineState, t identifier.Target) bool {
	x, y := a.MaxVersions-len(a.loaded), b.MaxVersions-len(b.loaded)
	if x != y {
		return x > y
	}
	return spreadHash(a.Upstream, t) < spreadHash(b.Upstream, t)
}

// spreadHash orders the engines differently for each version.
func spreadHash(u identifier.Upstream, t identifier.Target) uint64 {
	return xxhash.Sum64String(string(u) + "\x00" + t.String())
}

// engineAboveShare returns an engine that has not loaded the version t but one that exceeds its share by more than the
// tolerance, and the version to unload there. If t is below its minimum, the tolerance is zero.
func (p *planner) engineAboveShare(t identifier.Target) (*engineState, identifier.Target) {
	var (
		best      *engineState
		toUnload  identifier.Target
		maxExcess float64
	)
	tolerated := shareTolerance
	if p.engineCount[t] < minEnginesPerVersion {
		tolerated = 0
	}
	for _, e := range p.engines {
		if e.hasOrder || slices.Contains(e.loaded, t) {
			continue
		}
		for _, x := range e.loaded {
			excess := float64(p.engineCount[x]-p.share[x]) - tolerated*float64(p.share[x])
			if excess > 0 && p.engineCount[x] > minEnginesPerVersion && excess > maxExcess {
				best, toUnload, maxExcess = e, x, excess
			}
		}
	}
	return best, toUnload
}

// addOrder adds an order for the engine unless it has one already or the plan is full, and applies it to the engine's
// state.
func (p *planner) addOrder(e *engineState, a Action, t identifier.Target, reason string) {
	if e.hasOrder || len(p.orders) >= maxOrdersPerPlan {
		e.hasOrder = true
		return
	}
	e.hasOrder = true
	if a == ActionLoad {
		e.loaded = append(e.loaded, t)
	} else {
		e.loaded = slices.DeleteFunc(e.loaded, func(x identifier.Target) bool { return x == t })
	}
	p.orders = append(p.orders, Order{Upstream: e.Upstream, Action: a, Target: t, Reason: reason})
}
