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
	// ends counts the calls of end that had an effect.
	ends uint64
}

// Reading is the part of an upstream's time of reading that one prompt of this entry takes, for EndUnread.
type Reading struct {
	upstream                 *trackedUpstream
	until, sentAt, sentAtOld int64
	extra                    time.Duration
	ends                     uint64
}

// regain lowers the used part of maxReading for the time that has passed without reading. The mutex must be held.
func (r *reading) regain(now int64) {
	if from := max(r.spentAt, r.until.Load()); now > from {
		r.spent = max(r.spent-time.Duration(now-from)/idleTimePerReading, 0)
		r.spentAt = now
	}
}

// add records a prompt that an upstream needs a time to read after the others. It returns the part of that time that counts, or false
// if none does.
func (r *reading) add(sentAt int64, d time.Duration, now int64) (Reading, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regain(now)
	sentAt = min(max(sentAt, now-int64(maxReading)), now)
	until := r.until.Load()
	from := max(until, now)
	extra := min(time.Duration(max(until, sentAt)-from)+min(max(d, 0), maxReading), maxReading-r.spent)
	if extra <= 0 || r.spent > maxReading-MinReading {
		return Reading{}, false
	}
	r.spent += extra
	own := Reading{until: from + int64(extra), sentAt: sentAt, sentAtOld: r.lastSentAt, extra: extra, ends: r.ends}
	r.lastSentAt = max(r.lastSentAt, sentAt)
	r.until.Store(own.until)
	return own, true
}

// remove gives back what is left of the time that one prompt takes, unless end has done so.
func (r *reading) remove(own Reading, now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.until.Load()
	left := min(int64(own.extra), own.until-now, until-now)
	if own.ends != r.ends || left <= 0 {
		return
	}
	r.regain(now)
	r.spent = max(r.spent-time.Duration(left), 0)
	if r.lastSentAt == own.sentAt {
		r.lastSentAt = own.sentAtOld
	}
	if until -= left; until <= now {
		until, r.spentAt = 0, max(r.spentAt, now)
	}
	r.until.Store(until)
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
	r.ends++
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
	_, ok := b.AddOwnReading(u, sentAt, d)
	return ok
}

// AddOwnReading is AddReading for a prompt of this entry, whose Reading can be ended by itself.
func (b *Balancer) AddOwnReading(u identifier.Upstream, sentAt time.Time, d time.Duration) (Reading, bool) {
	c := b.current.Load().byName[u]
	if c == nil {
		return Reading{}, false
	}
	r, ok := c.tracked.reading.add(sentAt.UnixNano(), d, b.opts.now().UnixNano())
	r.upstream = c.tracked
	return r, ok
}

// EndUnread records that an upstream does not read a prompt of this entry any more, although nothing is known of the others there.
func (b *Balancer) EndUnread(r Reading) {
	if r.upstream != nil {
		r.upstream.reading.remove(r, b.opts.now().UnixNano())
	}
}

// readUntil returns the latest end of reading that is expected of a member of the subset, in Unix nanoseconds. It is computed for
// upstreams over their share of choices only, which are few.
func (p *pool) readUntil() (until int64) {
	for _, c := range p.subset {
		until = max(until, c.tracked.reading.until.Load())
	}
	return until
}

// EndReading records that an upstream has read all prompts that were sent to it until a time.
func (b *Balancer) EndReading(u identifier.Upstream, sentAt time.Time) {
	if c := b.current.Load().byName[u]; c != nil {
		c.tracked.reading.end(sentAt.UnixNano(), b.opts.now().UnixNano())
	}
}

// UpstreamByHash returns the upstream whose name has an xxhash, and false if there is none.
func (b *Balancer) UpstreamByHash(hash uint64) (identifier.Upstream, bool) {
	if c := b.current.Load().byHash[hash]; c != nil {
		return c.upstream.Name, true
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
