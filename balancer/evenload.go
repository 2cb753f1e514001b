package balancer

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// maxSlowdown bounds the time that work takes at an upstream relative to the others, and its reciprocal, so that a false figure
	// has a bounded effect.
	maxSlowdown = 4
	// slowdownHalfAge and correctionHalfAge are the ages at which a learned slowdown and its correction by a reported figure have
	// half their weight. An upstream of which nothing is heard tends to the mean, so that it is tried again. With 330 entries and 55
	// upstreams, an entry uses each upstream about once in a minute. Upstreams turn slow for some 0.6 s at a time.
	slowdownHalfAge   = 120 * time.Second
	correctionHalfAge = 500 * time.Millisecond
	// baseShare is the time of a step of an idle engine as a share of the time that requests in all slots add to it. Engines take
	// 3 ms and 0.12 ms for each running request, and have 64 slots.
	baseShare = 0.25
	// maxChoiceShare is the number of an entry's recent choices of an upstream, relative to the mean of the subset and beyond
	// choiceSlack, from which a low load or a good speed that the upstream reports no longer attracts requests.
	maxChoiceShare = 3
	choiceSlack    = 2
	// choicePeriod is the length of the two periods over which choices are counted. One of 30 entries chooses an engine of 55 some
	// 0.6 times in a second.
	choicePeriod = 8 * time.Second
	// maxDraws bounds the cost of a random choice by speed.
	maxDraws = 4
	// extraDraws is the number of random candidates of each distance beyond the first.
	extraDraws = 1
	// maxWaitingPerSlot bounds the load that an upstream reports, in multiples of its slots. Engines queue three times their slots.
	maxWaitingPerSlot = 16
)

// speed is what the last sample stated about the speed of an upstream: in the upper 32 bits its slowdown and in the lower ones the
// correction of that slowdown, both as float32; 0 without a sample.
type speed struct {
	packed atomic.Uint64
	at     atomic.Int64 // Unix nanoseconds
}

// set records a slowdown and its correction; 0 and invalid values count as 1.
func (s *speed) set(slowdown, correction float64, at int64) {
	high, low := math.Float32bits(float32(boundSlowdown(slowdown))), math.Float32bits(float32(boundSlowdown(correction)))
	s.packed.Store(uint64(high)<<32 | uint64(low))
	s.at.Store(at)
}

// slowdown returns the expected time of work relative to the other upstreams.
func (s *speed) slowdown(nowNanos int64) float64 {
	packed := s.packed.Load()
	if packed == 0 {
		return 1
	}
	age := max(nowNanos-s.at.Load(), 0)
	learned := float64(math.Float32frombits(uint32(packed >> 32)))
	correction := float64(math.Float32frombits(uint32(packed)))
	learned = 1 + (learned-1)*weightAt(age, slowdownHalfAge)
	correction = 1 + (correction-1)*weightAt(age, correctionHalfAge)
	return boundSlowdown(learned * correction)
}

// drawBySpeed returns a random index between two of the subset. An upstream that is slower than the mean is drawn less often, in
// proportion to its speed, because most of its loads are unknown when many entries share few upstreams.
func (p *pool) drawBySpeed(from, to int, r uint64, nowNanos int64) int {
	i := 0
	for range maxDraws {
		i = from + int(uint32(r)%uint32(to-from))
		if slowdown := p.subset[i].tracked.speed.slowdown(nowNanos); float64(r>>32)*slowdown <= 1<<32 {
			break
		}
		r = mix(r)
	}
	return i
}

// drawMore returns the best of a candidate and of extraDraws random ones between two indexes of the subset.
func (b *Balancer) drawMore(p *pool, q *Query, from, to int, r uint64, best scoredCandidate, mean float64, nowNanos int64) scoredCandidate {
	for range extraDraws {
		r = mix(r + 1)
		c := p.subset[p.drawBySpeed(from, to, r, nowNanos)]
		if scored := b.score(p, q, c, mean, nowNanos); scored.betterThan(best) && b.isUsable(c, q) {
			best = scored
		}
	}
	return best
}

// correction returns the correction in the last sample.
func (s *speed) correction() float64 {
	if packed := s.packed.Load(); packed != 0 {
		return float64(math.Float32frombits(uint32(packed)))
	}
	return 1
}

// weightAt returns the weight of a value of a given age, which is a half at halfAge and falls with the square of the age.
func weightAt(age int64, halfAge time.Duration) float64 {
	x := float64(age) / float64(halfAge)
	return 1 / (1 + x*x)
}

func boundSlowdown(x float64) float64 {
	if math.IsNaN(x) || x <= 0 {
		return 1
	}
	return min(max(x, 1.0/maxSlowdown), maxSlowdown)
}

// expectedLoad is estimateLoad, except that the end of a request lowers the load only as far as the sample that includes the request
// counts. Otherwise an upstream whose sample has expired would seem better than the mean because it was used once, and would be
// used again.
func (u *trackedUpstream) expectedLoad(mean float64, nowNanos int64, opts *options) float64 {
	load, delta, uses := mean, u.deltaSinceSample.Load(), u.uses.Load()
	if uses > 0 {
		delta = max(delta, uses)
	}
	age := time.Duration(max(nowNanos-u.sampleAt.Load(), 0))
	if age < opts.maxAge && uses < opts.maxUses {
		weight := float64(opts.halfAge) / float64(opts.halfAge+age)
		load += (float64(u.load.Load()+min(delta, 0)) - mean) * weight
	}
	return max(load+float64(max(delta, 0)), 0)
}

// expectedTime returns the load of a candidate as the time that work takes there, in requests at an upstream of mean speed.
func (b *Balancer) expectedTime(p *pool, u *trackedUpstream, load, mean float64, nowNanos int64) float64 {
	slowdown, reading := u.speed.slowdown(nowNanos), readingLoad(u.reading.until.Load(), nowNanos)
	base := max(baseShare*float64(u.slots.Load()), 1)
	if excess := p.excessShare(u, nowNanos); excess > 1 {
		load, slowdown = max(load, (mean+1)*excess), max(slowdown, 1)
		// Announcements about all others attract no more requests to an upstream than its own reports may.
		reading = max(reading, readingLoad(p.readUntil(), nowNanos))
	}
	return (load+base)*slowdown - base + reading
}

// excessShare returns the recent choices of an upstream relative to the mean if they are more than it may attract by what it
// reports, or else 0. Its load is then expected to be in proportion to them.
func (p *pool) excessShare(u *trackedUpstream, nowNanos int64) float64 {
	own := u.choices.count(nowNanos)
	if own <= choiceSlack {
		return 0
	}
	n := float64(len(p.subset))
	mean := max(p.choices.count(nowNanos)/n, 1/n)
	if own <= min(maxChoiceShare, (n+1)/2)*mean+choiceSlack {
		return 0
	}
	return own / mean
}

// boundLoad bounds a reported load.
func (u *trackedUpstream) boundLoad(load int64) int64 {
	load = max(load, 0)
	if slots := u.slots.Load(); slots > 0 {
		load = min(load, maxWaitingPerSlot*slots)
	}
	return load
}

// choiceWindow counts choices over the current period and the rest of the one before. It holds the number of the period in the upper
// 24 bits, then the counts of the period and of the one before in 20 bits each.
type choiceWindow struct {
	packed atomic.Uint64
}

const maxChoiceCount = 1<<20 - 1

// counts returns the number of the period at a time, and the counts of that period and of the one before.
func (w *choiceWindow) counts(packed uint64, nowNanos int64) (period, current, previous uint64) {
	period = uint64(nowNanos) / uint64(choicePeriod) & (1<<24 - 1)
	current, previous = packed>>20&maxChoiceCount, packed&maxChoiceCount
	switch (period - packed>>40) & (1<<24 - 1) {
	case 0:
		return period, current, previous
	case 1:
		return period, 0, current
	default:
		return period, 0, 0
	}
}

func (w *choiceWindow) add(n uint64, nowNanos int64) {
	for {
		packed := w.packed.Load()
		period, current, previous := w.counts(packed, nowNanos)
		if w.packed.CompareAndSwap(packed, period<<40|min(current+n, maxChoiceCount)<<20|previous) {
			return
		}
	}
}

func (w *choiceWindow) count(nowNanos int64) float64 {
	_, current, previous := w.counts(w.packed.Load(), nowNanos)
	elapsed := float64(nowNanos%int64(choicePeriod)) / float64(choicePeriod)
	return float64(current) + float64(previous)*(1-elapsed)
}
