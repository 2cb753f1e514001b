package throttler

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// paceShare is the part of a limit that is granted. The rest covers the moments in which two entries both consider themselves
	// the owner.
	paceShare = 0.9
	// minPerSecond is the least limit that is kept; an upstream that names a lower one still gets a request now and then, whose
	// answer tells whether the limit has ended.
	minPerSecond = 0.05
	// horizon is how far ahead slots are granted to an entry that wants several a second, and shortHorizon the same for one that
	// wants one, whose request does not wait longer and would not be followed by another in time.
	horizon      = time.Second
	shortHorizon = 10 * time.Millisecond
	// scheduleMemory is how long the slots of a limit are remembered after the last one.
	scheduleMemory = time.Minute
	// grantMemory is how long a grant is remembered, which may be lost on its way.
	grantMemory = time.Second
)

// pastGrant is a grant with the time at which its first slot begins.
type pastGrant struct {
	Grant
	begin, at time.Time
}

// Owner grants the slots of the limits that this entry owns; it is safe for concurrent use.
type Owner struct {
	mu sync.Mutex
	// nextSlot holds the begin of the first slot of each upstream that is not granted.
	nextSlot map[identifier.Upstream]time.Time
	// past holds the grants of the last time by the asks that they answer.
	past map[uint64]pastGrant

	asks, slots, denied, coldSlots, coldDenied int64
}

// NewOwner returns an owner that has granted nothing.
func NewOwner() *Owner {
	return &Owner{nextSlot: map[identifier.Upstream]time.Time{}, past: map[uint64]pastGrant{}}
}

// OwnerOf returns the entry that owns the limit of an upstream, chosen by rendezvous hashing, or "" if there are no entries.
func OwnerOf(u identifier.Upstream, entries []identifier.Instance) identifier.Instance {
	var best identifier.Instance
	var most uint64
	for _, name := range entries {
		if h := xxhash.Sum64String(string(name) + "\x00" + string(u)); best == "" || h > most || h == most && name < best {
			best, most = name, h
		}
	}
	return best
}

// MayGrant reports whether an entry that knows some entries, itself included, answers an ask. Entries that have read different lists ask
// different owners for the slots of a cold upstream; of these, only those that consider themselves the owner grant, which are at most
// two unless three entries do not know each other.
func MayGrant(a Ask, self identifier.Instance, known []identifier.Instance) bool {
	return !a.Cold || OwnerOf(a.Upstream, known) == self
}

// interval returns the time between two slots of a limit.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / (paceShare * max(perSecond, minPerSecond)))
}

// Answer grants the next free slots to an entry that asks. Slots are even, so that no burst comes as a limit begins or an entry
// returns.
func (o *Owner) Answer(a Ask, now time.Time) Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asks++
	if p, ok := o.past[a.ID]; ok && a.Repeated && p.Upstream == a.Upstream {
		p.AfterMillis = millis(p.begin.Sub(now))
		return p.Grant
	}
	step := interval(a.PerSecond)
	if a.Cold {
		step = coldInterval(a.PerSecond)
	}
	next, ok := o.nextSlot[a.Upstream]
	if !ok {
		// Requests that were sent before this entry owned the limit may have just arrived.
		next = now.Add(step)
		if a.Cold {
			// The slots of the owner before this one have begun by then.
			next = next.Add(horizon)
		}
	}
	if next.Before(now) {
		next = now
	}
	g := Grant{Upstream: a.Upstream, ID: a.ID, AfterMillis: millis(next.Sub(now)), IntervalMillis: millis(step)}
	ahead := max(horizon, step)
	if a.Number <= 1 {
		ahead = shortHorizon
	}
	if next.Sub(now) > ahead {
		o.denied++
		if a.Cold {
			o.coldDenied++
		}
		o.nextSlot[a.Upstream] = next
		return g
	}
	g.Number = min(max(a.Number, 1), 1+int((horizon-min(next.Sub(now), horizon))/step))
	o.slots += int64(g.Number)
	if a.Cold {
		o.coldSlots += int64(g.Number)
	}
	o.nextSlot[a.Upstream] = next.Add(time.Duration(g.Number) * step)
	o.past[a.ID] = pastGrant{g, next, now}
	return g
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Sweep forgets the limits for which nobody has asked for some time.
func (o *Owner) Sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for u, next := range o.nextSlot {
		if now.Sub(next) >= scheduleMemory {
			delete(o.nextSlot, u)
		}
	}
	for id, p := range o.past {
		if now.Sub(p.at) >= grantMemory {
			delete(o.past, id)
		}
	}
}

// Counters returns the totals since the start.
func (o *Owner) Counters() map[string]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return map[string]int64{"asks": o.asks, "slots-granted": o.slots, "asks-denied": o.denied, "cold-slots-granted": o.coldSlots, "cold-asks-denied": o.coldDenied}
}
