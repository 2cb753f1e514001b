package balancer

import (
	"slices"
	"time"
)

// scoredCandidate is one candidate of a choice with its expected load.
type scoredCandidate struct {
	candidate *candidate
	load      float64
	// preference is the part of load that WithLocalPreference adds.
	preference float64
	overloaded bool
	full       bool // the last sample showed no free slot, and no request of this entry has ended there since
	trial      bool // the choice is the single trial request of a half-open breaker
	// suspect is set when the last sample showed a stalled engine, or when the request may wait and the sample is too old.
	suspect bool
}

// distancePenalties are the additional loads of farther upstreams by distance: a number of requests and a share of the mean
// load. Between the data centres of a region the latency is 1 to 2 ms, which is little compared with the time of a token.
var distancePenalties = penalties{{0, 0}, {0.1, 0.02}, {1, 0.25}}

// localPenalties are those with a preference for the own data centre, where traffic between data centres has a price. While upstreams have room,
// another data centre is used once its upstreams have a quarter less load, so that neither a data centre with few upstreams nor one with many
// callers is left alone. The less room there is, the lower they are: where slots are few, callers would wait for a local one.
var localPenalties = penalties{{0, 0}, {1, 0.25}, {2, 0.5}}

// penalties hold one for each distance.
type penalties [distanceCount]penalty

// penalty is a number of requests and a share of the mean load.
type penalty struct{ constant, relative float64 }

// of returns the penalty at a mean load.
func (p penalty) of(mean float64) float64 { return p.constant + p.relative*mean }

// betterThan reports whether a is preferred to o: one that is not suspect, then one that is not overloaded, then one that is
// not full, then the one with less load, including the penalty for its distance.
func (a scoredCandidate) betterThan(o scoredCandidate) bool {
	if o.candidate == nil {
		return true
	}
	if a.suspect != o.suspect {
		return !a.suspect
	}
	if a.overloaded != o.overloaded {
		return !a.overloaded
	}
	if a.full != o.full {
		return !a.full
	}
	return a.load < o.load
}

// pick compares the latest samples of the probe pool and one random candidate of each distance. When the best of them is
// overloaded or full, or an upstream refused the request as busy, it compares the whole subset. Upstreams outside the subset
// are used only when none in it is usable.
func (b *Balancer) pick(p *pool, q *Query, mean float64, now time.Time, nowNanos int64) scoredCandidate {
	best := b.bestOfProbePool(p, q, mean, nowNanos)
	r := b.opts.random()
	from := 0
	for _, to := range p.subsetEnds {
		if to == from {
			continue
		}
		drawn := b.drawUsable(p, q, from, to, r, mean, now, nowNanos)
		if drawn.trial {
			return drawn
		}
		if drawn.candidate != nil && drawn.betterThan(best) {
			best = drawn
		}
		if b.opts.evenLoad {
			best = b.drawMore(p, q, from, to, r, best, mean, nowNanos)
		}
		r = r>>17 | r<<47
		from = to
	}
	if best.candidate == nil {
		best = b.pickRest(p, q, mean, now, nowNanos)
	}
	if best.candidate != nil && (best.overloaded || best.full || q.BusyRefusals > 0) {
		return b.bestOfSubset(p, q, best, mean, nowNanos)
	}
	return best
}

// pickRest picks a usable candidate outside the subset. If the request is bound to regions of which the subset may have no member, it may
// also be the trial of an open breaker: no other request would close that again.
func (b *Balancer) pickRest(p *pool, q *Query, mean float64, now time.Time, nowNanos int64) scoredCandidate {
	for i, n := 0, len(p.rest); i < n; i++ {
		c := p.rest[(i+int(uint64(nowNanos)%uint64(n)))%n]
		if b.isUsable(c, q) {
			return scoredCandidate{candidate: c, load: mean}
		}
		if q.Regions != nil && b.mayTry(c, q) && c.tracked.breaker.claimTrial(now) {
			return scoredCandidate{candidate: c, load: mean, trial: true}
		}
	}
	return scoredCandidate{}
}

// hasFreshSample reports whether the last sample of a candidate is within the limits of WithSampleLimits.
func (b *Balancer) hasFreshSample(c *candidate, nowNanos int64) bool {
	return nowNanos-c.tracked.sampleAt.Load() <= int64(b.opts.maxAge) && c.tracked.uses.Load() < b.opts.maxUses
}

// bestOfSubset returns the best of the given candidate and the members of the subset with a fresh sample. The others are
// expected to have the mean load, so during an overload they would wrongly appear to have a free slot again and again.
func (b *Balancer) bestOfSubset(p *pool, q *Query, best scoredCandidate, mean float64, nowNanos int64) scoredCandidate {
	for _, c := range p.subset {
		if !b.hasFreshSample(c, nowNanos) {
			continue
		}
		// The score comes first: few members are better, and only for those is the breaker checked.
		if scored := b.score(p, q, c, mean, nowNanos); scored.betterThan(best) && b.isUsable(c, q) {
			best = scored
		}
	}
	return best
}

// bestOfProbePool returns the best candidate of the latest fresh samples.
func (b *Balancer) bestOfProbePool(p *pool, q *Query, mean float64, nowNanos int64) scoredCandidate {
	var best scoredCandidate
	next := p.probePoolWrites.Load()
	remaining := b.opts.choices
	for i := uint32(1); i <= probePoolSize && remaining > 0; i++ {
		j := p.probePool[(next-i)%probePoolSize].Load()
		if j < 0 {
			break
		}
		c := p.subset[j]
		if !b.hasFreshSample(c, nowNanos) || !b.isUsable(c, q) {
			continue
		}
		remaining--
		if scored := b.score(p, q, c, mean, nowNanos); scored.betterThan(best) {
			best = scored
		}
	}
	return best
}

// drawUsable returns a random usable candidate between two indexes of the subset, a suspect one only if there is no other, or
// a trial of one whose breaker has cooled down.
func (b *Balancer) drawUsable(p *pool, q *Query, from, to int, r uint64, mean float64, now time.Time,
	nowNanos int64,
) scoredCandidate {
	i := from + int(uint32(r)%uint32(to-from))
	if b.opts.evenLoad {
		i = p.drawBySpeed(from, to, r, nowNanos)
	}
	var fallback scoredCandidate
	for range to - from {
		c := p.subset[i]
		usable := b.isUsable(c, q)
		if usable {
			scored := b.score(p, q, c, mean, nowNanos)
			if !scored.suspect {
				return scored
			}
			fallback = scored
		}
		if !usable && b.mayTry(c, q) && c.tracked.breaker.claimTrial(now) {
			return scoredCandidate{candidate: c, load: mean, trial: true}
		}
		if i++; i == to {
			i = from
		}
	}
	return fallback
}

// score returns a candidate with its expected load, which includes the slowdown of its engine and the penalty for its distance.
func (b *Balancer) score(p *pool, q *Query, c *candidate, mean float64, nowNanos int64) scoredCandidate {
	var load float64
	if b.opts.evenLoad {
		load = c.tracked.expectedLoad(mean, nowNanos, &b.opts)
	} else {
		load = c.tracked.estimateLoad(mean, nowNanos, &b.opts)
	}
	sampleExpired := nowNanos-c.tracked.sampleAt.Load() >= int64(fullSampleTTL)
	overloaded, full := load > mean*overloadFactor+overloadMargin, false
	if slots := c.tracked.slots.Load(); slots > 0 {
		// A sample that is too old to estimate the load still shows that the upstream was full, and one that makes no progress
		// stays full. A request of this entry that has ended there since then left a free slot before any sample could show it.
		full = c.tracked.load.Load()+min(c.tracked.deltaSinceSample.Load(), 0) >= slots && !sampleExpired
		overloaded = load >= float64(slots)
	}
	if b.opts.evenLoad {
		load = b.expectedTime(p, c.tracked, load, mean, nowNanos)
	} else if slowdown := p.slowdown(c.tracked); slowdown > 1 {
		load = (load+1)*slowdown - 1
	}
	least, preference := distancePenalties[c.distance], b.preferencePenalty(c, mean)
	return scoredCandidate{
		candidate: c, load: load + least.constant + least.relative*mean + preference, preference: preference, overloaded: overloaded, full: full,
		suspect: c.tracked.isStalled.Load() && p.avoidsStalled() || sampleExpired && q.BusyRefusals >= maxBusyRefusals,
	}
}

// preferencePenalty returns the additional load of a candidate that WithLocalPreference adds, in requests, at a mean load of all.
func (b *Balancer) preferencePenalty(c *candidate, mean float64) float64 {
	if !b.opts.localPreference {
		return 0
	}
	room := 1.0
	if slots := c.tracked.slots.Load(); slots > 0 {
		room = max(1-mean/float64(slots), 0)
	}
	return room * (localPenalties[c.distance].of(mean) - distancePenalties[c.distance].of(mean))
}

// withoutPreference returns the candidate with the load that it has without WithLocalPreference.
func (a scoredCandidate) withoutPreference() scoredCandidate {
	a.load -= a.preference
	return a
}

func (b *Balancer) isUsable(c *candidate, q *Query) bool {
	return !c.tracked.isLeaving.Load() && c.tracked.breaker.retryAt.Load() == 0 && !isExcluded(c, q)
}

// mayTry reports whether a candidate is usable, or would be if its breaker were closed.
func (b *Balancer) mayTry(c *candidate, q *Query) bool {
	return !c.tracked.isLeaving.Load() && !isExcluded(c, q)
}

// isExcluded reports whether a request has used a candidate before, or must not be served in its region.
func isExcluded(c *candidate, q *Query) bool {
	if q.Regions != nil {
		if _, ok := q.Regions[c.upstream.Region]; !ok || c.upstream.Region == "" {
			return true
		}
	}
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, c.upstream.Name)
}
