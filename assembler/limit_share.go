package assembler

import (
	"context"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/limiter"
)

const (
	// shareAskInterval is the time between two rounds of asks. It also bounds how long a new account waits for its first ask.
	shareAskInterval = 100 * time.Millisecond
	// shareAskTimeout bounds one ask. The borrower repeats a failed ask a second later.
	shareAskTimeout = 2 * time.Second
)

// buildLimits builds the limits of the client accounts, the exchange of limit shares with other entries and the retry budget.
func (e *Entry) buildLimits() {
	e.lender = limiter.NewLender(e.settings.Instance, time.Now())
	e.borrower = limiter.NewBorrower(e.settings.Instance, e.entryCount, time.Now)
	e.accounts = limiter.NewClientAccounts(limiter.WithShare(e.borrower.Share))
	e.retries = limiter.NewBudget()
}

// allowTokens records the demand of an account and takes tokens from this entry's share of the account's limit.
func (e *Entry) allowTokens(acc *configurer.ClientAccount, tokens int, now time.Time) (time.Time, bool) {
	e.borrower.RecordDemand(acc, tokens, now)
	return e.accounts.Allow(acc, tokens, now)
}

// updateLenderMembers passes the live entries and the number of listed ones to the lender.
func (e *Entry) updateLenderMembers() {
	listed := e.detector.Count(detector.RoleEntry)
	e.listedEntries.Store(int64(listed))
	e.lender.SetMembers(e.liveEntriesOf(func(*detector.Member) bool { return true }), listed, time.Now())
}

// entryCount returns the number of entries in the deployment's member list, at least 1 for this entry.
func (e *Entry) entryCount() int {
	return max(1, int(e.listedEntries.Load()))
}

// exchangeShares requests shares of account limits from the entries that own the accounts, until ctx ends.
func (e *Entry) exchangeShares(ctx context.Context) error {
	e.updateLenderMembers()
	t := time.NewTicker(shareAskInterval)
	defer t.Stop()
	for {
		e.lender.Step(time.Now())
		for _, a := range e.borrower.DueAsks(time.Now()) {
			// The borrower bounds the asks of a round and allows one per account in progress, which bounds the goroutines.
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
		e.borrower.RecordGrant(a, e.lender.Answer(a, time.Now()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareAskTimeout)
	defer cancel()
	g, err := callPeer[limiter.Ask, limiter.Grant](ctx, e.peers, owner, methodLimitShare, a)
	if err != nil {
		// An earlier grant stays valid until it expires; the borrower asks again.
		e.borrower.RecordFailure(a)
		return
	}
	e.borrower.RecordGrant(a, g)
}
