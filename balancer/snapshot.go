package balancer

import (
	"cmp"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// Upstream is a model engine or a plain service as an entry reaches it, through its agent.
type Upstream struct {
	Name       identifier.Upstream
	Region     identifier.Region
	DataCentre identifier.DataCentre
	Agent      netip.AddrPort
	// Targets lists the versions that a model engine has loaded.
	Targets []identifier.Target
	// Service is set for a plain service.
	Service identifier.Service
	// Slots is the number of requests that it runs at once, or 0 to learn it from samples.
	Slots int
	// Leaving is set when the upstream must receive no new work.
	Leaving bool
}

// node is the mutable view of one upstream; it outlives snapshots.
type node struct {
	number   uint32
	hash     uint64 // of the name
	breaker  *breaker
	leaving  atomic.Bool
	stalled  atomic.Bool  // the last sample tells that the engine makes no progress
	inFlight atomic.Int64 // requests of this entry
	sampleAt atomic.Int64 // Unix nanoseconds, 0 without a sample
	load     atomic.Int64 // running and waiting requests in the sample
	slots    atomic.Int64 // requests that it runs at once: as listed, or those that ran while others waited; 0 if unknown
	listed   atomic.Bool  // the list states the slots
	running  atomic.Int64 // running requests in the sample
	step     atomic.Int64 // nanoseconds between two tokens in the sample, 0 if unknown
	delta    atomic.Int64 // requests begun less those ended here since the sample
	uses     atomic.Int64 // choices since the sample
	probedAt atomic.Int64 // Unix nanoseconds of the last probe sent
	recent   history
}

// candidate is an upstream within one snapshot.
type candidate struct {
	upstream Upstream
	node     *node
	distance int
	pools    []*pool
}

// The distances of an upstream, the nearest first.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distances
)

// pool is the candidates of one target or service.
type pool struct {
	// near is this entry's subset, ordered by distance; ends holds the end of each distance in it.
	near []*candidate
	ends [distances]int
	// rest takes over only when no member of the subset is usable.
	rest []*candidate
	// sum is the sum of the sampled loads of sampled members of the subset.
	sum     atomic.Int64
	sampled atomic.Int64
	// steps is the sum of the known steps of the members of the subset, stepped their number.
	steps   atomic.Int64
	stepped atomic.Int64
	// stalled counts the stalled members of the subset.
	stalled atomic.Int64
	usedAt  atomic.Int64 // Unix nanoseconds of the last choice
	// prefixes outlives snapshots.
	prefixes *prefixes
	// fresh is the probe pool: the indexes in near of the latest samples.
	fresh [freshSize]atomic.Int32
	next  atomic.Uint32
}

// newPool returns an empty pool that keeps the frequencies of the prefixes of the one before.
func newPool(old *pool) *pool {
	if old != nil {
		return &pool{prefixes: old.prefixes}
	}
	return &pool{prefixes: &prefixes{}}
}

// freshSize bounds the probe pool.
const freshSize = 16

// snapshot is immutable except for the atomics of its pools and nodes.
type snapshot struct {
	targets  map[identifier.Target]*pool
	services map[identifier.Service]*pool
	byName   map[identifier.Upstream]*candidate
	byNumber []*candidate
	pools    []*pool
}

func (s *snapshot) pool(k *Query) *pool {
	if k.Service != "" {
		return s.services[k.Service]
	}
	return s.targets[k.Target]
}

// build makes the snapshot of a list of upstreams.
func (b *Balancer) build(ups []Upstream) *snapshot {
	s := &snapshot{
		targets: make(map[identifier.Target]*pool), services: make(map[identifier.Service]*pool),
		byName: make(map[identifier.Upstream]*candidate, len(ups)),
	}
	old := b.current.Load()
	if old == nil {
		old = s
	}
	members := make(map[*pool][]*candidate)
	join := func(p *pool, c *candidate) {
		if members[p] == nil {
			s.pools = append(s.pools, p)
		}
		members[p] = append(members[p], c)
	}
	region := b.region(ups)
	for _, u := range ups {
		n := b.nodeOf(u.Name)
		if u.Slots > 0 {
			n.listed.Store(true)
			n.slots.Store(int64(u.Slots))
		}
		if u.Leaving {
			// A list that lags behind must not bring back an upstream whose agent said that it leaves.
			n.leaving.Store(true)
		}
		c := &candidate{upstream: u, node: n, distance: b.o.distance(b.self, region, u)}
		s.byName[u.Name] = c
		for int(n.number) >= len(s.byNumber) {
			s.byNumber = append(s.byNumber, nil)
		}
		s.byNumber[n.number] = c
		if u.Leaving {
			continue
		}
		if u.Service != "" {
			if s.services[u.Service] == nil {
				s.services[u.Service] = newPool(old.services[u.Service])
			}
			join(s.services[u.Service], c)
		}
		for _, t := range u.Targets {
			if s.targets[t] == nil {
				s.targets[t] = newPool(old.targets[t])
			}
			join(s.targets[t], c)
		}
	}
	for _, p := range s.pools {
		b.fill(p, members[p])
	}
	return s
}

// fill chooses the subset: the nearest candidates first and, within a distance, those with the highest hash of entry
// and upstream, so that each entry has its own subset and a change of the list moves few members.
func (b *Balancer) fill(p *pool, list []*candidate) {
	type scored struct {
		c     *candidate
		score uint64
	}
	order := make([]scored, len(list))
	for i, c := range list {
		order[i] = scored{c: c, score: xxhash.Sum64String(string(b.o.instance) + "/" + string(c.upstream.Name))}
	}
	slices.SortFunc(order, func(x, y scored) int {
		return cmp.Or(cmp.Compare(x.c.distance, y.c.distance), cmp.Compare(y.score, x.score))
	})
	n := min(len(order), b.o.subset)
	for i, s := range order {
		if i >= n {
			p.rest = append(p.rest, s.c)
			continue
		}
		p.near = append(p.near, s.c)
		s.c.pools = append(s.c.pools, p)
		for d := s.c.distance; d < distances; d++ {
			p.ends[d] = i + 1
		}
		if s.c.node.sampleAt.Load() != 0 {
			p.sum.Add(s.c.node.load.Load())
			p.sampled.Add(1)
		}
		if step := s.c.node.step.Load(); step > 0 {
			p.steps.Add(step)
			p.stepped.Add(1)
		}
		if s.c.node.stalled.Load() {
			p.stalled.Add(1)
		}
	}
	for i := range p.fresh {
		p.fresh[i].Store(-1)
	}
}

// region returns the region of the entry's data centre as the list states it.
func (b *Balancer) region(ups []Upstream) identifier.Region {
	for _, u := range ups {
		if u.DataCentre == b.self {
			return u.Region
		}
	}
	return b.o.region
}

func (b *Balancer) nodeOf(name identifier.Upstream) *node {
	if n, ok := b.nodes[name]; ok {
		return n
	}
	n := &node{breaker: newBreaker(b.chart), hash: xxhash.Sum64String(string(name))}
	if last := len(b.free) - 1; last >= 0 {
		n.number = b.free[last]
		b.free = b.free[:last]
	} else {
		n.number = b.numbers
		b.numbers++
	}
	b.nodes[name] = n
	return n
}

// busy records that the running requests of the last sample fill the slots, unless the list states them.
func (n *node) busy() {
	if r := n.running.Load(); r > 0 && !n.listed.Load() {
		n.slots.Store(r)
	}
}

// mean returns the mean sampled load of the subset.
func (p *pool) mean() float64 {
	n := p.sampled.Load()
	if n <= 0 {
		return 0
	}
	return max(float64(p.sum.Load())/float64(n), 0)
}

// shuns reports whether stalled members come after all others. When half of the members are stalled the version is slow
// rather than its engines, and the others could not take their load.
func (p *pool) shuns() bool {
	return 2*p.stalled.Load() < int64(len(p.near))
}

// slowness returns the time between two tokens of a node relative to the mean of the subset, 1 if it is not clearly more.
func (p *pool) slowness(n *node) float64 {
	step, sum, members := n.step.Load(), p.steps.Load(), p.stepped.Load()
	if step <= 0 || sum <= 0 || float64(step)*float64(members) < minSlowness*float64(sum) {
		return 1
	}
	return float64(step) * float64(members) / float64(sum)
}

// estimate returns the expected load of a node now. A sample loses weight with its age and with each use, because the
// other entries see the same idle upstream; what is left is the mean of the subset.
func (n *node) estimate(mean float64, now int64, o *options) float64 {
	load := mean
	if at := n.sampleAt.Load(); at != 0 {
		age := time.Duration(max(now-at, 0))
		if age < o.maxAge && n.uses.Load() < o.maxUses {
			weight := float64(o.halfAge) / float64(o.halfAge+age)
			load = mean + (float64(n.load.Load())-mean)*weight
		}
	}
	// A choice counts before its request begins, or a burst of choices would see the same idle upstream.
	change := n.delta.Load()
	if uses := n.uses.Load(); uses > 0 {
		change = max(change, uses)
	}
	return max(load+float64(change), 0)
}
