package balancer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxReading bounds the time for which an upstream counts as reading prompts, so that wrong or forged announcements have a
	// bounded effect.
	maxReading = 5 * time.Second
	// MinReading is the time of reading from which a prompt counts as long. While less than that is left of maxReading, further prompts
	// are ignored: announcements that follow each other closely would otherwise keep a small load on an upstream all the time.
	MinReading = 250 * time.Millisecond
	// idleTimePerReading is the time without reading, relative to a time of reading, after which that time may be used again. Long
	// prompts take less than a tenth of the time of an engine in the simulation.
	idleTimePerReading = 4
	// requestsPerReadingSecond is the load that counts as much as one second of reading: a response of 40 events takes 0.72 s at an
	// engine with 5 requests, and 0.024 s longer with each further one.
	requestsPerReadingSecond = 40
)

// reading is the time that an upstream is expected to need for the long prompts that were sent to it.
type reading struct {
	until atomic.Int64 // Unix nanoseconds, 0 if none is expected

	mu sync.Mutex
	// spent is the used part of maxReading as of spentAt, and lastSentAt the time at which the last prompt was sent; the times are in
	// Unix nanoseconds.
	spent               time.Duration
	spentAt, lastSentAt int64
}

// regain lowers the used part of maxReading for the time that has passed without reading. The mutex must be held.
func (r *reading) regain(now int64) {
	if from := max(r.spentAt, r.until.Load()); now > from {
		r.spent = max(r.spent-time.Duration(now-from)/idleTimePerReading, 0)
		r.spentAt = now
	}
}

// add records a prompt that an upstream needs a time to read after the others. It returns whether any of that time counts.
func (r *reading) add(sentAt int64, d time.Duration, now int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regain(now)
	sentAt = min(max(sentAt, now-int64(maxReading)), now)
	until := r.until.Load()
	from := max(until, now)
	extra := min(time.Duration(max(until, sentAt)-from)+min(max(d, 0), maxReading), maxReading-r.spent)
	if extra <= 0 || r.spent > maxReading-MinReading {
		return false
	}
	r.spent += extra
	r.lastSentAt = max(r.lastSentAt, sentAt)
	r.until.Store(from + int64(extra))
	return true
}

// end records that the upstream has read all prompts that were sent until a time.
func (r *reading) end(sentAt, now int64) {
	if r.until.Load() == 0 {
		return // nothing was announced, as for most requests
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if sentAt < r.lastSentAt {
		return
	}
	r.regain(now)
	r.spent = max(r.spent-time.Duration(max(r.until.Load()-now, 0)), 0)
	r.spentAt = max(r.spentAt, now)
	r.until.Store(0)
}

// readingLoad returns the time until the end of reading in requests.
func readingLoad(until, nowNanos int64) float64 {
	if until <= nowNanos {
		return 0
	}
	return time.Duration(until-nowNanos).Seconds() * requestsPerReadingSecond
}

// AddReading records that a prompt was sent to an upstream, which is expected to need a time to read it. The upstream counts as
// reading for at most 5 s at a time, and for a fifth of the time in the long run. It returns false if the prompt has no effect. Only
// WithEvenLoad compares upstreams by it.
func (b *Balancer) AddReading(u identifier.Upstream, sentAt time.Time, d time.Duration) bool {
	c := b.current.Load().byName[u]
	if c == nil || !c.tracked.reading.add(sentAt.UnixNano(), d, b.opts.now().UnixNano()) {
		return false
	}
	for _, p := range c.pools {
		p.readUntil.Store(max(p.readUntil.Load(), c.tracked.reading.until.Load()))
	}
	return true
}

// EndReading records that an upstream has read all prompts that were sent to it until a time.
func (b *Balancer) EndReading(u identifier.Upstream, sentAt time.Time) {
	if c := b.current.Load().byName[u]; c != nil {
		c.tracked.reading.end(sentAt.UnixNano(), b.opts.now().UnixNano())
	}
}

// UpstreamByHash returns the upstream whose name has an xxhash, and false if there is none.
func (b *Balancer) UpstreamByHash(hash uint64) (identifier.Upstream, bool) {
	for _, c := range b.current.Load().byNumber {
		if c != nil && c.tracked.hash == hash {
			return c.upstream.Name, true
		}
	}
	return "", false
}

// Slowdown returns the time that work takes at an upstream relative to the others, 1 if it is not known.
func (b *Balancer) Slowdown(u identifier.Upstream) float64 {
	if c := b.current.Load().byName[u]; c != nil {
		return c.tracked.speed.slowdown(b.opts.now().UnixNano())
	}
	return 1
}

// IsPreferred reports whether an upstream is one of those that serve the requests with the prefix of a query as long as they have little
// load, and so probably has it cached.
func (b *Balancer) IsPreferred(q Query, u identifier.Upstream) bool {
	s := b.current.Load()
	p, c := s.pool(&q), s.byName[u]
	if p == nil || c == nil || q.Prefix == 0 {
		return false
	}
	preferred := p.preferred(q.Prefix)
	return slices.Contains(preferred[:], c)
}
