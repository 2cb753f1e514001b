package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Engine is a model engine as its agent describes it.
type Engine struct {
	Upstream identifier.Upstream
	// Loaded lists the versions that the engine has loaded.
	Loaded []identifier.Target
	// MaxVersions is the number of versions that fit into the engine.
	MaxVersions int
	// Leaving is set when the engine takes no new work; it receives no orders.
	Leaving bool
}

// Action is what an order asks of an engine.
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

// The reasons of orders.
const (
	ReasonBelowShare = "below-share"
	ReasonWithdrawn  = "withdrawn"
	ReasonAboveShare = "above-share"
)

const (
	// minReplicas is the number of engines that each version in use has, so that one failure leaves it served.
	minReplicas = 2
	// maxOrders bounds the orders of one plan: engines read versions from a weight store with a rate limit, and an engine
	// that loads answers more slowly.
	maxOrders = 4
	// smoothing is added to each version's use before shares are computed, as a part of the mean use, so that a version
	// without recent work keeps a place and small changes of use move nothing.
	smoothing = 0.25
	// tolerance is the part of a share by which a version may exceed it before it has to make room for another.
	tolerance = 0.25
)

// Plan returns the next orders that bring the engines closer to the shares of the versions, in the order in which they
// are to be sent; none when nothing is to be done. Use is the work per version in any unit; a version without an
// entry counts as unused. The same input gives the same orders.
func Plan(cfg *configurer.Configuration, engines []Engine, use map[identifier.Target]float64) []Order {
	p := newPlanner(cfg, engines, use)
	p.unloadUnwanted()
	p.loadMissing()
	return p.orders
}

type planner struct {
	engines []*engineState
	wanted  []identifier.Target
	share   map[identifier.Target]int
	count   map[identifier.Target]int
	orders  []Order
}

type engineState struct {
	Engine
	loaded []identifier.Target
	// ordered is set once the plan has an order for the engine; one at a time keeps it answering.
	ordered bool
}

func newPlanner(cfg *configurer.Configuration, engines []Engine, use map[identifier.Target]float64) *planner {
	p := &planner{count: map[identifier.Target]int{}}
	places := 0
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		p.engines = append(p.engines, &engineState{Engine: e, loaded: slices.Clone(e.Loaded)})
		places += e.MaxVersions
		for _, t := range e.Loaded {
			p.count[t]++
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
	p.share = shares(p.wanted, use, places, len(p.engines))
	return p
}

// shares divides the places among the versions: the minimum first, the rest by use.
func shares(wanted []identifier.Target, use map[identifier.Target]float64, places, engines int) map[identifier.Target]int {
	share := make(map[identifier.Target]int, len(wanted))
	if len(wanted) == 0 {
		return share
	}
	total := 0.0
	for _, t := range wanted {
		total += max(0, use[t])
	}
	extra := smoothing * total / float64(len(wanted))
	if total == 0 {
		extra = 1
	}
	weight := func(t identifier.Target) float64 { return max(0, use[t]) + extra }
	// Each place goes to the version that has the least of its weight so far; the first ones secure the minimum.
	for range places {
		best := -1
		for i, t := range wanted {
			switch {
			case share[t] >= engines:
			case best < 0, needs(share, weight, t, wanted[best]):
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

// needs reports whether a needs the next place more than b.
func needs(share map[identifier.Target]int, weight func(identifier.Target) float64, a, b identifier.Target) bool {
	x, y := min(share[a], minReplicas), min(share[b], minReplicas)
	if x != y {
		return x < y
	}
	return weight(a)/float64(share[a]+1) > weight(b)/float64(share[b]+1)
}

// unloadUnwanted frees the places of versions that take no new work.
func (p *planner) unloadUnwanted() {
	for _, e := range p.engines {
		for _, t := range e.Loaded {
			if !slices.Contains(p.wanted, t) {
				p.order(e, ActionUnload, t, ReasonWithdrawn)
				break
			}
		}
	}
}

// loadMissing loads versions that are below their share, those with the fewest engines first, and makes room for them
// where no engine has a free place.
func (p *planner) loadMissing() {
	missing := slices.Clone(p.wanted)
	slices.SortStableFunc(missing, func(a, b identifier.Target) int {
		return cmp.Compare(min(p.count[a], minReplicas), min(p.count[b], minReplicas))
	})
	for _, t := range missing {
		for p.count[t] < p.allowed(t) {
			if e := p.freeEngine(t); e != nil {
				p.order(e, ActionLoad, t, ReasonBelowShare)
				p.count[t]++
				continue
			}
			if e, surplus := p.crowdedEngine(t); e != nil {
				p.order(e, ActionUnload, surplus, ReasonAboveShare)
				p.count[surplus]--
			}
			break
		}
	}
}

// allowed is the number of engines up to which a version is loaded.
func (p *planner) allowed(t identifier.Target) int {
	return min(p.share[t], len(p.engines))
}

// freeEngine returns the engine with the most free places that lacks the version; the hash spreads equal ones.
func (p *planner) freeEngine(t identifier.Target) *engineState {
	var best *engineState
	for _, e := range p.engines {
		if e.ordered || len(e.loaded) >= e.MaxVersions || slices.Contains(e.loaded, t) {
			continue
		}
		if best == nil || before(e, best, t) {
			best = e
		}
	}
	return best
}

func before(a, b *engineState, t identifier.Target) bool {
	x, y := a.MaxVersions-len(a.loaded), b.MaxVersions-len(b.loaded)
	if x != y {
		return x > y
	}
	return weightOf(a.Upstream, t) < weightOf(b.Upstream, t)
}

func weightOf(u identifier.Upstream, t identifier.Target) uint64 {
	return xxhash.Sum64String(string(u) + "\x00" + t.String())
}

// crowdedEngine returns an engine that lacks the version and has one that exceeds its share by more than the
// tolerance, with that version. A version below its minimum takes the place of any that exceeds its share.
func (p *planner) crowdedEngine(t identifier.Target) (*engineState, identifier.Target) {
	var (
		best    *engineState
		surplus identifier.Target
		most    float64
	)
	slack := tolerance
	if p.count[t] < minReplicas {
		slack = 0
	}
	for _, e := range p.engines {
		if e.ordered || slices.Contains(e.loaded, t) {
			continue
		}
		for _, x := range e.loaded {
			over := float64(p.count[x]-p.share[x]) - slack*float64(p.share[x])
			if over > 0 && p.count[x] > minReplicas && over > most {
				best, surplus, most = e, x, over
			}
		}
	}
	return best, surplus
}

func (p *planner) order(e *engineState, a Action, t identifier.Target, reason string) {
	if e.ordered || len(p.orders) >= maxOrders {
		e.ordered = true
		return
	}
	e.ordered = true
	if a == ActionLoad {
		e.loaded = append(e.loaded, t)
	} else {
		e.loaded = slices.DeleteFunc(e.loaded, func(x identifier.Target) bool { return x == t })
	}
	p.orders = append(p.orders, Order{Upstream: e.Upstream, Action: a, Target: t, Reason: reason})
}
