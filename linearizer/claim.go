package linearizer

import "time"

// ClaimStep is an operation on a claim; the first three are also its states.
type ClaimStep string

// The operations on a claim.
const (
	ClaimAcquire ClaimStep = "claim"
	ClaimStart   ClaimStep = "start"
	ClaimFinish  ClaimStep = "finish"
	ClaimRelease ClaimStep = "release"
)

// ClaimCall is the input of one call on the claim of an idempotency key.
type ClaimCall struct {
	Step    ClaimStep
	Request string
	// Body is the result that ClaimFinish stores.
	Body string
}

// ClaimReply is the output of a call. A call that failed but may still take effect has an unknown outcome and no reply.
type ClaimReply struct {
	// Accepted is set when the operation succeeded; a release also succeeds when there is nothing to release.
	Accepted bool
	// Running, Unknown and Body are the state of the request that holds the key, as returned by a refused ClaimAcquire.
	Running, Unknown bool
	Body             string
}

// ClaimBounds are the times after which other requests may disregard a claim.
type ClaimBounds struct {
	// Start is the time after which a claim whose run has not started may be taken over; Run is the time after which the
	// outcome of a run counts as unknown. With 0 other requests may do so at once, as happens after a step of the wall clock.
	Start, Run time.Duration
}

type claimState struct {
	phase   ClaimStep
	request string
	body    string
	// phaseSince is the time at which the call that led to the phase began, which is no later than its effect.
	phaseSince time.Duration
}

// CheckClaims returns the keys whose histories are not linearizable. A key must be claimed by one request at a time, run
// once by that request, and then keep its result.
func CheckClaims(h *History[ClaimCall, ClaimReply], b ClaimBounds) []string {
	return violatingKeys(h, model[claimState, ClaimCall, ClaimReply](b.apply))
}

func (b ClaimBounds) apply(s claimState, c *call[ClaimCall, ClaimReply]) (claimState, bool) {
	isHolder := s.request == c.input.Request
	allowed, next := false, s
	switch c.input.Step {
	case ClaimAcquire:
		allowed = s.phase == "" || s.phase == ClaimAcquire && c.end-s.phaseSince >= b.Start
		next = claimState{phase: ClaimAcquire, request: c.input.Request, phaseSince: c.begin}
	case ClaimStart:
		allowed = isHolder && s.phase == ClaimAcquire
		next = claimState{phase: ClaimStart, request: s.request, phaseSince: c.begin}
	case ClaimFinish:
		allowed = isHolder && (s.phase == ClaimStart || s.phase == ClaimFinish)
		next = claimState{phase: ClaimFinish, request: s.request, body: c.input.Body}
	case ClaimRelease:
		allowed = isHolder && (s.phase == ClaimAcquire || s.phase == ClaimStart)
		next = claimState{}
	}
	if !allowed {
		next = s
	}
	r := c.reply
	switch {
	case r == nil:
		return next, true
	case c.input.Step == ClaimRelease:
		return next, r.Accepted
	case r.Accepted:
		return next, allowed
	case c.input.Step != ClaimAcquire:
		return s, !allowed
	case r.Running:
		return s, s.phase == ClaimAcquire || s.phase == ClaimStart
	case r.Unknown:
		return s, s.phase == ClaimStart && c.end-s.phaseSince >= b.Run
	}
	return s, s.phase == ClaimFinish && s.body == r.Body
}
