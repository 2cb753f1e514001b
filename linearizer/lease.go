package linearizer

import "time"

// LeaseStep is a step in the life of a lease.
type LeaseStep string

// The steps of a lease.
const (
	LeaseAcquire LeaseStep = "acquire"
	LeaseRenew   LeaseStep = "renew"
	LeaseWrite   LeaseStep = "write"
	LeaseRelease LeaseStep = "release"
	// LeaseRead is anyone's read of the row that holders write.
	LeaseRead LeaseStep = "read"
)

// LeaseCall is one call on a lease.
type LeaseCall struct {
	Step LeaseStep
	// Token is the fencing token of the holder; LeaseAcquire and LeaseRead have none.
	Token uint64
}

// LeaseReply is what the call returned; an error after which the call may still take effect has no reply.
type LeaseReply struct {
	Accepted bool
	// Token is what LeaseAcquire was granted, or the token of the last write that LeaseRead found.
	Token uint64
	// Extended is set when LeaseRenew began a new term, rather than learned that the lease is still held.
	Extended bool
}

type leaseState struct {
	token uint64
	held  bool
	// since is the begin of the call that began the term, which is no later than its effect.
	since time.Duration
	// written is the token of the last write.
	written uint64
}

// CheckLeases returns the leases whose histories contradict one holder at a time, tokens that grow by one, writes under
// the latest token only, and terms that nobody else cuts short.
func CheckLeases(h *History[LeaseCall, LeaseReply], term time.Duration) []string {
	return check(h, func(s leaseState, c *call[LeaseCall, LeaseReply]) (leaseState, bool) { return applyLease(s, c, term) })
}

func applyLease(s leaseState, c *call[LeaseCall, LeaseReply], term time.Duration) (leaseState, bool) {
	can, next := s.held && s.token == c.in.Token, s
	r := c.reply
	switch c.in.Step {
	case LeaseAcquire:
		can = !s.held || c.end-s.since >= term
		next = leaseState{token: s.token + 1, held: true, since: c.begin, written: s.written}
		if r != nil && r.Accepted && r.Token != next.token {
			return s, false
		}
	case LeaseRenew:
		if r == nil || r.Extended {
			next.since = max(s.since, c.begin)
		}
	case LeaseRelease:
		next.held = false
	case LeaseWrite:
		next.written = c.in.Token
	case LeaseRead:
		return s, r == nil || r.Token == s.written
	}
	switch {
	case r != nil && r.Accepted:
		return next, can
	case r == nil && can:
		return next, true
	}
	// A holder also gives up a lease of its own accord, so every refusal is possible.
	return s, true
}
