package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// demandWindow is the time constant of the recent demand.
	demandWindow = 2 * time.Second
	// meanWindow is the time constant of the mean demand. It covers several bursts that are some seconds apart: a share that
	// follows their peak is held without being used between them.
	meanWindow = 20 * time.Second
	// riseWindow and fallWindow are the time constants with which the bounds of the mean follow the recent demand, so that a
	// caller that moves between entries gains and gives up its shares sooner than the mean follows.
	riseWindow = 2 * time.Second
	fallWindow = 3 * time.Second
	// demandMargin is asked for beyond the measured demand, so that small changes need no message.
	demandMargin = 1.1
	// grownMargin is the part by which the demand must exceed the share to be asked for before the renewal.
	grownMargin = 1.25
	// minAskGap bounds the asks of an entry for one account.
	minAskGap = time.Second
	// fallGap bounds the asks of an entry that give back a part of a share.
	fallGap = 5 * time.Second
	// forgetAfter is the time without requests after which an account is forgotten.
	forgetAfter = 2 * maxLifetime
	maxAsks     = 64 // accounts asked for in one round
)

// want is what an entry knows of an account that it serves.
type want struct {
	limit     float64
	recent    float64 // sum of tokens that decays with demandWindow
	total     float64 // sum of tokens that decays with meanWindow
	low       float64 // rises to the recent demand with riseWindow and falls at once
	high      float64 // falls to the recent demand with fallWindow and rises at once
	boundAt   time.Time
	begunAt   time.Time
	demandAt  time.Time
	share     float64 // granted by the owner
	have      int64   // number of the grant
	until     time.Time
	askAt     time.Time
	askedAt   time.Time
	askedFor  float64
	asking    bool
	satisfied bool
}

// decay returns the part of a sum with the given time constant that is left after dt.
func decay(dt, window time.Duration) float64 {
	return math.Exp(-max(dt, 0).Seconds() / window.Seconds())
}

func (w *want) recentPerSecond(now time.Time) float64 {
	return w.recent * decay(now.Sub(w.demandAt), demandWindow) / demandWindow.Seconds()
}

// bound lets the bounds of the mean follow the recent demand.
func (w *want) bound(now time.Time) {
	recent, dt := w.recentPerSecond(now), now.Sub(w.boundAt)
	w.low = min(recent, recent+(w.low-recent)*decay(dt, riseWindow))
	w.high = max(recent, recent+(w.high-recent)*decay(dt, fallWindow))
	w.boundAt = now
}

// perSecond returns the mean demand in tokens per second, within the bounds that the recent demand sets.
func (w *want) perSecond(now time.Time) float64 {
	w.bound(now)
	// Without the correction for its age the mean of a new account would be too low at first.
	seen := 1 - decay(now.Sub(w.begunAt)+demandWindow, meanWindow)
	mean := w.total * decay(now.Sub(w.demandAt), meanWindow) / (meanWindow.Seconds() * seen)
	return min(max(mean, w.low), w.high)
}

// use adds tokens to the demand.
func (w *want) use(tokens float64, now time.Time) {
	w.bound(now)
	dt := now.Sub(w.demandAt)
	w.recent = w.recent*decay(dt, demandWindow) + tokens
	w.total = w.total*decay(dt, meanWindow) + tokens
	w.demandAt = now
}

// Borrower keeps the shares of account limits that an entry may use; it is safe for concurrent use.
type Borrower struct {
	self    identifier.Instance
	entries func() int
	now     func() time.Time

	mu      sync.Mutex
	wants   map[identifier.ClientAccount]*want
	asked   int64
	failed  int64
	dropped int64
}

// NewBorrower returns the shares of an entry among a number of entries that the deployment lists.
func NewBorrower(self identifier.Instance, entries func() int, now func() time.Time) *Borrower {
	return &Borrower{self: self, entries: entries, now: now, wants: make(map[identifier.ClientAccount]*want)}
}

// RecordDemand notes that a request of an account asks for tokens, whether or not it will pass.
func (b *Borrower) RecordDemand(acc *configurer.ClientAccount, tokens int, now time.Time) {
	if acc.TokensPerSecond <= 0 || b.entries() <= 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.wants[acc.Name]
	if w == nil {
		if len(b.wants) >= defaultMaxAccounts {
			b.dropped++
			return
		}
		w = &want{demandAt: now, begunAt: now, boundAt: now}
		b.wants[acc.Name] = w
	}
	w.limit = acc.TokensPerSecond
	w.use(float64(tokens), now)
}

// Share returns the fraction of an account's limit that the entry may use now: what the owner granted while the owner has less
// than all entries want, and otherwise at least an even part. Without the latter a burst after a quiet time is refused until the
// owner has answered, and all work while it does not answer. Over all entries it adds less than the limit, and only until
// the asks that follow from the demand are answered.
func (b *Borrower) Share(acc *configurer.ClientAccount) float64 {
	n := b.entries()
	if n <= 1 {
		return 1
	}
	even := 1 / float64(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.wants[acc.Name]
	if w == nil || !b.now().Before(w.until) {
		return even
	}
	granted := basePart*even + w.share
	if w.satisfied || w.askedFor <= even {
		return max(even, granted)
	}
	return granted
}

// Due returns the asks to send now; each must be followed by Granted or Failed.
func (b *Borrower) Due(now time.Time) []Ask {
	n := b.entries()
	b.mu.Lock()
	defer b.mu.Unlock()
	var asks []Ask
	for name, w := range b.wants {
		if now.Sub(w.demandAt) > forgetAfter {
			delete(b.wants, name)
			continue
		}
		if len(asks) >= maxAsks {
			break
		}
		demand := w.perSecond(now) * demandMargin / w.limit
		base, held := basePart/float64(n), 0.0
		if now.Before(w.until) {
			held = w.share
		}
		grown := w.satisfied && demand > (base+w.askedFor)*grownMargin && !now.Before(w.askedAt.Add(minAskGap))
		// What is held beyond the demand is worth a message only if it is more than an even part.
		fallen := held-max(demand-base, 0) > 1/float64(n) && !now.Before(w.askedAt.Add(fallGap))
		if n <= 1 || w.asking || demand <= base && !fallen || now.Before(w.askAt) && !grown && !fallen {
			continue
		}
		w.asking, w.askedAt, w.askedFor = true, now, roundShare(max(min(demand, 1)-base, 0))
		// What is not wanted any more is given up with the ask: the owner cannot rely on the arrival of its answer.
		w.share = min(w.share, w.askedFor)
		held = min(held, w.share)
		b.asked++
		asks = append(asks, Ask{
			Account: name, From: b.self, Wanted: w.askedFor, Held: held, HeldMillis: max(w.until.Sub(now), 0).Milliseconds(),
			LastGrant: w.have,
		})
	}
	return asks
}

// Granted takes the answer to an ask; the share ends a lifetime after the ask was sent, before the owner counts it as free.
func (b *Borrower) Granted(a Ask, g Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.wants[a.Account]
	if w == nil {
		return
	}
	w.asking = false
	w.askAt = w.askedAt.Add(max(time.Duration(g.RetryMillis)*time.Millisecond, minAskGap))
	if g.ValidMillis <= 0 {
		return // the other entry does not own the account; what is held stays valid
	}
	w.share, w.have, w.until = g.Share, g.Number, w.askedAt.Add(time.Duration(g.ValidMillis)*time.Millisecond)
	w.satisfied = g.Share >= a.Wanted-tiny
}

// tiny absorbs rounding of shares.
const tiny = 1e-9

// Failed says that an ask brought no answer; it is repeated after a second.
func (b *Borrower) Failed(a Ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed++
	if w := b.wants[a.Account]; w != nil {
		w.asking, w.askAt = false, w.askedAt.Add(minAskGap)
	}
}

// Counters returns the monotonic counters of the borrower.
func (b *Borrower) Counters() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{"asks-sent": b.asked, "asks-failed": b.failed, "accounts-dropped": b.dropped}
}

// BorrowerState is the state dump of a Borrower: the shares held by account.
type BorrowerState struct {
	Shares map[identifier.ClientAccount]float64 `json:"shares"`
}

// State returns a BorrowerState.
func (b *Borrower) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := BorrowerState{Shares: make(map[identifier.ClientAccount]float64, len(b.wants))}
	now := b.now()
	for name, w := range b.wants {
		if now.Before(w.until) {
			s.Shares[name] = w.share
		}
	}
	return s
}
