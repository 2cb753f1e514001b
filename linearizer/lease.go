package linearizer

import "time"

// LeaseStep is an operation on a lease or on the row that it protects.
type LeaseStep string

// The operations on a lease.
const (
	LeaseAcquire LeaseStep = "acquire"
	LeaseRenew   LeaseStep = "renew"
	LeaseWrite   LeaseStep = "write"
	LeaseRelease LeaseStep = "release"
	// LeaseRead reads the row that lease holders write; it needs no lease.
	LeaseRead LeaseStep = "read"
)

// LeaseCall is the input of one call on a lease.
type LeaseCall struct {
	Step LeaseStep
	// Token is the fencing token of the holder; LeaseAcquire and LeaseRead have none.
	Token uint64
}

// LeaseReply is the output of a call. A call that failed but may still take effect has an unknown outcome and no reply.
type LeaseReply struct {
	Accepted bool
	// Token is the fencing token that LeaseAcquire was granted, or that of the last write that LeaseRead found.
	Token uint64
	// Extended is set when LeaseRenew began a new term; otherwise it only confirmed that the lease is still held.
	Extended bool
}

type leaseState struct {
	token uint64
	held  bool
	// termSince is the time at which the call that started the term began, which is no later than its effect.
	termSince time.Duration
	// lastWriteToken is the fencing token of the last write.
	lastWriteToken uint64
}

// CheckLeases returns the leases whose histories are not linearizable. A lease must have one holder at a time, tokens that
// increase by one, writes under the latest token only, and terms that only their holder ends early.
func CheckLeases(h *History[LeaseCall, LeaseReply], term time.Duration) []string {
	return violatingKeys(h, func(s leaseState, c *call[LeaseCall, LeaseReply]) (leaseState, bool) { return applyLease(s, c, term) })
}

func applyLease(s leaseState, c *call[LeaseCall, LeaseReply], term time.Duration) (leaseState, bool) {
	allowed, next := s.held && s.token == c.input.Token, s
	r := c.reply
	switch c.input.Step {
	case LeaseAcquire:
		allowed = !s.held || c.end-s.termSince >= term
		next = leaseState{token: s.token + 1, held: true, termSince: c.begin, lastWriteToken: s.lastWriteToken}
		if r != nil && r.Accepted && r.Token != next.token {
			return s, false
		}
	case LeaseRenew:
		if r == nil || r.Extended {
			next.termSince = max(s.termSince, c.begin)
		}
	case LeaseRelease:
		next.held = false
	case LeaseWrite:
		next.lastWriteToken = c.input.Token
	case LeaseRead:
		return s, r == nil || r.Token == s.lastWriteToken
	}
	switch {
	case r != nil && r.Accepted:
		return next, allowed
	case r == nil && allowed:
		return next, true
	}
	// A holder may also give up its lease by itself, so every refusal is possible.
	return s, true
}
