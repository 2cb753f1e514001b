package throttler

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Counters returns the totals since the start.
func (t *Throttler) Counters() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int64{
		"limits-named": t.named, "slots-used": t.used, "requests-held-back": t.closed, "asks-unanswered": t.unanswered,
		"slots-taken-alone": t.selfGranted, "pauses": t.pauses, "pause-trials": t.trials,
	}
}

// UpstreamState is what restricts the requests to an upstream, in the state dump.
type UpstreamState struct {
	PerSecond float64 `json:"per-second,omitempty"`
	Slots     int     `json:"slots,omitempty"`
	// PausedUntil is the end of the last pause.
	PausedUntil time.Time `json:"paused-until,omitzero"`
}

// State returns the limits and pauses.
func (t *Throttler) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := make(map[identifier.Upstream]UpstreamState, len(t.limits)+len(t.pausedUntil))
	for u, l := range t.limits {
		m[u] = UpstreamState{PerSecond: l.perSecond, Slots: len(l.slots)}
	}
	for u, until := range t.pausedUntil {
		x := m[u]
		x.PausedUntil = until
		m[u] = x
	}
	return m
}
