package forwarder

import "sync/atomic"

type counters struct {
	panics atomic.Int64

	requests, answered, refused, failed, streamsBroken, callersLeft, connectionsCut, unmatched, unknownKey, invalid, noRegion              atomic.Int64
	attempts, notRun, lost, resumed, abandoned, escalated, unverified, upstreamErrors, budgetExceeded, unresponsive, requestsMissing, kept atomic.Int64
	slowCallers, readsPaused                                                                                                               atomic.Int64
	invalidLeaving, invalidLimit, invalidPause, invalidLoad, invalidCold                                                                   atomic.Int64
	deniedBudget, deniedAttempts, deniedRejections, deniedDeadline, deniedNoUpstream, deniedSuspected                                      atomic.Int64
}

// Counters returns the totals since the start.
func (f *Forwarder) Counters() map[string]int64 {
	c := &f.counters
	_, atRisk := f.headrooms()
	return map[string]int64{
		"requests": c.requests.Load(), "answered": c.answered.Load(), "refused": c.refused.Load(), "failed": c.failed.Load(),
		"streams-broken": c.streamsBroken.Load(), "callers-left": c.callersLeft.Load(), "connections-cut": c.connectionsCut.Load(), "unmatched": c.unmatched.Load(),
		"unknown-keys": c.unknownKey.Load(), "invalid": c.invalid.Load(), "no-region": c.noRegion.Load(), "attempts": c.attempts.Load(),
		"attempts-not-run": c.notRun.Load(), "attempts-lost": c.lost.Load(), "streams-resumed": c.resumed.Load(),
		"panics": c.panics.Load(), "leaving-invalid": c.invalidLeaving.Load(), "limits-invalid": c.invalidLimit.Load(), "pauses-invalid": c.invalidPause.Load(), "cold-times-invalid": c.invalidCold.Load(), "load-figures-invalid": c.invalidLoad.Load(), "answers-at-risk": atRisk,
		"attempts-rescued": c.abandoned.Load(), "cascade-steps": c.escalated.Load(), "responses-spoiled": c.unverified.Load(),
		"attempts-kept": c.kept.Load(), "upstreams-silent": c.unresponsive.Load(), "requests-missing": c.requestsMissing.Load(), "upstream-errors": c.upstreamErrors.Load(), "retries-over-budget": c.budgetExceeded.Load(),
		"ended-for-budget": c.deniedBudget.Load(), "ended-for-attempts": c.deniedAttempts.Load(), "ended-for-rejections": c.deniedRejections.Load(),
		"slow-callers": c.slowCallers.Load(), "reads-paused": c.readsPaused.Load(),
		"ended-for-deadline": c.deniedDeadline.Load(), "ended-for-upstream": c.deniedNoUpstream.Load(), "ended-for-suspicion": c.deniedSuspected.Load(),
	}
}
