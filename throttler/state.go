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
		"cold-begun": t.coldBegun, "cold-ended": t.coldEnded, "cold-slots-used": t.coldUsed, "cold-requests-held-back": t.coldClosed,
		"grants-late": t.late,
	}
}

// UpstreamState is what restricts the requests to an upstream, in the state dump.
type UpstreamState struct {
	PerSecond float64 `json:"per-second,omitempty"`
	Slots     int     `json:"slots,omitempty"`
	// ColdUntil is set while the upstream is cold, with the rate that it takes then, the slots per second that its owner grants, and the owner.
	ColdUntil     time.Time           `json:"cold-until,omitzero"`
	ColdPerSecond float64             `json:"cold-per-second,omitempty"`
	Granted       float64             `json:"granted-per-second,omitempty"`
	Owner         identifier.Instance `json:"owner,omitempty"`
	// PausedUntil is the end of the last pause.
	PausedUntil time.Time `json:"paused-until,omitzero"`
}

// State returns the limits and pauses.
func (t *Throttler) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := make(map[identifier.Upstream]UpstreamState, len(t.limits)+len(t.pausedUntil))
	now := t.now()
	for u, l := range t.limits {
		x := UpstreamState{PerSecond: l.perSecond, Slots: len(l.slots)}
		if l.isCold(now) {
			x.ColdUntil, x.ColdPerSecond, x.Granted, x.Owner = l.coldUntil, l.coldPerSecond, t.coldRate(l), t.owner(u)
		}
		m[u] = x
	}
	for u, until := range t.pausedUntil {
		x := m[u]
		x.PausedUntil = until
		m[u] = x
	}
	return m
}
