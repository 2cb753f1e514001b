package assembler

import (
	"context"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/limiter"
)

const (
	// shareStep is the time between two rounds of asks, and thus the delay of a new account's first share.
	shareStep = 100 * time.Millisecond
	// shareTimeout bounds one ask, which is repeated a second later.
	shareTimeout = 2 * time.Second
)

// buildLimits builds the limits of the client accounts and the exchange of shares with other entries.
func (e *Entry) buildLimits() {
	e.lender = limiter.NewLender(e.settings.Instance, time.Now())
	e.borrower = limiter.NewBorrower(e.settings.Instance, e.entryCount, time.Now)
	e.accounts = limiter.NewAccounts(limiter.WithShare(e.borrower.Share))
	e.retries = limiter.NewBudget()
}

// allow notes the demand of an account and takes its tokens from this entry's share of the limit.
func (e *Entry) allow(acc *configurer.ClientAccount, tokens int, now time.Time) (time.Time, bool) {
	e.borrower.RecordDemand(acc, tokens, now)
	return e.accounts.Allow(acc, tokens, now)
}

// limitMembersChanged gives the lender the entries of the deployment.
func (e *Entry) limitMembersChanged() {
	listed := e.detector.Count(detector.RoleEntry)
	e.entries.Store(int64(listed))
	e.lender.SetMembers(e.liveEntriesOf(func(*detector.Member) bool { return true }), listed, time.Now())
}

// entryCount returns the number of listed entries of the deployment, this one included.
func (e *Entry) entryCount() int {
	return max(1, int(e.entries.Load()))
}

// exchangeShares asks the owners of accounts for shares of their limits until ctx ends.
func (e *Entry) exchangeShares(ctx context.Context) error {
	e.limitMembersChanged()
	t := time.NewTicker(shareStep)
	defer t.Stop()
	for {
		e.lender.Step(time.Now())
		for _, a := range e.borrower.Due(time.Now()) {
			// The borrower bounds the asks of a round and has at most one per account in progress.
			go e.askShare(ctx, a)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Entry) askShare(ctx context.Context, a limiter.Ask) {
	owner := e.lender.Owner(a.Account)
	if owner == e.settings.Instance {
		e.borrower.Granted(a, e.lender.Answer(a, time.Now()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	g, err := ask[limiter.Ask, limiter.Grant](ctx, e.peers, owner, methodLimitShare, a)
	if err != nil {
		// What was granted before stays valid until its end; the borrower asks again.
		e.borrower.Failed(a)
		return
	}
	e.borrower.Granted(a, g)
}
