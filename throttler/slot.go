package throttler

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Want asks for slots of an upstream to which a request would have been sent if its limit allowed that; isNew is set if the request has
// not wanted one there before.
func (t *Throttler) Want(u identifier.Upstream, isNew bool) {
	if t.restricted.Load() == 0 {
		return
	}
	t.mu.Lock()
	now := t.now()
	l := t.limitAt(u, now)
	if l == nil {
		t.mu.Unlock()
		return
	}
	if now.Before(t.pausedUntil[u]) || l.isCold(now) && !t.peersKnown() {
		t.mu.Unlock()
		return
	}
	l.wants = slices.DeleteFunc(l.wants, func(at time.Time) bool { return now.Sub(at) >= demandWindow })
	if isNew && len(l.wants) < maxWants {
		l.wants = append(l.wants, now)
	}
	a, ok := t.nextAsk(u, l, now)
	t.mu.Unlock()
	if ok {
		t.send(a)
	}
}

// nextAsk returns the ask to send for a limit now, if there is one. Without answers from the owner it takes a slot of an even share.
func (t *Throttler) nextAsk(u identifier.Upstream, l *limit, now time.Time) (Ask, bool) {
	l.hasSlot(now)
	repeated := l.askID != 0
	if repeated && now.Sub(l.repeatedAt) < repeatInterval || len(l.slots) > 0 || now.Before(l.nextAskAt) {
		return Ask{}, false
	}
	if l.sends >= minSends && repeated && now.Sub(l.askedAt) >= askTimeout {
		l.askID = 0
		t.unanswered++
		step := time.Duration(float64(t.slotInterval(l, now)) * float64(max(t.numEntries(), 1)) / evenShareReserve)
		l.slots, l.slotLifetime = []time.Time{now.Add(rand.N(step))}, slotLifetime
		l.nextAskAt = now.Add(step)
		t.selfGranted++
		return Ask{}, false
	}
	if !repeated {
		t.lastID++
		l.askID, l.askedAt, l.sends = t.lastID, now, 0
	}
	l.repeatedAt = now
	l.sends++
	number := min(max(len(l.wants)*int(advanceTime)/int(demandWindow), 1), maxSlotsPerAsk)
	a := Ask{Upstream: u, PerSecond: l.perSecond, Number: number, ID: l.askID, Repeated: repeated}
	if l.isCold(now) {
		a.PerSecond, a.Cold = t.coldRate(l), true
	}
	return a, true
}

// Grant records the answer to an ask, unless it comes too late.
func (t *Throttler) Grant(g Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	l := t.limitAt(g.Upstream, now)
	if l == nil || l.askID != g.ID || g.ID == 0 {
		return
	}
	l.askID = 0
	l.slotLifetime = slotLifetime
	if l.isCold(now) {
		if now.Sub(l.askedAt) > maxGrantAge {
			t.late++
			return
		}
		l.slotLifetime = coldSlotLifetime
	}
	after := time.Duration(g.AfterMillis * float64(time.Millisecond))
	if g.Number <= 0 {
		// A random part of the time keeps the entries that were denied from asking all at once.
		l.nextAskAt = now.Add(min(after, limitMemory)/2 + rand.N(min(max(after, time.Millisecond), limitMemory)))
		if l.isCold(now) {
			l.nextAskAt = l.nextAskAt.Add(rand.N(time.Duration(max(t.numEntries(), 1)) * deniedSpread))
		}
		return
	}
	step := time.Duration(g.IntervalMillis * float64(time.Millisecond))
	for i := range min(g.Number, maxSlotsPerAsk) {
		l.slots = append(l.slots, now.Add(after+time.Duration(i)*step))
	}
	t.wake()
}

// NextSlot returns when the next slot of any of some upstreams begins, or false if none is granted.
func (t *Throttler) NextSlot(names []identifier.Upstream) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next time.Time
	for _, u := range names {
		if l := t.limitAt(u, t.now()); l != nil && len(l.slots) > 0 && (next.IsZero() || l.slots[0].Before(next)) {
			next = l.slots[0]
		}
	}
	return next, !next.IsZero()
}

// Changed returns a channel that is closed when slots are granted or a limit ends.
func (t *Throttler) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.granted
}
