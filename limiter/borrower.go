package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// recentTimeConstant is the time constant of the recent demand.
	recentTimeConstant = 2 * time.Second
	// meanTimeConstant is the time constant of the mean demand. It covers several bursts that are some seconds apart: a
	// share that followed the peaks of the bursts would be held unused between them.
	meanTimeConstant = 20 * time.Second
	// riseTimeConstant and fallTimeConstant are the time constants with which the bounds of the mean follow the recent
	// demand, so that shares follow a caller that moves between entries sooner than the mean does.
	riseTimeConstant = 2 * time.Second
	fallTimeConstant = 3 * time.Second
	// demandFactor multiplies the measured demand in an ask, so that small changes need no message.
	demandFactor = 1.1
	// growthFactor is the multiple of the last wanted share that the demand must exceed for an ask before the renewal.
	growthFactor = 1.25
	// minAskInterval is the least time between two asks of an entry for one account.
	minAskInterval = time.Second
	// minReturnInterval is the least time between an ask and one that only gives back a part of a share.
	minReturnInterval = 5 * time.Second
	// forgetIdleAfter is the time without requests after which the demand of an account is forgotten.
	forgetIdleAfter = 2 * maxShareLifetime
	// maxAsksPerRound is the largest number of asks that Due returns at once.
	maxAsksPerRound = 64
)

// accountDemand is the demand for one account at this entry and the share granted for it.
type accountDemand struct {
	limit         float64 // tokens per second
	recentSum     float64 // tokens; decays with recentTimeConstant
	meanSum       float64 // tokens; decays with meanTimeConstant
	lowerBound    float64 // tokens per second; rises to the recent demand with riseTimeConstant and falls at once
	upperBound    float64 // tokens per second; falls to the recent demand with fallTimeConstant and rises at once
	boundsAt      time.Time
	firstDemandAt time.Time
	lastDemandAt  time.Time
	share         float64   // granted by the owner, as a fraction of the limit
	lastGrant     int64     // number of the last grant received
	expiresAt     time.Time // of the share
	nextAskAt     time.Time
	lastAskAt     time.Time
	lastWanted    float64 // share wanted in the last ask
	askInFlight   bool
	fullyGranted  bool // the last grant covered what was wanted
}

// decay returns the part of an exponentially decaying sum that is left after dt.
func decay(dt, timeConstant time.Duration) float64 {
	return math.Exp(-max(dt, 0).Seconds() / timeConstant.Seconds())
}

func (d *accountDemand) recentPerSecond(now time.Time) float64 {
	return d.recentSum * decay(now.Sub(d.lastDemandAt), recentTimeConstant) / recentTimeConstant.Seconds()
}

// updateBounds moves the bounds of the mean towards the recent demand.
func (d *accountDemand) updateBounds(now time.Time) {
	recent, dt := d.recentPerSecond(now), now.Sub(d.boundsAt)
	d.lowerBound = min(recent, recent+(d.lowerBound-recent)*decay(dt, riseTimeConstant))
	d.upperBound = max(recent, recent+(d.upperBound-recent)*decay(dt, fallTimeConstant))
	d.boundsAt = now
}

// meanPerSecond returns the mean demand in tokens per second, limited to the bounds that the recent demand sets.
func (d *accountDemand) meanPerSecond(now time.Time) float64 {
	d.updateBounds(now)
	// Corrects for the age of the sum; without this, the mean of a new account would be too low at first.
	ageCorrection := 1 - decay(now.Sub(d.firstDemandAt)+recentTimeConstant, meanTimeConstant)
	mean := d.meanSum * decay(now.Sub(d.lastDemandAt), meanTimeConstant) / (meanTimeConstant.Seconds() * ageCorrection)
	return min(max(mean, d.lowerBound), d.upperBound)
}

// add records a demand of tokens.
func (d *accountDemand) add(tokens float64, now time.Time) {
	d.updateBounds(now)
	dt := now.Sub(d.lastDemandAt)
	d.recentSum = d.recentSum*decay(dt, recentTimeConstant) + tokens
	d.meanSum = d.meanSum*decay(dt, meanTimeConstant) + tokens
	d.lastDemandAt = now
}

// Borrower asks the owners of accounts for shares of their limits and keeps the shares granted to its entry; it is safe
// for concurrent use.
type Borrower struct {
	self       identifier.Instance
	entryCount func() int
	now        func() time.Time

	mu              sync.Mutex
	demands         map[identifier.ClientAccount]*accountDemand
	asksSent        int64
	asksFailed      int64
	accountsDropped int64
}

// NewBorrower returns the borrower of an entry; entryCount returns the number of entries that the deployment lists.
func NewBorrower(self identifier.Instance, entryCount func() int, now func() time.Time) *Borrower {
	return &Borrower{
		self: self, entryCount: entryCount, now: now, demands: make(map[identifier.ClientAccount]*accountDemand),
	}
}

// RecordDemand records that a request of an account asks for tokens, whether or not it is allowed.
func (b *Borrower) RecordDemand(acc *configurer.ClientAccount, tokens int, now time.Time) {
	if acc.TokensPerSecond <= 0 || b.entryCount() <= 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[acc.Name]
	if d == nil {
		if len(b.demands) >= defaultMaxAccounts {
			b.accountsDropped++
			return
		}
		d = &accountDemand{lastDemandAt: now, firstDemandAt: now, boundsAt: now}
		b.demands[acc.Name] = d
	}
	d.limit = acc.TokensPerSecond
	d.add(float64(tokens), now)
}

// Share returns the fraction of an account's limit that the entry may use now. While the owner has less than all
// entries want, that is what it granted; otherwise it is at least an even share. Without the even share, a burst after
// a quiet time would be refused until the owner has answered, and all work while the owner does not answer. Over all
// entries, the even shares add less than the limit, and only until the asks that follow from the demand are answered.
func (b *Borrower) Share(acc *configurer.ClientAccount) float64 {
	entries := b.entryCount()
	if entries <= 1 {
		return 1
	}
	evenShare := 1 / float64(entries)
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[acc.Name]
	if d == nil || !b.now().Before(d.expiresAt) {
		return evenShare
	}
	granted := baseFraction*evenShare + d.share
	if d.fullyGranted || d.lastWanted <= evenShare {
		return max(evenShare, granted)
	}
	return granted
}

// DueAsks returns the asks to send now; RecordGrant or RecordFailure must be called for each.
func (b *Borrower) DueAsks(now time.Time) []Ask {
	entries := b.entryCount()
	b.mu.Lock()
	defer b.mu.Unlock()
	var asks []Ask
	for account, d := range b.demands {
		if now.Sub(d.lastDemandAt) > forgetIdleAfter {
			delete(b.demands, account)
			continue
		}
		if len(asks) >= maxAsksPerRound {
			break
		}
		demand := d.meanPerSecond(now) * demandFactor / d.limit
		baseShare, held := baseFraction/float64(entries), 0.0
		if now.Before(d.expiresAt) {
			held = d.share
		}
		hasGrown := d.fullyGranted && demand > (baseShare+d.lastWanted)*growthFactor &&
			!now.Before(d.lastAskAt.Add(minAskInterval))
		// Holding more than the demand is worth a message only if the excess is more than an even share.
		hasFallen := held-max(demand-baseShare, 0) > 1/float64(entries) && !now.Before(d.lastAskAt.Add(minReturnInterval))
		if entries <= 1 || d.askInFlight || demand <= baseShare && !hasFallen ||
			now.Before(d.nextAskAt) && !hasGrown && !hasFallen {
			continue
		}
		d.askInFlight, d.lastAskAt, d.lastWanted = true, now, truncateShare(max(min(demand, 1)-baseShare, 0))
		// The entry gives up what it no longer wants when it sends the ask, since the owner cannot rely on its answer
		// arriving.
		d.share = min(d.share, d.lastWanted)
		held = min(held, d.share)
		b.asksSent++
		asks = append(asks, Ask{
			Account: account, From: b.self, Wanted: d.lastWanted, Held: held,
			HeldMillis: max(d.expiresAt.Sub(now), 0).Milliseconds(), LastGrant: d.lastGrant,
		})
	}
	return asks
}

// RecordGrant records the answer to an ask. The lifetime of the share counts from when the ask was sent, so that the share
// expires here before the owner counts it as free.
func (b *Borrower) RecordGrant(ask Ask, grant Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[ask.Account]
	if d == nil {
		return
	}
	d.askInFlight = false
	d.nextAskAt = d.lastAskAt.Add(max(time.Duration(grant.RetryMillis)*time.Millisecond, minAskInterval))
	if grant.ValidMillis <= 0 {
		return // the other entry does not own the account; the share held stays valid
	}
	d.share, d.lastGrant, d.expiresAt = grant.Share, grant.Number,
		d.lastAskAt.Add(time.Duration(grant.ValidMillis)*time.Millisecond)
	d.fullyGranted = grant.Share >= ask.Wanted-shareTolerance
}

// shareTolerance absorbs rounding of shares.
const shareTolerance = 1e-9

// RecordFailure records that an ask was not answered; it is repeated a second after it was sent.
func (b *Borrower) RecordFailure(ask Ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asksFailed++
	if d := b.demands[ask.Account]; d != nil {
		d.askInFlight, d.nextAskAt = false, d.lastAskAt.Add(minAskInterval)
	}
}

// Counters returns the monotonic counters of the borrower.
func (b *Borrower) Counters() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{"asks-sent": b.asksSent, "asks-failed": b.asksFailed, "accounts-dropped": b.accountsDropped}
}

// BorrowerState is the state dump of a Borrower: the valid shares by account.
type BorrowerState struct {
	Shares map[identifier.ClientAccount]float64 `json:"shares"`
}

// State returns the state dump, a BorrowerState.
func (b *Borrower) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := BorrowerState{Shares: make(map[identifier.ClientAccount]float64, len(b.demands))}
	now := b.now()
	for account, d := range b.demands {
		if now.Before(d.expiresAt) {
			s.Shares[account] = d.share
		}
	}
	return s
}
