package throttler

import (
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxPause bounds the pause that an upstream may ask for, so that one with an invalid clock or unit is not out for good.
	maxPause = time.Hour
	// pauseSpread is the largest random addition to a pause, as a part of it, so that not all entries return at the same time, and
	// maxPauseSpread bounds it.
	pauseSpread    = 0.2
	maxPauseSpread = 2 * time.Second
)

// trialDelays returns how long after its begin a pause may be tried once each, if no other upstream is left. An upstream that needs a pause
// names some seconds; one that names an hour may have a wrong clock or unit, and serve.
func trialDelays() []time.Duration {
	return []time.Duration{time.Minute, 10 * time.Minute}
}

// pauseTrials are the trials of one pause.
type pauseTrials struct {
	beganAt time.Time
	n       int
}

// nextAt returns the time of the next trial, or the zero time if there is none.
func (x *pauseTrials) nextAt() time.Time {
	if delays := trialDelays(); x.n < len(delays) {
		return x.beganAt.Add(delays[x.n])
	}
	return time.Time{}
}

// Pause keeps requests from an upstream that asked for none until a time, which is bounded. A later call replaces an earlier end only
// by a later one.
func (t *Throttler) Pause(u identifier.Upstream, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	d := min(until.Sub(now), maxPause)
	if d <= 0 {
		return
	}
	end, ok := t.pausedUntil[u]
	if ok && !end.Before(now.Add(d)) {
		return
	}
	if !ok {
		t.restricted.Add(1)
		t.pauses++
		t.pauseTrials[u] = &pauseTrials{beganAt: now}
	}
	t.pausedUntil[u] = now.Add(d + min(time.Duration(pauseSpread*rand.Float64()*float64(d)), maxPauseSpread))
}

// IsPaused reports whether an upstream has asked this entry for a pause that has not ended.
func (t *Throttler) IsPaused(u identifier.Upstream) bool {
	return t.restricted.Load() > 0 && !t.PauseEnd([]identifier.Upstream{u}).IsZero()
}

// TakeTrial reports whether a request that no other upstream can take may be sent to an upstream although it pauses. Such a trial is due
// long after the begin of a pause; one request gets it.
func (t *Throttler) TakeTrial(u identifier.Upstream) bool {
	if t.restricted.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	l, x := t.limitAt(u, now), t.pauseTrials[u]
	if x == nil || !now.Before(t.pausedUntil[u]) || l != nil && !l.hasSlot(now) {
		return false
	}
	if at := x.nextAt(); at.IsZero() || now.Before(at) {
		return false
	}
	if l != nil && l.isCold(now) {
		l.slots = l.slots[1:]
	}
	x.n++
	t.trials++
	return true
}

// Served records that an upstream has run a request, and reports whether that ends a pause: after a trial, its answer counts more than
// what it has asked for.
func (t *Throttler) Served(u identifier.Upstream) bool {
	if t.restricted.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.pauseTrials[u]
	if x == nil || x.n == 0 {
		return false
	}
	t.endPause(u)
	return true
}

// endPause forgets a pause; t.mu is held.
func (t *Throttler) endPause(u identifier.Upstream) {
	delete(t.pausedUntil, u)
	delete(t.pauseTrials, u)
	t.restricted.Add(-1)
}

// PauseEnd returns when the first of some upstreams that all pause may get requests again, a trial included, or the zero time if one does
// not pause.
func (t *Throttler) PauseEnd(names []identifier.Upstream) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var first time.Time
	for _, u := range names {
		end := t.pausedUntil[u]
		if !now.Before(end) {
			return time.Time{}
		}
		if x := t.pauseTrials[u]; x != nil && x.nextAt().After(now) && x.nextAt().Before(end) {
			end = x.nextAt()
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}
