package throttler

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// slotLifetime is how long after its begin a slot may be used. The longer it is, the more slots of several entries may be used at
	// the same time.
	slotLifetime = time.Second
	// repeatInterval is how long an entry waits for the answer to an ask before it repeats it. Requests wait for a slot only for a part of
	// their latency target, and a request that still waits can use the slot of an answer that was lost.
	repeatInterval = 40 * time.Millisecond
	// askTimeout is the time without an answer to an ask, sent at least minSends times, after which the entry keeps to an even share of
	// the limit by itself.
	askTimeout = 450 * time.Millisecond
	minSends   = 3
	// evenShareReserve is the part of an even share that an entry uses by itself, as others may still get slots from the owner.
	evenShareReserve = 0.5
	// ownObservation is how long an answer that this entry got counts more than what other entries state.
	ownObservation = time.Second
	// confirmInterval is the least time between two statements of the entries that a limit still holds.
	confirmInterval = 15 * time.Second
	// limitMemory is how long a limit holds that nobody has confirmed, and limitMemorySpread a random addition, so that not all
	// entries forget it at the same time.
	limitMemory       = time.Minute
	limitMemorySpread = time.Minute
	// demandWindow is the time over which the demand for slots is counted, and maxWants bounds that count. Slots are asked for in advance
	// for what comes in advanceTime; more would mostly end before a request uses them.
	demandWindow = 4 * time.Second
	maxWants     = 512
	advanceTime  = 500 * time.Millisecond
	// maxSlotsPerAsk bounds the slots of one ask.
	maxSlotsPerAsk = 64
)

// limit is what this entry knows of the limit of one upstream, and the slots that it holds.
type limit struct {
	// perSecond is what answers name, and isNamed is set as long as they do.
	perSecond float64
	isNamed   bool
	// coldUntil is the end of the time in which the upstream is cold, and coldPerSecond its rate then.
	coldUntil     time.Time
	coldPerSecond float64
	// observedAt is when an own answer last named the limit, confirmedAt when any entry's did, and statedAt when the others were
	// last told.
	observedAt, confirmedAt, statedAt time.Time
	forgetAt                          time.Time
	// slots are the begins of the slots that are left, in order.
	slots []time.Time
	// slotLifetime is how long after its begin each of them may be used.
	slotLifetime time.Duration
	// askID is the ask in progress, 0 if there is none, sent so many times, first at askedAt and last at repeatedAt; the next one may be
	// sent from nextAskAt on.
	askID                          uint64
	sends                          int
	askedAt, repeatedAt, nextAskAt time.Time
	// wants are the times at which a request was not sent for want of a slot, within demandWindow.
	wants []time.Time
}

// Throttler holds the limits that upstreams name, and the pauses that they ask for, as one entry knows them; it is safe for
// concurrent use.
type Throttler struct {
	now func() time.Time
	// send sends an ask to the owner of the limit; share states an observation to all other entries.
	send  func(Ask)
	share func(Statement)
	// numEntries returns the number of entries.
	numEntries func() int
	onChange   func(Statement)
	onCold     func(ColdChange)
	// peersKnown reports whether this entry knows the others, and owner names the owner of the limit of a cold upstream.
	peersKnown func() bool
	owner      func(identifier.Upstream) identifier.Instance

	// restricted is the number of limits and pauses, so that without one nothing else is read.
	restricted atomic.Int64

	mu     sync.Mutex
	limits map[identifier.Upstream]*limit
	ended  map[identifier.Upstream]time.Time
	// pausedUntil holds the ends of the pauses that upstreams asked this entry for.
	pausedUntil map[identifier.Upstream]time.Time
	pauseTrials map[identifier.Upstream]*pauseTrials
	granted     chan struct{}
	coldBound   ColdBound
	turns       Turns
	// lastID is the ID of the last ask. The first one is random, so that those of different entries differ.
	lastID uint64

	named, used, closed, unanswered, selfGranted, pauses, trials int64

	coldBegun, coldEnded, coldUsed, coldClosed, late int64
}

// Option configures a Throttler.
type Option func(*Throttler)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(t *Throttler) { t.now = now }
}

// WithSend sets the function that sends an ask to the owner of a limit.
func WithSend(send func(Ask)) Option {
	return func(t *Throttler) { t.send = send }
}

// WithShare sets the function that tells the other entries what an answer said.
func WithShare(share func(Statement)) Option {
	return func(t *Throttler) { t.share = share }
}

// WithNumEntries sets the function that returns the number of entries.
func WithNumEntries(f func() int) Option {
	return func(t *Throttler) { t.numEntries = f }
}

// WithOnChange sets the function that receives each new limit, each change and each end of one.
func WithOnChange(f func(Statement)) Option {
	return func(t *Throttler) { t.onChange = f }
}

// New returns a throttler without limits.
func New(opts ...Option) *Throttler {
	t := &Throttler{
		now: time.Now, send: func(Ask) {}, share: func(Statement) {}, numEntries: func() int { return 1 }, onChange: func(Statement) {},
		onCold: func(ColdChange) {}, peersKnown: func() bool { return true }, owner: func(identifier.Upstream) identifier.Instance { return "" },
		limits: map[identifier.Upstream]*limit{}, ended: map[identifier.Upstream]time.Time{},
		pausedUntil: map[identifier.Upstream]time.Time{}, pauseTrials: map[identifier.Upstream]*pauseTrials{}, granted: make(chan struct{}), lastID: rand.Uint64(),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Observe records what the head of an upstream's answer says: a limit, or, if perSecond is negative, none.
func (t *Throttler) Observe(u identifier.Upstream, perSecond float64) {
	if perSecond < 0 && t.restricted.Load() == 0 {
		return
	}
	t.mu.Lock()
	now := t.now()
	s, tell, changed := t.record(Statement{Upstream: u, PerSecond: max(perSecond, 0), Ended: perSecond < 0}, now, true)
	t.mu.Unlock()
	if tell {
		t.share(s)
	}
	if changed {
		t.onChange(s)
	}
}

// Apply records what another entry read in an answer. What this entry read itself a moment ago counts more.
func (t *Throttler) Apply(s Statement) {
	t.mu.Lock()
	now := t.now()
	l := t.limits[s.Upstream]
	isNamed := l != nil && l.isNamed
	if isNamed && s.Ended && now.Sub(l.observedAt) < ownObservation || !isNamed && now.Sub(t.ended[s.Upstream]) < ownObservation {
		t.mu.Unlock()
		return
	}
	s, _, changed := t.record(s, now, false)
	t.mu.Unlock()
	if changed {
		t.onChange(s)
	}
}

// record applies a statement, of this entry if own is set, and reports whether the other entries should be told and whether the limit
// has changed.
func (t *Throttler) record(s Statement, now time.Time, own bool) (_ Statement, tell, changed bool) {
	l := t.limits[s.Upstream]
	if s.Ended {
		if l == nil || !l.isNamed {
			return s, false, false
		}
		t.endNamed(s.Upstream, l)
		if own {
			t.ended[s.Upstream] = now
		}
		return s, true, true
	}
	if l == nil {
		l = &limit{}
		t.limits[s.Upstream] = l
		t.restricted.Add(1)
	}
	if !l.isNamed {
		l.isNamed = true
		t.named++
	}
	changed = l.perSecond != s.PerSecond
	l.perSecond = s.PerSecond
	if own {
		l.observedAt = now
		tell = changed || now.Sub(l.confirmedAt) >= confirmInterval && now.Sub(l.statedAt) >= confirmInterval
		if tell {
			l.statedAt = now
		}
	} else {
		l.confirmedAt = now
	}
	l.forgetAt = now.Add(limitMemory + rand.N(limitMemorySpread))
	return s, tell, changed
}

// endNamed ends the limit that answers named. The record of an upstream with a cold time stays until that is swept; t.mu is held.
func (t *Throttler) endNamed(u identifier.Upstream, l *limit) {
	l.isNamed, l.perSecond, l.observedAt, l.confirmedAt, l.statedAt = false, 0, time.Time{}, time.Time{}, time.Time{}
	if l.coldUntil.IsZero() {
		t.remove(u)
	}
}

func (t *Throttler) remove(u identifier.Upstream) {
	delete(t.limits, u)
	t.restricted.Add(-1)
	t.wake()
}

// wake wakes the requests that wait for a slot.
func (t *Throttler) wake() {
	close(t.granted)
	t.granted = make(chan struct{})
}

// AppendClosed appends the upstreams that may get no request from this entry now.
func (t *Throttler) AppendClosed(names []identifier.Upstream) []identifier.Upstream {
	if t.restricted.Load() == 0 {
		return names
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for u, l := range t.limits {
		if l.holds(now) && !l.hasSlot(now) {
			names = append(names, u)
		}
	}
	for u, until := range t.pausedUntil {
		if l := t.limitAt(u, now); now.Before(until) && (l == nil || l.hasSlot(now)) {
			names = append(names, u)
		}
	}
	return names
}

// AppendLimited appends the upstreams that name a limit or are cold.
func (t *Throttler) AppendLimited(names []identifier.Upstream) []identifier.Upstream {
	return t.appendLimits(names, (*limit).holds)
}

// appendLimits appends the upstreams to whose limits a condition applies now.
func (t *Throttler) appendLimits(names []identifier.Upstream, applies func(*limit, time.Time) bool) []identifier.Upstream {
	if t.restricted.Load() == 0 {
		return names
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for u, l := range t.limits {
		if applies(l, now) {
			names = append(names, u)
		}
	}
	return names
}

// Take reports whether a request may be sent to an upstream now, and uses a slot if it has a limit.
func (t *Throttler) Take(u identifier.Upstream) bool {
	if t.restricted.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if now.Before(t.pausedUntil[u]) {
		t.closed++
		return false
	}
	l := t.limitAt(u, now)
	if l == nil {
		return true
	}
	isCold := l.isCold(now)
	if !l.hasSlot(now) {
		t.closed++
		if isCold {
			t.coldClosed++
		}
		return false
	}
	l.slots = l.slots[1:]
	t.used++
	if isCold {
		t.coldUsed++
	}
	return true
}

// HasSlot reports whether an upstream has a limit and this entry may send it a request now.
func (t *Throttler) HasSlot(u identifier.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	l := t.limitAt(u, now)
	return l != nil && l.hasSlot(now) && !now.Before(t.pausedUntil[u])
}

// hasSlot drops the slots that are over and reports whether one has begun.
func (l *limit) hasSlot(now time.Time) bool {
	for len(l.slots) > 0 && now.Sub(l.slots[0]) >= l.slotLifetime {
		l.slots = l.slots[1:]
	}
	return len(l.slots) > 0 && !now.Before(l.slots[0])
}

// Sweep forgets limits that nobody has confirmed for long, and pauses that are over. Both outlast the registration of an upstream, which
// may lapse while the upstream goes on.
func (t *Throttler) Sweep() {
	for _, c := range t.sweep() {
		t.onCold(*c)
	}
}

// sweep is Sweep, and returns the ends of cold times.
func (t *Throttler) sweep() []*ColdChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var ends []*ColdChange
	for u, l := range t.limits {
		if l.isNamed && !now.Before(l.forgetAt) {
			t.endNamed(u, l)
		}
		if !l.coldUntil.IsZero() && !l.isCold(now) {
			ends = append(ends, t.endCold(u, l))
		}
	}
	t.turns.sweep(now)
	for u, until := range t.pausedUntil {
		if !now.Before(until) {
			t.endPause(u)
		}
	}
	for u, at := range t.ended {
		if now.Sub(at) >= ownObservation {
			delete(t.ended, u)
		}
	}
	return ends
}
