package runner

import (
	"sync"
	"sync/atomic"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// The groups of a service's upstreams while versions change. A request goes to the group that its session is assigned to.
const (
	candidateSuffix = "@candidate"
	excludedSuffix  = "@excluded"
)

// directory divides the upstreams of each service into groups and gives them to the balancer.
type directory struct {
	regions map[identifier.DataCentre]identifier.Region
	// group returns the group of a version of a service.
	group  func(identifier.Service, identifier.Version) identifier.Service
	update func([]balancer.Upstream)

	mu   sync.Mutex
	list []registrar.Upstream

	byName atomic.Pointer[map[identifier.Upstream]*registrar.Upstream]
	sizes  atomic.Pointer[map[identifier.Service]int]
}

// set takes a new list of upstreams.
func (d *directory) set(list []registrar.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	d.rebuild()
}

// regroup builds the groups anew after a change of a roll-out.
func (d *directory) regroup() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuild()
}

func (d *directory) rebuild() {
	ups := make([]balancer.Upstream, 0, len(d.list))
	byName := make(map[identifier.Upstream]*registrar.Upstream, len(d.list))
	sizes := map[identifier.Service]int{}
	for i := range d.list {
		u := &d.list[i]
		name, group := u.Incarnation(), d.group(u.Service, u.Version)
		ups = append(ups, balancer.Upstream{
			Name: name, Region: d.regions[u.DataCentre], DataCentre: u.DataCentre, Service: group, Slots: u.Slots, Leaving: u.Leaving,
		})
		byName[name] = u
		if !u.Leaving {
			sizes[group]++
		}
	}
	d.byName.Store(&byName)
	d.sizes.Store(&sizes)
	d.update(ups)
}

// upstream returns the upstream of a choice, or nil.
func (d *directory) upstream(name identifier.Upstream) *registrar.Upstream {
	if m := d.byName.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// size returns the number of upstreams of a group that take new requests.
func (d *directory) size(group identifier.Service) int {
	if m := d.sizes.Load(); m != nil {
		return (*m)[group]
	}
	return 0
}
