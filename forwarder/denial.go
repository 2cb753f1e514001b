package forwarder

import (
	"context"
	"errors"
)

// denial is the reason why a request gets no further attempt, as it is logged, or empty if it may get one.
type denial string

const (
	// denialNotRepeatable is that of a request which may run only once and may have run.
	denialNotRepeatable denial = "not-repeatable"
	denialAttempts      denial = "attempts-used"
	denialRejections    denial = "rejections"
	denialDeadline      denial = "deadline"
	denialCallerLeft    denial = "caller-left"
	denialBudget        denial = "budget"
	denialNoUpstream    denial = "no-upstream"
	// denialSuspected is that of a request which may have crashed its upstream.
	denialSuspected denial = "suspected"
)

// contextDenial returns the denial of a request whose context has ended.
func contextDenial(ctx context.Context) denial {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return denialDeadline
	}
	return denialCallerLeft
}

// deny records why a request ends without a further attempt.
func (f *Forwarder) deny(q *request, d denial) {
	q.denial = d
	switch d {
	case denialAttempts:
		f.counters.deniedAttempts.Add(1)
	case denialRejections:
		f.counters.deniedRejections.Add(1)
	case denialDeadline:
		f.counters.deniedDeadline.Add(1)
	case denialNoUpstream:
		f.counters.deniedNoUpstream.Add(1)
	case denialBudget:
		f.counters.deniedBudget.Add(1)
	case denialSuspected:
		f.counters.deniedSuspected.Add(1)
	case denialNotRepeatable, denialCallerLeft:
	}
}
