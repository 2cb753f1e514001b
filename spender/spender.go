package spender

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
)

// ErrHardLimit is returned when the amount cannot be spent without the risk of exceeding the hard limit: the limit is reached, or
// this entry holds no share that is large enough and the request cannot wait for one.
var ErrHardLimit = errors.New("spender: not enough left within the hard limit")

const (
	// defaultLeaseTerm is the time for which an entry may spend from one share.
	defaultLeaseTerm = 30 * time.Second
	// checkInterval is the time between two checks of the shares.
	checkInterval = time.Second
	// lowWaterFraction is the free part of a share below which the next share is taken.
	lowWaterFraction = 0.5
	// requestsPerShare is the number of requests of the largest recent cost that a share should cover.
	requestsPerShare = 4
	// largestReservationDecay lowers the largest reservation with each request, so that it is forgotten after about a thousand of
	// them.
	largestReservationDecay = 0.999
	// shareDurationFraction is the part of the lease term for which a share should last at the recent rate.
	shareDurationFraction = 0.5
	// callTimeout bounds one call of the ledger.
	callTimeout = 2 * time.Second
	// maxRetiredShares bounds the shares that wait for running requests to settle.
	maxRetiredShares = 16
	// minPriceFactor is the price factor while commitment would go unused. It is above 0 so that of equally good answers the one
	// with the lower list price is preferred.
	minPriceFactor = 0.02
	// priceFactorRamp is the width of the range of projected use over which the price factor rises; the range ends at the whole
	// commitment.
	priceFactorRamp = 0.1
)

// Share is a part of the spend that only its holder may spend, until the deadline.
type Share struct {
	ID string
	// Row is the key of the row that holds the share.
	Row      string
	Amount   float64
	Deadline time.Time
	// Overflow is the part of Amount beyond the commitment.
	Overflow float64
	// Granted and Committed are the amount granted so far and the commitment, over all known data centres.
	Granted   float64
	Committed float64
}

// Ledger grants and settles shares. Take may grant less than want, and returns ErrHardLimit if nothing is left. A share that is
// not returned counts as spent in full, or up to the ceiling that its witness stores.
type Ledger struct {
	Take   func(ctx context.Context, want float64, deadline time.Time) (Share, error)
	Return func(ctx context.Context, s Share, spent float64) error
}

// share is a Share that this entry holds.
type share struct {
	Share
	// reserved is the part set aside for running requests, and spent is the part that is settled.
	reserved, spent float64
	inFlight        int
	ceilingState
}

// free returns the part of the share that is neither reserved nor spent.
func (s *share) free() float64 { return s.Amount - s.reserved - s.spent }

// Spender reserves the cost of requests from shares of the commitment. It is safe for concurrent use.
type Spender struct {
	cfg       func() *configurer.Configuration
	ledger    Ledger
	now       func() time.Time
	leaseTerm time.Duration
	interval  time.Duration
	minShare  float64
	rng       *rand.Rand
	witnesses Witnesses

	mu      sync.Mutex
	current *share
	retired []*share
	// unleased is the spend without a share, which is possible only in a period without a hard limit.
	unleased float64
	// largestReservation is the largest recent reservation; a share must cover several of them.
	largestReservation float64
	// spendRate is the recent spend per second, from which the size of the next share is computed.
	spendRate float64
	takenAt   time.Time
	// retryAt is the time of the next call of the ledger after a failure, and backoff is the wait that preceded it, before
	// jitter.
	retryAt   time.Time
	backoff   time.Duration
	granted   float64
	committed float64
	// witnessFailures counts the successive failures of witnesses of new shares; only Step uses it.
	witnessFailures int
	wake            chan struct{}
	counters        struct{ reserved, refused, taken, returned, failed, overruns, ceilingsSent, ceilingsFailed int64 }
}

// Option configures a Spender.
type Option func(*Spender)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(s *Spender) { s.now = now } }

// WithRand sets the source of jitter.
func WithRand(r *rand.Rand) Option { return func(s *Spender) { s.rng = r } }

// WithLeaseTerm sets the term for which shares are taken, and the interval between checks.
func WithLeaseTerm(term, interval time.Duration) Option {
	return func(s *Spender) { s.leaseTerm, s.interval = term, interval }
}

// WithMinShare sets the smallest share to ask for, in the currency of the spend.
func WithMinShare(amount float64) Option { return func(s *Spender) { s.minShare = amount } }

// New returns a spender without a share; Run takes the first one.
func New(cfg func() *configurer.Configuration, l Ledger, opts ...Option) *Spender {
	s := &Spender{
		cfg: cfg, ledger: l, now: time.Now, leaseTerm: defaultLeaseTerm, interval: checkInterval, minShare: 0.01,
		wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run takes a new share whenever the current one runs low. When ctx ends, it returns all shares to the ledger and reports any
// failure of that.
func (s *Spender) Run(ctx context.Context) error {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	for {
		// Step counts a failure, and the next step tries again; meanwhile requests use the current share.
		_ = s.Step(ctx)
		select {
		case <-ctx.Done():
			return s.Close(context.WithoutCancel(ctx))
		case <-t.C:
		case <-s.wake:
		}
	}
}

// Step returns the retired shares that have settled to the ledger, and takes a new share if the current one is nearly used,
// expires within two intervals or has lost its witness.
func (s *Spender) Step(ctx context.Context) error {
	err := s.returnShares(ctx, false)
	s.refreshCeilings()
	s.mu.Lock()
	now, c := s.now(), s.current
	need := !now.Before(s.retryAt) && (c == nil || c.witnessLost || c.free() < lowWaterFraction*c.Amount ||
		now.Add(2*s.interval).After(c.Deadline))
	want := s.nextShareSize(now)
	full := len(s.retired) >= maxRetiredShares
	s.mu.Unlock()
	if !need || full {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	deadline := now.Add(s.leaseTerm)
	if end := s.cfg().Spend.End; !end.IsZero() && deadline.After(end) {
		deadline = end
	}
	if !deadline.After(now) {
		return err
	}
	got, takeErr := s.ledger.Take(callCtx, want, deadline)
	if takeErr != nil {
		s.mu.Lock()
		s.backOff(now)
		s.mu.Unlock()
		return errors.Join(err, fmt.Errorf("spender: take a share: %w", takeErr))
	}
	return errors.Join(err, s.install(got), s.returnShares(ctx, false))
}

// backOff delays the next call of the ledger; the caller holds s.mu. Without growing delays every entry would call the table each
// second during an outage and for the rest of an exhausted period.
func (s *Spender) backOff(now time.Time) {
	s.counters.failed++
	s.backoff = min(max(2*s.backoff, s.interval), s.leaseTerm/2)
	s.retryAt = now.Add(time.Duration((0.5 + s.rng.Float64()) * float64(s.backoff)))
}

// nextShareSize updates the recent rate and computes the size of the next share from it, so that little is stranded in shares of
// idle entries. The caller holds s.mu.
func (s *Spender) nextShareSize(now time.Time) float64 {
	if c := s.current; c != nil && now.After(s.takenAt) {
		s.spendRate = (s.spendRate + (c.spent+c.reserved)/now.Sub(s.takenAt).Seconds()) / 2
	}
	return max(s.minShare, requestsPerShare*s.largestReservation, s.spendRate*s.leaseTerm.Seconds()*shareDurationFraction) + s.unleased
}

// install makes got the current share and retires the previous one. If assigning a witness to got fails, got itself is
// retired.
func (s *Spender) install(got Share) error {
	next := &share{Share: got}
	s.mu.Lock()
	next.spent = s.unleased
	s.unleased = 0
	s.mu.Unlock()
	err := s.assignWitness(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.taken++
	s.granted, s.committed = got.Granted, got.Committed
	s.retryAt, s.backoff = time.Time{}, 0
	if err != nil {
		s.unleased += next.spent
		next.spent = 0
		s.retired = append(s.retired, next)
		s.signal()
		return err
	}
	if s.current != nil {
		s.retired = append(s.retired, s.current)
	}
	s.current = next
	s.takenAt = s.now()
	return nil
}

// returnShares returns to the ledger the retired shares without running requests, or all shares if final is set; amounts still
// reserved then count as spent.
func (s *Spender) returnShares(ctx context.Context, final bool) error {
	s.mu.Lock()
	if !final && s.now().Before(s.retryAt) {
		s.mu.Unlock()
		return nil
	}
	if c := s.current; c != nil && (final || !s.now().Before(c.Deadline)) {
		s.retired = append(s.retired, c)
		s.current = nil
	}
	var ready []*share
	for _, r := range s.retired {
		if final || r.inFlight == 0 {
			ready = append(ready, r)
		}
	}
	s.mu.Unlock()
	var errs []error
	for _, r := range ready {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		s.mu.Lock()
		spent := r.spent + r.reserved
		s.mu.Unlock()
		err := s.ledger.Return(callCtx, r.Share, spent)
		cancel()
		if err == nil && r.witness != "" {
			// If this message is lost, the witness later reads the row once and finds no share to shrink.
			r.sendMu.Lock()
			s.sendCeiling(r, 0, true)
			r.sendMu.Unlock()
		}
		s.mu.Lock()
		if err == nil {
			s.counters.returned++
			s.removeRetired(r)
		} else {
			s.backOff(s.now())
			errs = append(errs, fmt.Errorf("spender: return share %s: %w", r.ID, err))
		}
		s.mu.Unlock()
	}
	return errors.Join(errs...)
}

// removeRetired removes a returned share; the caller holds s.mu.
func (s *Spender) removeRetired(returned *share) {
	for i, r := range s.retired {
		if r == returned {
			s.retired = append(s.retired[:i], s.retired[i+1:]...)
			return
		}
	}
}

// Close returns all shares to the ledger; amounts that are still reserved count as spent.
func (s *Spender) Close(ctx context.Context) error { return s.returnShares(ctx, true) }

// Counters returns monotonic counters.
func (s *Spender) Counters() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]int64{
		"reservations": s.counters.reserved, "reservations-refused": s.counters.refused, "shares-taken": s.counters.taken,
		"shares-returned": s.counters.returned, "ledger-failures": s.counters.failed, "overruns": s.counters.overruns,
		"ceilings-told": s.counters.ceilingsSent, "ceilings-failed": s.counters.ceilingsFailed,
	}
}

// State is the state dump of a spender.
type State struct {
	Share       float64   `json:"share"`
	Free        float64   `json:"free"`
	Deadline    time.Time `json:"until"`
	Retired     int       `json:"retired"`
	Unleased    float64   `json:"unleased"`
	Granted     float64   `json:"used"`
	Committed   float64   `json:"committed"`
	PriceFactor float64   `json:"price-factor"`
}

// State returns a State.
func (s *Spender) State() any {
	factor := s.PriceFactor()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{Retired: len(s.retired), Unleased: s.unleased, Granted: s.granted, Committed: s.committed, PriceFactor: factor}
	if s.current != nil {
		state.Share, state.Free, state.Deadline = s.current.Amount, s.current.free(), s.current.Deadline
	}
	return state
}
