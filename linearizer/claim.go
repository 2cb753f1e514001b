package linearizer

import "time"

// ClaimStep is a step in the life of a claim.
type ClaimStep string

// The steps of a claim.
const (
	ClaimAcquire ClaimStep = "claim"
	ClaimStart   ClaimStep = "start"
	ClaimFinish  ClaimStep = "finish"
	ClaimRelease ClaimStep = "release"
)

// ClaimCall is one call on a key.
type ClaimCall struct {
	Step    ClaimStep
	Request string
	// Body is the result that ClaimFinish stores.
	Body string
}

// ClaimReply is what the call returned; a refusal that may still take effect is an unknown outcome and has no reply.
type ClaimReply struct {
	// Accepted is set when the step was done; a release is done too when there was nothing to release.
	Accepted bool
	// Running, Unknown and Body tell what ClaimMake learned of the request that holds the key.
	Running, Unknown bool
	Body             string
}

// ClaimBounds are the times after which other requests may pass over a claim.
type ClaimBounds struct {
	// Start is the time after which a claim that has not started may be taken over; Run is the time after which a run
	// counts as unknown. With 0 they may be passed over at once, which a step of the wall clock causes.
	Start, Run time.Duration
}

type claimState struct {
	phase   ClaimStep
	request string
	body    string
	// since is the begin of the call that led to the phase, which is no later than its effect.
	since time.Duration
}

// CheckClaims returns the keys whose histories contradict a key that is claimed by one request, started once by it and
// then holds its result.
func CheckClaims(h *History[ClaimCall, ClaimReply], b ClaimBounds) []string {
	return check(h, model[claimState, ClaimCall, ClaimReply](b.apply))
}

func (b ClaimBounds) apply(s claimState, c *call[ClaimCall, ClaimReply]) (claimState, bool) {
	own := s.request == c.in.Request
	can, next := false, s
	switch c.in.Step {
	case ClaimAcquire:
		can = s.phase == "" || s.phase == ClaimAcquire && c.end-s.since >= b.Start
		next = claimState{phase: ClaimAcquire, request: c.in.Request, since: c.begin}
	case ClaimStart:
		can = own && s.phase == ClaimAcquire
		next = claimState{phase: ClaimStart, request: s.request, since: c.begin}
	case ClaimFinish:
		can = own && (s.phase == ClaimStart || s.phase == ClaimFinish)
		next = claimState{phase: ClaimFinish, request: s.request, body: c.in.Body}
	case ClaimRelease:
		can = own && (s.phase == ClaimAcquire || s.phase == ClaimStart)
		next = claimState{}
	}
	if !can {
		next = s
	}
	r := c.reply
	switch {
	case r == nil:
		return next, true
	case c.in.Step == ClaimRelease:
		return next, r.Accepted
	case r.Accepted:
		return next, can
	case c.in.Step != ClaimAcquire:
		return s, !can
	case r.Running:
		return s, s.phase == ClaimAcquire || s.phase == ClaimStart
	case r.Unknown:
		return s, s.phase == ClaimStart && c.end-s.since >= b.Run
	}
	return s, s.phase == ClaimFinish && s.body == r.Body
}
