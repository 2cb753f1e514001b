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
	// startBound is the time after which the claimer lets another request take over a claim that has not started.
	startBound = 30 * time.Second
	runBound   = 8 * time.Second
)

// histories are the calls of all nodes with their virtual times; a call whose process dies has no end.
type histories struct {
	claims  linearizer.History[linearizer.ClaimCall, linearizer.ClaimReply]
	leases  linearizer.History[linearizer.LeaseCall, linearizer.LeaseReply]
	commits linearizer.History[linearizer.CommitCall, linearizer.CommitReply]
}

// claimStep records one call on a claim.
func (s *schedule) claimStep(key string, c linearizer.ClaimCall, f func() (claimer.Claim, error)) (claimer.Claim, error) {
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

func (n *node) claim(ctx context.Context, key string, req identifier.Request) (claimer.Claim, error) {
	claim := (*claimer.Claimer).Claim
	if f := n.s.weaken.Claim; f != nil {
		claim = f
	}
	return n.s.claimStep(key, linearizer.ClaimCall{Step: linearizer.ClaimAcquire, Request: string(req)}, func() (claimer.Claim, error) {
		return claim(n.claimer, ctx, claimAccount, key, [32]byte{1}, req)
	})
}

func (n *node) startClaim(ctx context.Context, key string, cl claimer.Claim) error {
	start := func(ctx context.Context, c *claimer.Claimer, cl claimer.Claim) error { return c.MarkStarted(ctx, cl) }
	if f := n.s.weaken.Start; f != nil {
		start = f
	}
	_, err := n.s.claimStep(key, linearizer.ClaimCall{Step: linearizer.ClaimStart, Request: string(cl.Request)},
		func() (claimer.Claim, error) { return claimer.Claim{}, start(ctx, n.claimer, cl) })
	return err
}

func (n *node) finishClaim(ctx context.Context, key string, cl claimer.Claim, r claimer.Result) error {
	c := linearizer.ClaimCall{Step: linearizer.ClaimFinish, Request: string(cl.Request), Body: string(r.Body)}
	_, err := n.s.claimStep(key, c, func() (claimer.Claim, error) { return claimer.Claim{}, n.claimer.Finish(ctx, cl, r) })
	return err
}

func (n *node) releaseClaim(ctx context.Context, key string, cl claimer.Claim) {
	// The key is free again, or the row stays until its start bound ends.
	_, _ = n.s.claimStep(key, linearizer.ClaimCall{Step: linearizer.ClaimRelease, Request: string(cl.Request)},
		func() (claimer.Claim, error) { return claimer.Claim{}, n.claimer.Release(ctx, cl) })
}

func (n *node) acquireLease(ctx context.Context) (*leaser.Lease, error) {
	s := n.s
	acquire := func() (*leaser.Lease, error) { return n.leaser.Acquire(ctx, leaseName) }
	if f := s.weaken.Acquire; f != nil {
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

// leaseStep records a call of a holder; extended tells afterwards whether a new term began.
func (s *schedule) leaseStep(step linearizer.LeaseStep, le *leaser.Lease, f func() error) error {
	h := &s.check.histories.leases
	i := h.Begin(leaseName, linearizer.LeaseCall{Step: step, Token: le.Token()}, s.Elapsed())
	deadline := le.Deadline()
	err := f()
	if err == nil || errors.Is(err, leaser.ErrLost) {
		h.End(i, linearizer.LeaseReply{Accepted: err == nil, Extended: !le.Deadline().Equal(deadline)}, s.Elapsed())
	}
	return err
}

func (n *node) renewLease(ctx context.Context, le *leaser.Lease) {
	// A failed renewal is repeated until the term ends.
	_ = n.s.leaseStep(linearizer.LeaseRenew, le, func() error { return le.Renew(ctx) })
}

func (n *node) writeAsHolder(ctx context.Context, le *leaser.Lease, tx storer.Transaction) error {
	n.writing = true
	err := n.s.leaseStep(linearizer.LeaseWrite, le, func() error {
		if f := n.s.weaken.Write; f != nil {
			return f(ctx, n.table, le, tx)
		}
		return le.Transact(ctx, tx)
	})
	n.writing = false
	return err
}

// readGuarded records what an observer beside the table reads of the row that the lease guards. Without reads a late
// write could not be told from one that took effect when it was sent.
func (c *checker) readGuarded() {
	var g guarded
	if row, ok := c.s.table.Row(guardedKey); ok {
		c.decode(row.Value, &g)
	}
	h := &c.histories.leases
	i := h.Begin(leaseName, linearizer.LeaseCall{Step: linearizer.LeaseRead}, c.s.Elapsed())
	h.End(i, linearizer.LeaseReply{Token: g.Token}, c.s.Elapsed())
}

// releaseLease has no reply, because a release that failed leaves the lease to its term.
func (n *node) releaseLease(ctx context.Context) {
	n.s.check.histories.leases.Begin(leaseName, linearizer.LeaseCall{Step: linearizer.LeaseRelease, Token: n.lease.Token()},
		n.s.Elapsed())
	n.lease.Release(ctx)
}

func (n *node) commit(ctx context.Context, next *configurer.Configuration) (uint64, error) {
	s := n.s
	commit := committer.Commit
	if s.weaken.Commit != nil {
		commit = s.weaken.Commit
	}
	h := &s.check.histories.commits
	i := h.Begin("configuration", linearizer.CommitCall{Base: next.Revision}, s.Elapsed())
	revision, err := commit(ctx, n.table, next.Revision, next, string(n.name))
	if err == nil || errors.Is(err, committer.ErrConflict) {
		h.End(i, linearizer.CommitReply{Accepted: err == nil, Revision: revision}, s.Elapsed())
	}
	return revision, err
}

// finishHistories looks for an order of all calls that the sequential models allow.
func (c *checker) finishHistories() {
	bounds := linearizer.ClaimBounds{Start: startBound, Run: runBound}
	if c.s.stepped {
		bounds = linearizer.ClaimBounds{}
	}
	for i, broken := range map[Invariant][]string{
		ClaimLinearizable:  linearizer.CheckClaims(&c.histories.claims, bounds),
		LeaseLinearizable:  linearizer.CheckLeases(&c.histories.leases, leaseTerm+leaseMargin),
		ConfigLinearizable: linearizer.CheckCommits(&c.histories.commits),
	} {
		c.expect(i, len(broken) == 0, "no order explains the calls on %s", strings.Join(broken, ", "))
	}
}
