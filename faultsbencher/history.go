package faultsbencher

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/claimer"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/linearizer"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	claimAccount = identifier.ClientAccount("account")
	// maxClaimStartTime is the time after which the claimer lets another request take over a claim that has not started.
	maxClaimStartTime = 30 * time.Second
	// maxRunTime is how long a started claim may run.
	maxRunTime = 8 * time.Second
)

// callHistories holds the calls of all instances with their virtual times; a call whose process ends first has no end.
type callHistories struct {
	claims  linearizer.History[linearizer.ClaimCall, linearizer.ClaimReply]
	leases  linearizer.History[linearizer.LeaseCall, linearizer.LeaseReply]
	commits linearizer.History[linearizer.CommitCall, linearizer.CommitReply]
}

// recordClaimCall makes one call on a claim by f and records it. A call that fails with another error than ErrLost has no end in
// the history, because it may still take effect.
func (s *schedule) recordClaimCall(key string, c linearizer.ClaimCall, f func() (claimer.Claim, error)) (claimer.Claim, error) {
	h := &s.check.histories.claims
	i := h.Begin(key, c, s.Elapsed())
	cl, err := f()
	r := linearizer.ClaimReply{Accepted: err == nil && cl.Previous == nil}
	if p := cl.Previous; p != nil {
		r.Running, r.Unknown = p.Running, !p.Running && p.Outcome == streamer.OutcomeUnknown
		r.Body = string(p.Body)
	}
	if err == nil || errors.Is(err, claimer.ErrLost) {
		h.End(i, r, s.Elapsed())
	}
	return cl, err
}

func (n *instance) acquireClaim(ctx context.Context, key string, req identifier.Request) (claimer.Claim, error) {
	claim := (*claimer.Claimer).Claim
	if f := n.s.overrides.Claim; f != nil {
		claim = f
	}
	return n.s.recordClaimCall(key, linearizer.ClaimCall{Step: linearizer.ClaimAcquire, Request: string(req)},
		func() (claimer.Claim, error) { return claim(n.claimer, ctx, claimAccount, key, [32]byte{1}, req) })
}

func (n *instance) startClaim(ctx context.Context, key string, cl claimer.Claim) error {
	start := func(ctx context.Context, c *claimer.Claimer, cl claimer.Claim) error { return c.MarkStarted(ctx, cl) }
	if f := n.s.overrides.Start; f != nil {
		start = f
	}
	_, err := n.s.recordClaimCall(key, linearizer.ClaimCall{Step: linearizer.ClaimStart, Request: string(cl.Request)},
		func() (claimer.Claim, error) { return claimer.Claim{}, start(ctx, n.claimer, cl) })
	return err
}

func (n *instance) finishClaim(ctx context.Context, key string, cl claimer.Claim, r claimer.Result) error {
	c := linearizer.ClaimCall{Step: linearizer.ClaimFinish, Request: string(cl.Request), Body: string(r.Body)}
	_, err := n.s.recordClaimCall(key, c, func() (claimer.Claim, error) { return claimer.Claim{}, n.claimer.Finish(ctx, cl, r) })
	return err
}

func (n *instance) releaseClaim(ctx context.Context, key string, cl claimer.Claim) {
	// If the release fails, the row stays until another request may take the claim over after maxClaimStartTime.
	_, _ = n.s.recordClaimCall(key, linearizer.ClaimCall{Step: linearizer.ClaimRelease, Request: string(cl.Request)},
		func() (claimer.Claim, error) { return claimer.Claim{}, n.claimer.Release(ctx, cl) })
}

func (n *instance) acquireLease(ctx context.Context) (*leaser.Lease, error) {
	s := n.s
	acquire := func() (*leaser.Lease, error) { return n.leaser.Acquire(ctx, leaseName) }
	if f := s.overrides.Acquire; f != nil {
		acquire = func() (*leaser.Lease, error) { return f(ctx, n.table, n.leaser, n.wall()) }
	}
	h := &s.check.histories.leases
	i := h.Begin(leaseName, linearizer.LeaseCall{Step: linearizer.LeaseAcquire}, s.Elapsed())
	le, err := acquire()
	switch {
	case err == nil:
		h.End(i, linearizer.LeaseReply{Accepted: true, Token: le.Token()}, s.Elapsed())
	case errors.Is(err, leaser.ErrHeld):
		h.End(i, linearizer.LeaseReply{}, s.Elapsed())
	}
	return le, err
}

// recordLeaseCall makes a call of a lease holder by f and records it, with Extended set if the lease got a new deadline.
func (s *schedule) recordLeaseCall(step linearizer.LeaseStep, le *leaser.Lease, f func() error) error {
	h := &s.check.histories.leases
	i := h.Begin(leaseName, linearizer.LeaseCall{Step: step, Token: le.Token()}, s.Elapsed())
	deadline := le.Deadline()
	err := f()
	if err == nil || errors.Is(err, leaser.ErrLost) {
		h.End(i, linearizer.LeaseReply{Accepted: err == nil, Extended: !le.Deadline().Equal(deadline)}, s.Elapsed())
	}
	return err
}

func (n *instance) renewLease(ctx context.Context, le *leaser.Lease) {
	// The caller repeats a failed renewal until the term ends.
	_ = n.s.recordLeaseCall(linearizer.LeaseRenew, le, func() error { return le.Renew(ctx) })
}

func (n *instance) writeAsHolder(ctx context.Context, le *leaser.Lease, tx storer.Transaction) error {
	n.writing = true
	err := n.s.recordLeaseCall(linearizer.LeaseWrite, le, func() error {
		if f := n.s.overrides.Write; f != nil {
			return f(ctx, n.table, le, tx)
		}
		return le.Transact(ctx, tx)
	})
	n.writing = false
	return err
}

// recordGuardedRead records a read of the row that the lease guards, made directly at the table. Without reads the history would
// not tell a write that took effect late from one that took effect when it was sent.
func (c *checker) recordGuardedRead() {
	var g guardedRow
	if row, ok := c.s.table.Row(guardedKey); ok {
		c.decode(row.Value, &g)
	}
	h := &c.histories.leases
	i := h.Begin(leaseName, linearizer.LeaseCall{Step: linearizer.LeaseRead}, c.s.Elapsed())
	h.End(i, linearizer.LeaseReply{Token: g.Token}, c.s.Elapsed())
}

// releaseLease releases the lease. The call has no reply in the history, because a release that fails leaves the lease in force
// until its term ends.
func (n *instance) releaseLease(ctx context.Context) {
	n.s.check.histories.leases.Begin(leaseName, linearizer.LeaseCall{Step: linearizer.LeaseRelease, Token: n.lease.Token()},
		n.s.Elapsed())
	n.lease.Release(ctx)
}

func (n *instance) commit(ctx context.Context, next *configurer.Configuration) (uint64, error) {
	s := n.s
	commit := committer.Commit
	if s.overrides.Commit != nil {
		commit = s.overrides.Commit
	}
	h := &s.check.histories.commits
	i := h.Begin("configuration", linearizer.CommitCall{Base: next.Revision}, s.Elapsed())
	revision, err := commit(ctx, n.table, next.Revision, next, string(n.name))
	if err == nil || errors.Is(err, committer.ErrConflict) {
		h.End(i, linearizer.CommitReply{Accepted: err == nil, Revision: revision}, s.Elapsed())
	}
	return revision, err
}

// finishHistories checks that each history is linearizable: that the sequential model allows some order of its calls.
// After a clock step the time limits of claims are not checked, because claims use the wall clock.
func (c *checker) finishHistories() {
	bounds := linearizer.ClaimBounds{Start: maxClaimStartTime, Run: maxRunTime}
	if c.s.clockStepped {
		bounds = linearizer.ClaimBounds{}
	}
	for i, broken := range map[Invariant][]string{
		ClaimLinearizable:  linearizer.CheckClaims(&c.histories.claims, bounds),
		LeaseLinearizable:  linearizer.CheckLeases(&c.histories.leases, leaseTerm+leaseMargin),
		ConfigLinearizable: linearizer.CheckCommits(&c.histories.commits),
	} {
		c.expect(i, len(broken) == 0, "no sequential order explains the calls on %s", strings.Join(broken, ", "))
	}
}
