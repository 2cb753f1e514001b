package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// demandWindow is the time constant of the measured demand.
	demandWindow = 2 * time.Second
	// demandMargin is asked for beyond the measured demand, so that small changes need no message.
	demandMargin = 1.25
	// minAskGap bounds the asks of an entry for one account.
	minAskGap = time.Second
	// forgetAfter is the time without requests after which an account is forgotten.
	forgetAfter = 2 * maxLifetime
	maxAsks     = 64 // accounts asked for in one round
)

// want is what an entry knows of an account that it serves.
type want struct {
	limit     float64
	demand    float64 // decaying sum of tokens
	demandAt  time.Time
	share     float64 // granted by the owner
	until     time.Time
	askAt     time.Time
	askedAt   time.Time
	askedFor  float64
	asking    bool
	satisfied bool
}

// perSecond returns the demand in tokens per second.
func (w *want) perSecond(now time.Time) float64 {
	dt := max(now.Sub(w.demandAt), 0).Seconds()
	return w.demand * math.Exp(-dt/demandWindow.Seconds()) / demandWindow.Seconds()
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

// Use notes that a request of an account asks for tokens, whether or not it will pass.
func (b *Borrower) Use(acc *configurer.ClientAccount, tokens int, now time.Time) {
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
		w = &want{demandAt: now}
		b.wants[acc.Name] = w
	}
	w.limit = acc.TokensPerSecond
	w.demand = w.perSecond(now)*demandWindow.Seconds() + float64(tokens)
	w.demandAt = now
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
	if w.satisfied {
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
		grown := w.satisfied && demand > (base+held)*demandMargin && !now.Before(w.askedAt.Add(minAskGap))
		if n <= 1 || w.asking || demand <= base || now.Before(w.askAt) && !grown {
			continue
		}
		w.asking, w.askedAt, w.askedFor = true, now, min(demand, 1)-base
		b.asked++
		asks = append(asks, Ask{
			Account: name, From: b.self, Wanted: w.askedFor, Held: held, Left: max(w.until.Sub(now), 0).Milliseconds(),
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
	w.askAt = w.askedAt.Add(max(time.Duration(g.Again)*time.Millisecond, minAskGap))
	if g.For <= 0 {
		return // the other entry does not own the account; what is held stays valid
	}
	w.share, w.until = g.Share, w.askedAt.Add(time.Duration(g.For)*time.Millisecond)
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
