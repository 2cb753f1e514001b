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
	}
	t.pausedUntil[u] = now.Add(d + min(time.Duration(pauseSpread*rand.Float64()*float64(d)), maxPauseSpread))
}

// IsPaused reports whether an upstream has asked this entry for a pause that has not ended.
func (t *Throttler) IsPaused(u identifier.Upstream) bool {
	return t.restricted.Load() > 0 && !t.PauseEnd([]identifier.Upstream{u}).IsZero()
}

// PauseEnd returns when the first of some upstreams that all pause may get requests again, or the zero time if one does not pause.
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
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}
