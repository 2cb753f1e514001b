package throttler

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxOwners is the number of entries that may consider themselves the owner of the limit of a cold upstream at the same time.
	maxOwners = 2
	// coldSlotLifetime is how long after its begin a granted slot of a cold upstream may be used. It adds to the second in which requests are
	// counted, so the owner grants the less the longer it is.
	coldSlotLifetime = 200 * time.Millisecond
	// maxGrantAge bounds the time from an ask to its answer for a cold upstream. The slots of an answer that waited longer, in the buffers of
	// an entry that was paused, have begun earlier than it says.
	maxGrantAge = 500 * time.Millisecond
	// deniedSpread is the largest random addition, for each entry, to the time after which an entry that was denied slots of a cold upstream
	// asks again. Without it, owners of three upstreams with a rate of 100 got up to 824 asks a second from 330 entries.
	deniedSpread = 5 * time.Millisecond
	// minInterval and maxInterval bound the time between two slots.
	minInterval = time.Microsecond
	maxInterval = time.Hour
)

// ColdBound is what a cold upstream may get in any one second: its rate times Over, and Slack requests more. The zero value states no bound.
type ColdBound struct {
	Over, Slack float64
}

// GrantRate returns the slots per second that an owner grants for an upstream with a rate. The slots that as many as maxOwners owners grant
// and that can be used in one second stay within the bound, unless that leaves less than one owner's half of the rate: at a bound below 2
// plus 1.08 times the rate. Without a bound, they stay within the rate in the long run.
func (b ColdBound) GrantRate(perSecond float64) float64 {
	least, most := perSecond*paceShare/maxOwners, perSecond*paceShare
	if b.Over <= 0 && b.Slack <= 0 {
		return least
	}
	over := b.Over
	if over <= 0 {
		over = 1
	}
	// One owner's slots begin in a second and the lifetime before it, the first one at once.
	slots := (over*perSecond + b.Slack) / maxOwners
	return max(min((slots-1)/(1+coldSlotLifetime.Seconds()), most), min(over, 1)*least)
}

// ColdChange is the begin, a change of the rate, or the end of the time in which an upstream is cold.
type ColdChange struct {
	Upstream identifier.Upstream
	// Until is when it ends, and PerSecond the requests per second that the upstream takes from all entries together meanwhile.
	Until     time.Time
	PerSecond float64
	Ended     bool
}

// WithColdBound sets what a cold upstream may get.
func WithColdBound(b ColdBound) Option {
	return func(t *Throttler) { t.coldBound = b }
}

// WithOnCold sets the function that receives each begin, change of the rate and end of a cold time.
func WithOnCold(f func(ColdChange)) Option {
	return func(t *Throttler) { t.onCold = f }
}

// WithPeersKnown sets the function that reports whether this entry knows the others; until then it asks for no slots of cold upstreams.
func WithPeersKnown(f func() bool) Option {
	return func(t *Throttler) { t.peersKnown = f }
}

// WithOwner sets the function that names the owner of the limit of a cold upstream, for the state dump.
func WithOwner(f func(identifier.Upstream) identifier.Instance) Option {
	return func(t *Throttler) { t.owner = f }
}

// SetColdBound replaces what a cold upstream may get.
func (t *Throttler) SetColdBound(b ColdBound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldBound = b
}

// SetCold records until when an upstream is cold and which rate it takes then. It is not cold if that time has passed or the rate is 0.
func (t *Throttler) SetCold(u identifier.Upstream, perSecond float64, until time.Time) {
	t.mu.Lock()
	now := t.now()
	l := t.limits[u]
	var c *ColdChange
	switch isCold := perSecond > 0 && now.Before(until); {
	case isCold:
		if l == nil {
			l = &limit{}
			t.limits[u] = l
			t.restricted.Add(1)
		}
		if !l.isCold(now) {
			t.coldBegun++
			// Slots that were granted by a higher limit, or in an earlier cold time, are not used.
			l.slots, l.askID, l.nextAskAt = nil, 0, now
		}
		if !l.isCold(now) || l.coldPerSecond != perSecond {
			c = &ColdChange{Upstream: u, Until: until, PerSecond: perSecond}
		}
		l.coldUntil, l.coldPerSecond = until, perSecond
	case l != nil && !l.coldUntil.IsZero():
		c = t.endCold(u, l)
	}
	t.mu.Unlock()
	if c != nil {
		t.onCold(*c)
	}
}

// endCold ends the cold time of an upstream; t.mu is held.
func (t *Throttler) endCold(u identifier.Upstream, l *limit) *ColdChange {
	c := &ColdChange{Upstream: u, Until: l.coldUntil, PerSecond: l.coldPerSecond, Ended: true}
	l.coldUntil, l.coldPerSecond = time.Time{}, 0
	t.coldEnded++
	if l.isNamed {
		t.wake()
	} else {
		t.remove(u)
	}
	return c
}

// isCold reports whether the upstream of a limit is cold.
func (l *limit) isCold(now time.Time) bool {
	return now.Before(l.coldUntil)
}

// limitAt returns the limit that an upstream has at a time, or nil.
func (t *Throttler) limitAt(u identifier.Upstream, now time.Time) *limit {
	if l := t.limits[u]; l != nil && l.holds(now) {
		return l
	}
	return nil
}

// holds reports whether answers name the limit or the upstream is cold.
func (l *limit) holds(now time.Time) bool {
	return l.isNamed || l.isCold(now)
}

// coldRate returns the slots per second of a cold upstream: what its owner may grant, or less if its answers name a lower limit.
func (t *Throttler) coldRate(l *limit) float64 {
	perSecond := t.coldBound.GrantRate(l.coldPerSecond)
	if l.isNamed {
		perSecond = min(perSecond, paceShare*max(l.perSecond, minPerSecond))
	}
	return perSecond
}

// slotInterval returns the time between two slots of a limit.
func (t *Throttler) slotInterval(l *limit, now time.Time) time.Duration {
	if l.isCold(now) {
		return coldInterval(t.coldRate(l))
	}
	return interval(l.perSecond)
}

func coldInterval(perSecond float64) time.Duration {
	if perSecond <= 1/maxInterval.Seconds() {
		return maxInterval
	}
	return max(time.Duration(float64(time.Second)/perSecond), minInterval)
}

// IsCold reports whether an upstream is cold and has a rate.
func (t *Throttler) IsCold(u identifier.Upstream) bool {
	if t.restricted.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[u]
	return l != nil && l.isCold(t.now())
}

// AppendCold appends the upstreams that are cold and have a rate.
func (t *Throttler) AppendCold(names []identifier.Upstream) []identifier.Upstream {
	return t.appendLimits(names, (*limit).isCold)
}

// ColdTurn returns when a request that some cold upstreams of a service cannot take may come back; each call returns a later time.
func (t *Throttler) ColdTurn(s identifier.Service, names []identifier.Upstream) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	perSecond, end := 0.0, time.Time{}
	for _, u := range names {
		l := t.limits[u]
		if l == nil || !l.isCold(now) {
			continue
		}
		perSecond += t.coldRate(l)
		if end.IsZero() || l.coldUntil.Before(end) {
			end = l.coldUntil
		}
	}
	return t.turns.Next(s, perSecond/float64(max(t.numEntries(), 1)), now, end)
}
