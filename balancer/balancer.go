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

// Query describes the request that an upstream is chosen for.
type Query struct {
	Target identifier.Target
	// Service selects a plain service instead of a target.
	Service identifier.Service
	// Prefix is the hash of the prompt's prefix, 0 for none; requests with the same prefix go to the same few upstreams.
	Prefix uint64
	// PrefixRatio is the length of that prefix relative to the mean prompt length, or 0 if unknown.
	PrefixRatio float64
	Session     identifier.Session
	// Rank is the index of the request's rank, 0 for the most urgent.
	Rank int
	// Regions are the regions whose upstreams may be chosen; nil means any upstream. An upstream without a region is in none.
	Regions map[identifier.Region]struct{}
	// Exclude lists the upstreams that earlier attempts of the request have used.
	Exclude []identifier.Upstream
	// BusyRefusals is the number of upstreams that refused the request because it would have had to wait there.
	BusyRefusals int
}

// Result is how a request at an upstream ended.
type Result int

// The results of a request.
const (
	ResultSuccess Result = iota
	// ResultFailure is a failure of the upstream or of the connection; the circuit breaker counts it.
	ResultFailure
	// ResultRefused is a refusal under load; the upstream works but has no capacity left.
	ResultRefused
	// ResultBusy is a refusal because the request would have had to wait; the load reported with the refusal is accurate.
	ResultBusy
	// ResultCanceled is an end that says nothing about the upstream, such as a cancellation or a passed deadline.
	ResultCanceled
	// ResultSilent is an end because the upstream sent nothing for too long; it counts as a failure until the upstream is heard again.
	ResultSilent
)

// Balancer chooses upstreams for one entry; it is safe for concurrent use, and Choose takes no lock except that of a breaker
// whose trial request it starts.
type Balancer struct {
	opts    options
	self    identifier.DataCentre
	current atomic.Pointer[snapshot]
	// sessions records which upstream served each session.
	sessions *sessionTable
	chart    *interpreter.Chart

	mu          sync.Mutex // guards the three fields below, which only Update uses
	tracked     map[identifier.Upstream]*trackedUpstream
	freeNumbers []uint32 // numbers of removed upstreams, to be reused
	nextNumber  uint32

	counters struct {
		chosen, startDeadlines, affinityKept, affinityYielded, otherDataCentre, noUpstream, probes, probeFailures atomic.Int64
	}
}

// New returns a balancer without upstreams for an entry in the data centre self.
func New(self identifier.DataCentre, opts ...Option) *Balancer {
	o := options{
		now: time.Now, random: rand.Uint64, distance: defaultDistance, subset: defaultSubset, waitingWeight: 1, choices: defaultChoices,
		maxAge: defaultMaxAge, halfAge: defaultHalfAge, maxUses: defaultMaxUses, probeRate: DefaultProbeRate,
	}
	for _, opt := range opts {
		opt(&o)
	}
	b := &Balancer{
		opts: o, self: self, sessions: &sessionTable{}, chart: interpreter.MustParse(breakerChart),
		tracked: make(map[identifier.Upstream]*trackedUpstream),
	}
	b.current.Store(b.buildSnapshot(nil))
	return b
}

// Update replaces the list of upstreams; the state of upstreams that are in both lists is kept.
func (b *Balancer) Update(ups []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.buildSnapshot(ups)
	for name, u := range b.tracked {
		if s.byName[name] == nil {
			b.freeNumbers = append(b.freeNumbers, u.number)
			delete(b.tracked, name)
		}
	}
	slices.Sort(b.freeNumbers)
	b.current.Store(s)
}

// Choose returns the upstream for a request or ErrNoUpstream. The caller must call Begin and End around the request.
func (b *Balancer) Choose(q Query) (Upstream, error) {
	u, _, err := b.choose(q)
	return u, err
}

// HasUpstream reports whether Choose would find an upstream, without choosing one.
func (b *Balancer) HasUpstream(q Query) bool {
	p := b.current.Load().pool(&q)
	if p == nil {
		return false
	}
	now := b.opts.now()
	for _, c := range p.subset {
		if b.isUsable(c, &q) || b.mayTry(c, &q) && c.tracked.breaker.isTrialDue(now) {
			return true
		}
	}
	return slices.ContainsFunc(p.rest, func(c *candidate) bool {
		return b.isUsable(c, &q) || q.Regions != nil && b.mayTry(c, &q) && c.tracked.breaker.isTrialDue(now)
	})
}

// ChooseNamed is Choose with a single candidate.
func (b *Balancer) ChooseNamed(q Query, name identifier.Upstream) (Upstream, error) {
	s := b.current.Load()
	p, c := s.pool(&q), s.byName[name]
	if p == nil || c == nil || !slices.Contains(p.subset, c) || !b.isUsable(c, &q) {
		return Upstream{}, ErrNoUpstream
	}
	p.usedAt.Store(b.opts.now().UnixNano())
	c.tracked.uses.Add(1)
	b.counters.chosen.Add(1)
	if c.distance != sameDataCentre {
		b.counters.otherDataCentre.Add(1)
	}
	return c.upstream, nil
}

// NumUpstreams returns the number of upstreams that this entry uses for a target or service.
func (b *Balancer) NumUpstreams(q Query) int {
	if p := b.current.Load().pool(&q); p != nil {
		return len(p.subset)
	}
	return 0
}

// maxBusyRefusals is the number of busy refusals after which a request may wait at an upstream.
const maxBusyRefusals = 2

// startTimeout is the time from the choice until the start deadline of a request; it covers the network latency within a
// region and the remainder of the engine's current decoding step.
const startTimeout = 25 * time.Millisecond

// ChooseWithStartDeadline is Choose with the time by which the upstream must start the request or refuse it as busy. The time
// is zero when the request may wait: after two busy refusals, or when every compared upstream is expected to be full, so that
// an overload does not cause additional messages.
func (b *Balancer) ChooseWithStartDeadline(q Query) (Upstream, time.Time, error) {
	u, chosen, err := b.choose(q)
	if err != nil || q.BusyRefusals >= maxBusyRefusals || b.isLastUpstream(&q) || chosen.overloaded || chosen.trial ||
		chosen.candidate.distance == otherRegion {
		return u, time.Time{}, err
	}
	b.counters.startDeadlines.Add(1)
	return u, b.opts.now().Add(startTimeout), nil
}

// isLastUpstream reports whether at most one upstream is left that the request has not used.
func (b *Balancer) isLastUpstream(q *Query) bool {
	p := b.current.Load().pool(q)
	return p == nil || len(p.subset)+len(p.rest) <= len(q.Exclude)+1
}

func (b *Balancer) choose(q Query) (Upstream, scoredCandidate, error) {
	s := b.current.Load()
	p := s.pool(&q)
	if p == nil {
		b.counters.noUpstream.Add(1)
		return Upstream{}, scoredCandidate{}, ErrNoUpstream
	}
	now := b.opts.now()
	nowNanos := now.UnixNano()
	p.usedAt.Store(nowNanos)
	mean := p.mean()
	best := b.pick(p, &q, mean, now, nowNanos)
	if best.candidate == nil {
		b.counters.noUpstream.Add(1)
		return Upstream{}, scoredCandidate{}, ErrNoUpstream
	}
	if len(q.Exclude) == 0 {
		p.prefixes.add(q.Prefix)
	}
	session := sessionKey(q.Session)
	if !best.trial {
		best = b.applyAffinity(s, p, &q, session, best, mean, now, nowNanos)
	}
	if session != 0 {
		b.sessions.put(session, best.candidate.tracked.number, now)
	}
	best.candidate.tracked.uses.Add(1)
	if b.opts.evenLoad {
		best.candidate.tracked.choices.add(1, nowNanos)
		p.choices.add(1, nowNanos)
	}
	b.counters.chosen.Add(1)
	if best.candidate.distance != sameDataCentre {
		b.counters.otherDataCentre.Add(1)
	}
	return best.candidate.upstream, best, nil
}

const (
	// overloadFactor and overloadMargin define when an upstream with an unknown number of slots counts as overloaded: when its
	// expected load exceeds overloadFactor times the mean plus overloadMargin requests. With a known number of slots it counts as
	// overloaded when all of them are expected to be taken.
	overloadFactor = 1.5
	overloadMargin = 2
)

// minSlowdown is the ratio of an engine's time between two tokens to the mean from which the slowdown counts as load. An
// engine that is slower by this factor finishes a request as late as one with that many times the work.
const minSlowdown = 1.5

// fullSampleTTL is how long an upstream whose last sample showed no free slot is ranked after the others. It does not count as
// overloaded: after an overload, requests would otherwise get no start deadline and would wait there.
const fullSampleTTL = 10 * time.Second

// Begin records that a request to an upstream starts.
func (b *Balancer) Begin(u identifier.Upstream) {
	if c := b.current.Load().byName[u]; c != nil {
		c.tracked.inFlight.Add(1)
		c.tracked.deltaSinceSample.Add(1)
		c.tracked.history.add(1, b.opts.now())
	}
}

// End records that a request to an upstream has ended.
func (b *Balancer) End(u identifier.Upstream, r Result) {
	c := b.current.Load().byName[u]
	if c == nil {
		return
	}
	// An upstream that was removed and added again while the request ran has started from zero, so the count may go below 0.
	now := b.opts.now()
	if c.tracked.inFlight.Add(-1) < 0 {
		c.tracked.inFlight.Add(1)
	} else {
		if now.UnixNano()-c.tracked.sampleAt.Load() >= int64(historyBucketWidth) {
			c.tracked.deltaSinceSample.Add(-1)
		} // else the sample came with the request's last frame and no longer includes the request
		c.tracked.history.add(-1, now)
	}
	switch r {
	case ResultSuccess:
		c.tracked.breaker.record(true, now, 0)
	case ResultFailure:
		c.tracked.breaker.record(false, now, float64(b.opts.random()>>11)/(1<<53))
	case ResultCanceled:
		c.tracked.breaker.cancelTrial(now)
	case ResultSilent:
		c.tracked.breaker.recordSilence(now, float64(b.opts.random()>>11)/(1<<53))
	case ResultBusy:
		// Report has already recorded the load from the refusal: the requests running there fill all slots.
		c.tracked.breaker.record(true, now, 0)
		c.tracked.learnSlots()
	case ResultRefused:
		// The sample behind this choice was wrong; the upstream counts as overloaded until the next sample.
		c.tracked.breaker.record(true, now, 0)
		c.tracked.uses.Store(0)
		if c.tracked.sampleAt.Swap(now.UnixNano()) == 0 {
			for _, p := range c.pools {
				p.sampledCount.Add(1)
			}
		}
		b.setLoad(c, int64(maxMeanLoad(c)*2+overloadMargin+1))
	}
}

// maxMeanLoad returns the largest of the candidate's own load and the mean loads of its pools.
func maxMeanLoad(c *candidate) float64 {
	mean := float64(c.tracked.load.Load())
	for _, p := range c.pools {
		mean = max(mean, p.mean())
	}
	return mean
}

// Report records a load sample that an upstream's agent sent with a probe reply or an answer; a sample that is not newer than
// the last one is ignored.
func (b *Balancer) Report(u identifier.Upstream, l streamer.Load) {
	c := b.current.Load().byName[u]
	if c == nil {
		return
	}
	if l.Draining {
		c.tracked.isLeaving.Store(true) // even if the sample is older than the last one
	}
	at := l.At.UnixNano()
	previousAt := c.tracked.sampleAt.Load()
	if at <= previousAt || !c.tracked.sampleAt.CompareAndSwap(previousAt, at) {
		return
	}
	waiting := int64(0)
	for _, n := range l.Queued {
		waiting += int64(n)
	}
	load := int64(l.Running) + waiting*int64(b.opts.waitingWeight)
	if b.opts.evenLoad {
		load = c.tracked.boundLoad(load)
		c.tracked.speed.set(l.Slowdown, l.SlowdownCorrection, at)
	}
	wasStalled, previousInterval := c.tracked.isStalled.Swap(l.Stalled), c.tracked.tokenInterval.Swap(int64(l.TokenInterval))
	for _, p := range c.pools {
		p.stalledCount.Add(boolToInt(l.Stalled) - boolToInt(wasStalled))
		p.tokenIntervalSum.Add(int64(l.TokenInterval) - previousInterval)
		p.tokenIntervalCount.Add(boolToInt(l.TokenInterval > 0) - boolToInt(previousInterval > 0))
	}
	c.tracked.runningInSample.Store(int64(l.Running))
	c.tracked.waitsInSample.Store(waiting > 0)
	if waiting > 0 {
		c.tracked.learnSlots()
	}
	if previousAt == 0 {
		for _, p := range c.pools {
			p.sampledCount.Add(1)
		}
	}
	b.setLoad(c, load)
	c.tracked.uses.Store(0)
	c.tracked.deltaSinceSample.Store(c.tracked.history.since(l.At))
	for _, p := range c.pools {
		p.addToProbePool(c)
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (b *Balancer) setLoad(c *candidate, load int64) {
	delta := load - c.tracked.load.Swap(load)
	for _, p := range c.pools {
		p.loadSum.Add(delta)
	}
}

// addToProbePool replaces the oldest member of the probe pool by a candidate.
func (p *pool) addToProbePool(c *candidate) {
	if i := slices.Index(p.subset, c); i >= 0 {
		p.probePool[(p.probePoolWrites.Add(1)-1)%probePoolSize].Store(int32(i))
	}
}
