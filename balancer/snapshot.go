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

// Upstream is a model engine or a plain service that an entry reaches through its agent.
type Upstream struct {
	Name       identifier.Upstream
	Region     identifier.Region
	DataCentre identifier.DataCentre
	Agent      netip.AddrPort
	// Targets lists the versions that a model engine has loaded.
	Targets []identifier.Target
	// Service is set for a plain service.
	Service identifier.Service
	// Slots is the number of requests that it runs concurrently, or 0 to learn it from samples.
	Slots int
	// Leaving is set when the upstream must not receive new requests.
	Leaving bool
}

// trackedUpstream is the mutable state of one upstream; it is kept from one snapshot to the next. A sample is the latest load
// that the upstream's agent reported.
type trackedUpstream struct {
	number           uint32 // index in snapshot.byNumber
	hash             uint64 // of the name
	breaker          *breaker
	isLeaving        atomic.Bool
	isStalled        atomic.Bool  // the sample showed that the engine makes no progress
	inFlight         atomic.Int64 // requests of this entry
	sampleAt         atomic.Int64 // Unix nanoseconds, 0 without a sample
	load             atomic.Int64 // running and waiting requests in the sample
	slots            atomic.Int64 // concurrent requests: from the list, or those that ran while others waited; 0 if unknown
	slotsConfigured  atomic.Bool  // the list of upstreams states the slots
	runningInSample  atomic.Int64 // running requests in the sample
	waitsInSample    atomic.Bool  // requests waited in the sample
	tokenInterval    atomic.Int64 // nanoseconds between two tokens in the sample, 0 if unknown
	deltaSinceSample atomic.Int64 // requests of this entry begun minus those ended since the sample
	uses             atomic.Int64 // choices since the sample
	probedAt         atomic.Int64 // Unix nanoseconds of the last probe sent
	history          history
	// speed and choices are used with WithEvenLoad only.
	speed   speed
	choices choiceWindow // of this entry
	// reading is that of long prompts which entries have announced to each other.
	reading reading
}

// candidate is an upstream within one snapshot.
type candidate struct {
	upstream Upstream
	tracked  *trackedUpstream
	distance int
	pools    []*pool
}

// The distances of an upstream, the nearest first.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distanceCount
)

// pool holds the candidates of one target or service.
type pool struct {
	// subset holds the candidates that this entry uses, ordered by distance; subsetEnds[d] is the index after the last one whose
	// distance is at most d.
	subset     []*candidate
	subsetEnds [distanceCount]int
	// rest holds the other candidates, used only when no member of the subset is usable.
	rest []*candidate
	// loadSum is the sum of the loads of the members of the subset that have a sample, and sampledCount their number.
	loadSum      atomic.Int64
	sampledCount atomic.Int64
	// tokenIntervalSum is the sum of the known token intervals of the members of the subset, and tokenIntervalCount their number.
	tokenIntervalSum   atomic.Int64
	tokenIntervalCount atomic.Int64
	// stalledCount is the number of stalled members of the subset.
	stalledCount atomic.Int64
	usedAt       atomic.Int64 // Unix nanoseconds of the last choice
	// prefixes is kept from one snapshot to the next.
	prefixes *prefixWindow
	// choices counts the choices from the pool, with WithEvenLoad only.
	choices choiceWindow
	// probePool is a ring buffer of the indexes in subset of the candidates with the latest samples, -1 for none.
	probePool       [probePoolSize]atomic.Int32
	probePoolWrites atomic.Uint32 // the next write goes to this index modulo probePoolSize
}

// newPool returns an empty pool that keeps the prefix frequencies of the previous pool, if there is one.
func newPool(previous *pool) *pool {
	if previous != nil {
		return &pool{prefixes: previous.prefixes}
	}
	return &pool{prefixes: &prefixWindow{}}
}

// probePoolSize is the number of samples in the probe pool.
const probePoolSize = 16

// snapshot is the state derived from one list of upstreams; it is immutable except for the atomics of its pools and candidates.
type snapshot struct {
	targets  map[identifier.Target]*pool
	services map[identifier.Service]*pool
	byName   map[identifier.Upstream]*candidate
	byHash   map[uint64]*candidate // by hash of the name
	byNumber []*candidate          // by number of the tracked upstream, with nil for unused numbers
	pools    []*pool
}

func (s *snapshot) pool(q *Query) *pool {
	if q.Service != "" {
		return s.services[q.Service]
	}
	return s.targets[q.Target]
}

// buildSnapshot returns the snapshot for a list of upstreams.
func (b *Balancer) buildSnapshot(ups []Upstream) *snapshot {
	s := &snapshot{
		targets: make(map[identifier.Target]*pool), services: make(map[identifier.Service]*pool),
		byName: make(map[identifier.Upstream]*candidate, len(ups)), byHash: make(map[uint64]*candidate, len(ups)),
	}
	previous := b.current.Load()
	if previous == nil {
		previous = s
	}
	members := make(map[*pool][]*candidate)
	addMember := func(p *pool, c *candidate) {
		if members[p] == nil {
			s.pools = append(s.pools, p)
		}
		members[p] = append(members[p], c)
	}
	region := b.ownRegion(ups)
	for _, u := range ups {
		tracked := b.track(u.Name)
		if u.Slots > 0 {
			tracked.slotsConfigured.Store(true)
			tracked.slots.Store(int64(u.Slots))
		}
		if u.Leaving {
			// The flag is never cleared here: an outdated list must not restore an upstream whose agent reported that it is
			// leaving.
			tracked.isLeaving.Store(true)
		}
		c := &candidate{upstream: u, tracked: tracked, distance: b.opts.distance(b.self, region, u)}
		s.byName[u.Name], s.byHash[tracked.hash] = c, c
		for int(tracked.number) >= len(s.byNumber) {
			s.byNumber = append(s.byNumber, nil)
		}
		s.byNumber[tracked.number] = c
		if u.Leaving {
			continue
		}
		if u.Service != "" {
			if s.services[u.Service] == nil {
				s.services[u.Service] = newPool(previous.services[u.Service])
			}
			addMember(s.services[u.Service], c)
		}
		for _, t := range u.Targets {
			if s.targets[t] == nil {
				s.targets[t] = newPool(previous.targets[t])
			}
			addMember(s.targets[t], c)
		}
	}
	for _, p := range s.pools {
		b.fillPool(p, members[p])
	}
	return s
}

// fillPool selects the subset by rendezvous hashing: the nearest candidates first and, within a distance, those with the highest
// hash of entry and upstream. Each entry gets its own subset, and a change of the list replaces few members.
func (b *Balancer) fillPool(p *pool, list []*candidate) {
	type scored struct {
		c     *candidate
		score uint64
	}
	order := make([]scored, len(list))
	for i, c := range list {
		order[i] = scored{c: c, score: xxhash.Sum64String(string(b.opts.instance) + "/" + string(c.upstream.Name))}
	}
	slices.SortFunc(order, func(x, y scored) int {
		return cmp.Or(cmp.Compare(x.c.distance, y.c.distance), cmp.Compare(y.score, x.score))
	})
	n := min(len(order), b.opts.subset)
	for i, s := range order {
		if i >= n {
			p.rest = append(p.rest, s.c)
			continue
		}
		p.subset = append(p.subset, s.c)
		s.c.pools = append(s.c.pools, p)
		for distance := s.c.distance; distance < distanceCount; distance++ {
			p.subsetEnds[distance] = i + 1
		}
		if s.c.tracked.sampleAt.Load() != 0 {
			p.loadSum.Add(s.c.tracked.load.Load())
			p.sampledCount.Add(1)
		}
		if step := s.c.tracked.tokenInterval.Load(); step > 0 {
			p.tokenIntervalSum.Add(step)
			p.tokenIntervalCount.Add(1)
		}
		if s.c.tracked.isStalled.Load() {
			p.stalledCount.Add(1)
		}
	}
	for i := range p.probePool {
		p.probePool[i].Store(-1)
	}
	if b.opts.evenLoad {
		// The sum over the members also holds when members have moved here from another pool.
		now := b.opts.now().UnixNano()
		for _, c := range p.subset {
			p.choices.add(uint64(c.tracked.choices.count(now)), now)
		}
	}
}

// ownRegion returns the region of the entry's data centre as stated in the list, or else the configured one.
func (b *Balancer) ownRegion(ups []Upstream) identifier.Region {
	for _, u := range ups {
		if u.DataCentre == b.self {
			return u.Region
		}
	}
	return b.opts.region
}

func (b *Balancer) track(name identifier.Upstream) *trackedUpstream {
	if u, ok := b.tracked[name]; ok {
		return u
	}
	u := &trackedUpstream{breaker: newBreaker(b.chart), hash: xxhash.Sum64String(string(name))}
	if last := len(b.freeNumbers) - 1; last >= 0 {
		u.number = b.freeNumbers[last]
		b.freeNumbers = b.freeNumbers[:last]
	} else {
		u.number = b.nextNumber
		b.nextNumber++
	}
	b.tracked[name] = u
	return u
}

// learnSlots sets the number of slots to the running requests of the last sample, unless the list states it. It is called when
// the sample or a busy refusal shows that all slots are taken.
func (u *trackedUpstream) learnSlots() {
	if running := u.runningInSample.Load(); running > 0 && !u.slotsConfigured.Load() {
		u.slots.Store(running)
	}
}

// mean returns the mean sampled load of the subset.
func (p *pool) mean() float64 {
	n := p.sampledCount.Load()
	if n <= 0 {
		return 0
	}
	return max(float64(p.loadSum.Load())/float64(n), 0)
}

// avoidsStalled reports whether stalled members are ranked after all others. When half of the members are stalled, the cause is
// a slow version rather than single engines, and the other members could not take over the load.
func (p *pool) avoidsStalled() bool {
	return 2*p.stalledCount.Load() < int64(len(p.subset))
}

// slowdown returns the token interval of an upstream relative to the mean of the subset, or 1 if it is below minSlowdown.
func (p *pool) slowdown(u *trackedUpstream) float64 {
	interval, sum, members := u.tokenInterval.Load(), p.tokenIntervalSum.Load(), p.tokenIntervalCount.Load()
	if interval <= 0 || sum <= 0 || float64(interval)*float64(members) < minSlowdown*float64(sum) {
		return 1
	}
	return float64(interval) * float64(members) / float64(sum)
}

// estimateLoad returns the expected load of an upstream now. A sample loses weight with its age and is dropped after opts.maxUses
// uses, because other entries see the same idle upstream; the mean of the subset takes the remaining weight.
func (u *trackedUpstream) estimateLoad(mean float64, nowNanos int64, opts *options) float64 {
	load := mean
	if at := u.sampleAt.Load(); at != 0 {
		age := time.Duration(max(nowNanos-at, 0))
		if age < opts.maxAge && u.uses.Load() < opts.maxUses {
			weight := float64(opts.halfAge) / float64(opts.halfAge+age)
			load = mean + (float64(u.load.Load())-mean)*weight
		}
	}
	// A choice counts before its request begins; otherwise all choices of a burst would see the same idle upstream.
	delta := u.deltaSinceSample.Load()
	if uses := u.uses.Load(); uses > 0 {
		delta = max(delta, uses)
	}
	return max(load+float64(delta), 0)
}
