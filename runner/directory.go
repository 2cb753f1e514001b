package runner

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
)

// Suffixes of the service name for groups of upstreams during and after a roll-out. A request goes to the group that its session
// is assigned to; no request goes to an excluded group.
const (
	candidateSuffix = "@candidate"
	excludedSuffix  = "@excluded"
)

// directory divides the upstreams of each service into groups and passes them to the balancer.
type directory struct {
	regions map[identifier.DataCentre]identifier.Region
	// group returns the group of a version of a service.
	group func(identifier.Service, identifier.Version) identifier.Service
	// isEvacuated reports whether a data centre must get no new requests.
	isEvacuated func(identifier.DataCentre) bool
	update      func([]balancer.Upstream)

	mu   sync.Mutex
	list []registrar.Upstream

	byName atomic.Pointer[map[identifier.Upstream]*registrar.Upstream]
	sizes  atomic.Pointer[map[regionalGroup]int]
}

// regionalGroup is the part of a group in a region, or the whole group if allRegions is set.
type regionalGroup struct {
	group      identifier.Service
	region     identifier.Region
	allRegions bool
}

// setList replaces the list of upstreams.
func (d *directory) setList(list []registrar.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	d.rebuild()
}

// regroup rebuilds the groups after the state of a roll-out or the evacuated data centres have changed.
func (d *directory) regroup() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuild()
}

func (d *directory) rebuild() {
	upstreams := make([]balancer.Upstream, 0, len(d.list))
	byName := make(map[identifier.Upstream]*registrar.Upstream, len(d.list))
	sizes := map[regionalGroup]int{}
	for i := range d.list {
		u := &d.list[i]
		if isGroup(u.Service) {
			continue
		}
		name, group := u.Incarnation(), d.group(u.Service, u.Version)
		if d.isEvacuated(u.DataCentre) {
			// It is found by its name, for the requests in flight, but not known to the balancer, which so forgets its load samples.
			evacuated := *u
			evacuated.Evacuated = true
			byName[name] = &evacuated
			continue
		}
		upstreams = append(upstreams, balancer.Upstream{
			Name: name, Region: d.regions[u.DataCentre], DataCentre: u.DataCentre, Service: group, Slots: u.Slots, Leaving: u.Leaving,
		})
		byName[name] = u
		if !u.Leaving {
			sizes[regionalGroup{group: group, allRegions: true}]++
			sizes[regionalGroup{group: group, region: d.regions[u.DataCentre]}]++
		}
	}
	d.byName.Store(&byName)
	d.sizes.Store(&sizes)
	d.update(upstreams)
}

// isGroup reports whether the name of a service is that of a group of another service. No service of a configuration has such a name, but a
// registration of another writer may.
func isGroup(s identifier.Service) bool {
	return strings.HasSuffix(string(s), candidateSuffix) || strings.HasSuffix(string(s), excludedSuffix)
}

// upstream returns the upstream with a name that the balancer chose, or nil if it is no longer listed.
func (d *directory) upstream(name identifier.Upstream) *registrar.Upstream {
	if m := d.byName.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// isAvailable reports whether an upstream is listed and accepts new requests.
func (d *directory) isAvailable(name identifier.Upstream) bool {
	u := d.upstream(name)
	return u != nil && u.IsEligible()
}

// sizeOf returns the number of listed upstreams of a data centre.
func (d *directory) sizeOf(name identifier.DataCentre) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for i := range d.list {
		if d.list[i].DataCentre == name {
			n++
		}
	}
	return n
}

// size returns the number of upstreams of a group that accept new requests and may serve those that are bound to some regions.
func (d *directory) size(group identifier.Service, bound matcher.Regions) int {
	m := d.sizes.Load()
	if m == nil {
		return 0
	}
	if bound == nil {
		return (*m)[regionalGroup{group: group, allRegions: true}]
	}
	n := 0
	for region := range bound {
		n += (*m)[regionalGroup{group: group, region: region}]
	}
	return n
}
