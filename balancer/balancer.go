package balancer

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/streamer"
)

// ErrNoUpstream is returned by Choose when no usable upstream serves the target or service.
var ErrNoUpstream = errors.New("balancer: no usable upstream")

// Query is what a choice depends on.
type Query struct {
	Target identifier.Target
	// Service selects a plain service instead of a target.
	Service identifier.Service
	// Prefix is the hash of the prompt's prefix, 0 for none; requests with the same one go to the same few upstreams.
	Prefix uint64
	// PrefixRatio is the length of that prefix relative to the mean prompt, or 0 if unknown.
	PrefixRatio float64
	Session     identifier.Session
	// Rank is the position of the rank, 0 being the most urgent.
	Rank int
	// Exclude lists upstreams that an earlier attempt has used.
	Exclude []identifier.Upstream
	// BusyRefusals is the number of upstreams that refused the request because it would have waited there.
	BusyRefusals int
}

// Result is how a request at an upstream ended.
type Result int

// The results of a request.
const (
	ResultSuccess Result = iota
	// ResultFailure is a failure of the upstream or of the connection; it counts for the circuit breaker.
	ResultFailure
	// ResultRefused is a refusal under load; the upstream works but has no room.
	ResultRefused
	// ResultBusy is a refusal because the request would have waited; the load in its frame stands.
	ResultBusy
	// ResultCanceled says nothing about the upstream.
	ResultCanceled
)

// Balancer chooses upstreams for one entry; it is safe for concurrent use, and Choose takes no lock.
type Balancer struct {
	o       options
	self    identifier.DataCentre
	current atomic.Pointer[snapshot]
	// sessions remembers the upstreams of sessions.
	sessions *directory
	chart    *interpreter.Chart

	mu      sync.Mutex // guards the fields below, used by Update
	nodes   map[identifier.Upstream]*node
	free    []uint32
	numbers uint32

	counters struct {
		chosen, bound, affine, yielded, remote, none, probes, probeFailures atomic.Int64
	}
}

// New returns a balancer without upstreams for an entry in a data centre.
func New(self identifier.DataCentre, opts ...Option) *Balancer {
	o := options{
		now: time.Now, draw: rand.Uint64, distance: distance, subset: defaultSubset, waiting: 1, choices: defaultChoices,
		maxAge: defaultMaxAge, halfAge: defaultHalfAge, maxUses: defaultMaxUses, probeRate: DefaultProbeRate,
	}
	for _, opt := range opts {
		opt(&o)
	}
	b := &Balancer{
		o: o, self: self, sessions: &directory{}, chart: interpreter.MustParse(breakerChart),
		nodes: make(map[identifier.Upstream]*node),
	}
	b.current.Store(b.build(nil))
	return b
}

// Update replaces the list of upstreams; what is known about those that stay is kept.
func (b *Balancer) Update(ups []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.build(ups)
	for name, n := range b.nodes {
		if s.byName[name] == nil {
			b.free = append(b.free, n.number)
			delete(b.nodes, name)
		}
	}
	slices.Sort(b.free)
	b.current.Store(s)
}

// Choose returns the upstream for a request or ErrNoUpstream. The caller calls Begin and End around the request.
func (b *Balancer) Choose(k Query) (Upstream, error) {
	u, _, err := b.choose(k)
	return u, err
}

// maxBusy bounds the upstreams that may refuse a request as busy before it may wait at one.
const maxBusy = 2

// bindTime is the time from the choice by which a request should start; it covers the network time within a region and
// the end of a step of the engine.
const bindTime = 25 * time.Millisecond

// ChooseWithStartDeadline is Choose with the time by which the request should start there, to be refused as busy otherwise. The time is
// zero when the request may wait: after two refusals, or when every compared upstream is expected to be full, so that
// an overload causes no further messages.
func (b *Balancer) ChooseWithStartDeadline(k Query) (Upstream, time.Time, error) {
	u, o, err := b.choose(k)
	if err != nil || k.BusyRefusals >= maxBusy || b.only(&k) || o.hot || o.trial || o.c.distance == otherRegion {
		return u, time.Time{}, err
	}
	b.counters.bound.Add(1)
	return u, b.o.now().Add(bindTime), nil
}

// only reports whether no other upstream is left for a request after the next one.
func (b *Balancer) only(k *Query) bool {
	p := b.current.Load().pool(k)
	return p == nil || len(p.near)+len(p.rest) <= len(k.Exclude)+1
}

func (b *Balancer) choose(k Query) (Upstream, option, error) {
	s := b.current.Load()
	p := s.pool(&k)
	if p == nil {
		b.counters.none.Add(1)
		return Upstream{}, option{}, ErrNoUpstream
	}
	t := b.o.now()
	now := t.UnixNano()
	p.usedAt.Store(now)
	mean := p.mean()
	best := b.pick(p, &k, mean, t, now)
	if best.c == nil {
		b.counters.none.Add(1)
		return Upstream{}, option{}, ErrNoUpstream
	}
	if len(k.Exclude) == 0 {
		p.prefixes.add(k.Prefix)
	}
	session := sessionKey(k.Session)
	if !best.trial {
		best = b.affine(s, p, &k, session, best, mean, t, now)
	}
	if session != 0 {
		b.sessions.put(session, best.c.node.number, t)
	}
	best.c.node.uses.Add(1)
	b.counters.chosen.Add(1)
	if best.c.distance != sameDataCentre {
		b.counters.remote.Add(1)
	}
	return best.c.upstream, best, nil
}

const (
	// hotFactor and hotMargin: an upstream whose slots are unknown is hot when its expected load exceeds the mean by a
	// half and two requests. One that has shown its slots is hot when they are expected to be taken.
	hotFactor = 1.5
	hotMargin = 2
)

// minSlowness is the time between two tokens relative to the mean from which it counts as load. An engine that is so much
// slower serves a request as late as one that has as much more work.
const minSlowness = 1.5

// fullTime is how long an upstream that was seen full comes after the others without a newer sample. It does not count as
// hot, or requests would wait there for want of a start-by after an overload.
const fullTime = 10 * time.Second

// Begin records that a request to an upstream starts.
func (b *Balancer) Begin(u identifier.Upstream) {
	if c := b.current.Load().byName[u]; c != nil {
		c.node.inFlight.Add(1)
		c.node.delta.Add(1)
		c.node.recent.add(1, b.o.now())
	}
}

// End records that a request to an upstream has ended.
func (b *Balancer) End(u identifier.Upstream, r Result) {
	c := b.current.Load().byName[u]
	if c == nil {
		return
	}
	// An upstream that left and came back while the request ran starts from zero.
	now := b.o.now()
	if c.node.inFlight.Add(-1) < 0 {
		c.node.inFlight.Add(1)
	} else {
		if now.UnixNano()-c.node.sampleAt.Load() >= int64(historyBucket) {
			c.node.delta.Add(-1)
		} // else the sample is that of the request's last frame, which no longer counts the request
		c.node.recent.add(-1, now)
	}
	switch r {
	case ResultSuccess:
		c.node.breaker.record(true, now, 0)
	case ResultFailure:
		c.node.breaker.record(false, now, float64(b.o.draw()>>11)/(1<<53))
	case ResultBusy:
		// Report has taken the load from the frame: all that runs there fills the slots.
		c.node.breaker.record(true, now, 0)
		c.node.busy()
	case ResultRefused:
		// The sample that led here was wrong; the node counts as hot until the next one.
		c.node.breaker.record(true, now, 0)
		c.node.uses.Store(0)
		if c.node.sampleAt.Swap(now.UnixNano()) == 0 {
			for _, p := range c.pools {
				p.sampled.Add(1)
			}
		}
		b.setLoad(c, int64(mostLoaded(c)*2+hotMargin+1))
	}
}

// mostLoaded returns the largest mean load of the pools of a candidate.
func mostLoaded(c *candidate) float64 {
	mean := float64(c.node.load.Load())
	for _, p := range c.pools {
		mean = max(mean, p.mean())
	}
	return mean
}

// Report records a load that an upstream's agent sent with a probe or an answer; one older than the last is ignored.
func (b *Balancer) Report(u identifier.Upstream, l streamer.Load) {
	c := b.current.Load().byName[u]
	if c == nil {
		return
	}
	if l.Leaving {
		c.node.leaving.Store(true) // also when the load is older than the last
	}
	at := l.At.UnixNano()
	before := c.node.sampleAt.Load()
	if at <= before || !c.node.sampleAt.CompareAndSwap(before, at) {
		return
	}
	waiting := int64(0)
	for _, n := range l.Queued {
		waiting += int64(n)
	}
	load := int64(l.Running) + waiting*int64(b.o.waiting)
	stalled, step := c.node.stalled.Swap(l.Stalled), c.node.step.Swap(int64(l.TokenInterval))
	for _, p := range c.pools {
		p.stalled.Add(count(l.Stalled) - count(stalled))
		p.steps.Add(int64(l.TokenInterval) - step)
		p.stepped.Add(count(l.TokenInterval > 0) - count(step > 0))
	}
	c.node.running.Store(int64(l.Running))
	if waiting > 0 {
		c.node.busy()
	}
	if before == 0 {
		for _, p := range c.pools {
			p.sampled.Add(1)
		}
	}
	b.setLoad(c, load)
	c.node.uses.Store(0)
	c.node.delta.Store(c.node.recent.since(l.At))
	for _, p := range c.pools {
		p.remember(c)
	}
}

func count(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (b *Balancer) setLoad(c *candidate, load int64) {
	change := load - c.node.load.Swap(load)
	for _, p := range c.pools {
		p.sum.Add(change)
	}
}

// remember puts a candidate into the probe pool in place of the oldest one.
func (p *pool) remember(c *candidate) {
	if i := slices.Index(p.near, c); i >= 0 {
		p.fresh[(p.next.Add(1)-1)%freshSize].Store(int32(i))
	}
}
