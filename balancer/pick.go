package balancer

import (
	"slices"
	"time"
)

// option is one candidate of a choice with its expected load.
type option struct {
	c     *candidate
	load  float64
	hot   bool
	full  bool // the last sample showed no free slot, and no request of this entry has ended there since
	trial bool
	// doubtful: the last sample showed no progress, or a request that may wait would go by a sample that is too old.
	doubtful bool
}

// The excess load in requests for which a farther upstream is left alone: a constant and a part of the mean. Within a
// region the data centres are a millisecond or two apart, which is little beside the time of a token.
var penalties = [distances]struct{ constant, relative float64 }{{0, 0}, {0.1, 0.02}, {1, 0.25}}

// better is the hot-cold rule: a doubtful one last, cold before hot, and one not seen full before one that was; else the
// less loaded, with the penalty of its distance.
func (a option) better(o option) bool {
	if o.c == nil {
		return true
	}
	if a.doubtful != o.doubtful {
		return !a.doubtful
	}
	if a.hot != o.hot {
		return !a.hot
	}
	if a.full != o.full {
		return !a.full
	}
	return a.load < o.load
}

// pick compares the latest samples of the probe pool and one random candidate of each distance; when the best of them looks
// full or a request was refused as busy, it compares the whole subset. The rest of the list serves only when no member of
// the subset is usable.
func (b *Balancer) pick(p *pool, k *Query, mean float64, t time.Time, now int64) option {
	best := b.latest(p, k, mean, now)
	r := b.o.draw()
	from := 0
	for _, to := range p.ends {
		if to == from {
			continue
		}
		o := b.draw(p, k, from, to, r, mean, t, now)
		if o.trial {
			return o
		}
		if o.c != nil && o.better(best) {
			best = o
		}
		r = r>>17 | r<<47
		from = to
	}
	if best.c == nil {
		for i, n := 0, len(p.rest); i < n; i++ {
			if c := p.rest[(i+int(uint64(now)%uint64(n)))%n]; b.usable(c, k) {
				return option{c: c, load: mean}
			}
		}
	}
	if best.c != nil && (best.hot || best.full || k.BusyRefusals > 0) {
		return b.all(p, k, best, mean, now)
	}
	return best
}

// sampled reports whether the last sample of a candidate is neither too old nor used up.
func (b *Balancer) sampled(c *candidate, now int64) bool {
	return now-c.node.sampleAt.Load() <= int64(b.o.maxAge) && c.node.uses.Load() < b.o.maxUses
}

// all returns the best of a candidate and the members of the subset whose sample is neither too old nor used up. The others
// are expected to have the mean load, by which an overload would find a free slot again and again.
func (b *Balancer) all(p *pool, k *Query, best option, mean float64, now int64) option {
	for _, c := range p.near {
		if !b.sampled(c, now) {
			continue
		}
		// Few are better, and only those cost a look at their breaker.
		if o := b.option(p, k, c, mean, now); o.better(best) && b.usable(c, k) {
			best = o
		}
	}
	return best
}

// latest returns the best of the latest samples that are neither too old nor used up.
func (b *Balancer) latest(p *pool, k *Query, mean float64, now int64) option {
	var best option
	next := p.next.Load()
	left := b.o.choices
	for i := uint32(1); i <= freshSize && left > 0; i++ {
		j := p.fresh[(next-i)%freshSize].Load()
		if j < 0 {
			break
		}
		c := p.near[j]
		if !b.sampled(c, now) || !b.usable(c, k) {
			continue
		}
		left--
		if o := b.option(p, k, c, mean, now); o.better(best) {
			best = o
		}
	}
	return best
}

// draw returns a random usable candidate between two indexes of the subset, a doubtful one only for want of another, or a
// trial of one whose breaker cooled down.
func (b *Balancer) draw(p *pool, k *Query, from, to int, r uint64, mean float64, t time.Time, now int64) option {
	at := from + int(uint32(r)%uint32(to-from))
	var spare option
	for range to - from {
		c := p.near[at]
		usable := b.usable(c, k)
		if usable {
			o := b.option(p, k, c, mean, now)
			if !o.doubtful {
				return o
			}
			spare = o
		}
		if !usable && !c.node.leaving.Load() && !excluded(c, k) && c.node.breaker.claimTrial(t) {
			return option{c: c, load: mean, trial: true}
		}
		if at++; at == to {
			at = from
		}
	}
	return spare
}

func (b *Balancer) option(p *pool, k *Query, c *candidate, mean float64, now int64) option {
	load := c.node.estimate(mean, now, &b.o)
	old := now-c.node.sampleAt.Load() >= int64(fullTime)
	hot, full := load > mean*hotFactor+hotMargin, false
	if slots := c.node.slots.Load(); slots > 0 {
		// A sample too old for a load still tells that the upstream was full, and a stuck one stays full. A request of this
		// entry that ended since then has left a free slot, which no sample tells as early.
		full = c.node.load.Load()+min(c.node.delta.Load(), 0) >= slots && !old
		hot = load >= float64(slots)
	}
	if slow := p.slowness(c.node); slow > 1 {
		load = (load+1)*slow - 1
	}
	far := penalties[c.distance]
	return option{
		c: c, load: load + far.constant + far.relative*mean, hot: hot, full: full,
		doubtful: c.node.stalled.Load() && p.shuns() || old && k.BusyRefusals >= maxBusy,
	}
}

func (b *Balancer) usable(c *candidate, k *Query) bool {
	return !c.node.leaving.Load() && c.node.breaker.retryAt.Load() == 0 && !excluded(c, k)
}

func excluded(c *candidate, k *Query) bool {
	return len(k.Exclude) > 0 && slices.Contains(k.Exclude, c.upstream.Name)
}
