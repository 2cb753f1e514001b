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

// ErrHardLimit is returned when the amount cannot be spent without the risk of exceeding the hard limit: the limit is
// reached, or this entry holds no share large enough and cannot wait for one.
var ErrHardLimit = errors.New("spender: hard limit")

const (
	// leaseTime is the default time an entry may spend from one share.
	leaseTime = 30 * time.Second
	// runInterval is the time between checks of the shares.
	runInterval = time.Second
	// lowWater is the part of a share at which the next one is taken.
	lowWater = 0.5
	// requestsPerShare is the number of the largest requests that a share should cover.
	requestsPerShare = 4
	// largestDecay makes the largest request forgotten after some thousand others.
	largestDecay = 0.999
	// leasePart is the part of the lease time that a share should last at the recent rate.
	leasePart = 0.5
	// callTime bounds one call of the ledger.
	callTime = 2 * time.Second
	// maxRetired bounds the shares that wait for running requests to settle.
	maxRetired = 16
	// freeFactor is the price factor while commitment would go unused; it is above 0 so that among equal answers the one
	// with the lower list price is preferred.
	freeFactor = 0.02
	// paceWidth is the range of projected use, around the whole commitment, over which the price factor rises to 1.
	paceWidth = 0.1
)

// Share is a part of the spend that its holder alone may spend until its deadline.
type Share struct {
	ID string
	// Row is the key of the row that holds the share.
	Row      string
	Amount   float64
	Deadline time.Time
	// Overflow is the part of Amount beyond the commitment.
	Overflow float64
	// Granted and Committed are the spend granted so far and the commitment, over all known data centres.
	Granted   float64
	Committed float64
}

// Ledger grants and settles shares. Take may grant less than wanted, and returns ErrHardLimit when nothing is left. A share
// that is not returned counts as spent in full, or up to the ceiling that its witness keeps.
type Ledger struct {
	Take   func(ctx context.Context, want float64, until time.Time) (Share, error)
	Return func(ctx context.Context, s Share, spent float64) error
}

// share is a share in use.
type share struct {
	Share
	// reserved is the part promised to running requests, and spent the part that is settled.
	reserved, spent float64
	running         int
	witnessed
}

func (s *share) free() float64 { return s.Amount - s.reserved - s.spent }

// Spender is safe for concurrent use.
type Spender struct {
	cfg      func() *configurer.Configuration
	ledger   Ledger
	now      func() time.Time
	lease    time.Duration
	interval time.Duration
	minimum  float64
	rng      *rand.Rand
	peers    Witnesses

	mu      sync.Mutex
	current *share
	retired []*share
	// unleased is spend without a share, which only a period without hard limit permits.
	unleased float64
	// largest is the largest recent reservation; a share must hold several of them.
	largest float64
	// rate is the recent spend per second, by which the next share is sized.
	rate  float64
	taken time.Time
	// retryAt is the time of the next call of the ledger after a failure, backoff the time between the last two.
	retryAt   time.Time
	backoff   time.Duration
	used      float64
	committed float64
	// refusals counts the witnesses that failed in a row for new shares; only Step uses it.
	refusals int
	wake     chan struct{}
	counters struct{ reserved, refused, taken, returned, failed, overruns, told, untold int64 }
}

// Option configures a Spender.
type Option func(*Spender)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(s *Spender) { s.now = now } }

// WithRand sets the source of jitter.
func WithRand(r *rand.Rand) Option { return func(s *Spender) { s.rng = r } }

// WithLeaseTerm sets the time for which shares are taken, and the time between checks.
func WithLeaseTerm(lease, interval time.Duration) Option {
	return func(s *Spender) { s.lease, s.interval = lease, interval }
}

// WithMinShare sets the smallest share worth taking, in the currency of the spend.
func WithMinShare(amount float64) Option { return func(s *Spender) { s.minimum = amount } }

// New returns a spender without a share; Run takes the first one.
func New(cfg func() *configurer.Configuration, l Ledger, opts ...Option) *Spender {
	s := &Spender{
		cfg: cfg, ledger: l, now: time.Now, lease: leaseTime, interval: runInterval, minimum: 0.01,
		wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run keeps a share at hand until ctx ends, and then returns the shares. It returns the error of the last return.
func (s *Spender) Run(ctx context.Context) error {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	for {
		// A failed step is counted and repeated; requests go on within the current share.
		_ = s.Step(ctx)
		select {
		case <-ctx.Done():
			return s.Close(context.WithoutCancel(ctx))
		case <-t.C:
		case <-s.wake:
		}
	}
}

// Step settles retired shares and takes a new one if the current one is nearly used or expires before the next step.
func (s *Spender) Step(ctx context.Context) error {
	err := s.settle(ctx, false)
	s.keep()
	s.mu.Lock()
	now, c := s.now(), s.current
	need := !now.Before(s.retryAt) && (c == nil || c.severed || c.free() < lowWater*c.Amount || now.Add(2*s.interval).After(c.Deadline))
	want := s.want(now)
	full := len(s.retired) >= maxRetired
	s.mu.Unlock()
	if !need || full {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	until := now.Add(s.lease)
	if end := s.cfg().Spend.End; !end.IsZero() && until.After(end) {
		until = end
	}
	if !until.After(now) {
		return err
	}
	got, takeErr := s.ledger.Take(callCtx, want, until)
	if takeErr != nil {
		s.mu.Lock()
		s.failed(now)
		s.mu.Unlock()
		return errors.Join(err, fmt.Errorf("spender: take a share: %w", takeErr))
	}
	return errors.Join(err, s.install(got), s.settle(ctx, false))
}

// failed delays the next call of the ledger; s.mu is held. Without growing pauses every entry would call the table each
// second during an outage and for the rest of an exhausted period.
func (s *Spender) failed(now time.Time) {
	s.counters.failed++
	s.backoff = min(max(2*s.backoff, s.interval), s.lease/2)
	s.retryAt = now.Add(time.Duration((0.5 + s.rng.Float64()) * float64(s.backoff)))
}

// want sizes the next share from the recent rate, so that little is stranded in shares of idle entries; s.mu is held.
func (s *Spender) want(now time.Time) float64 {
	if c := s.current; c != nil && now.After(s.taken) {
		s.rate = (s.rate + (c.spent+c.reserved)/now.Sub(s.taken).Seconds()) / 2
	}
	return max(s.minimum, requestsPerShare*s.largest, s.rate*s.lease.Seconds()*leasePart) + s.unleased
}

// install makes got the current share and retires the previous one. A share without the witness that it needs is retired at once.
func (s *Spender) install(got Share) error {
	next := &share{Share: got}
	s.mu.Lock()
	next.spent = s.unleased
	s.unleased = 0
	s.mu.Unlock()
	err := s.register(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.taken++
	s.used, s.committed = got.Granted, got.Committed
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
	s.taken = s.now()
	return nil
}

// settle returns the retired shares whose requests have all settled, or all shares when final is set; a request still
// running then counts as spent.
func (s *Spender) settle(ctx context.Context, final bool) error {
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
		if final || r.running == 0 {
			ready = append(ready, r)
		}
	}
	s.mu.Unlock()
	var errs []error
	for _, r := range ready {
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		s.mu.Lock()
		spent := r.spent + r.reserved
		s.mu.Unlock()
		err := s.ledger.Return(callCtx, r.Share, spent)
		cancel()
		if err == nil && r.name != "" {
			// A lost message costs the witness one read of the row.
			r.telling.Lock()
			s.tell(r, 0, true)
			r.telling.Unlock()
		}
		s.mu.Lock()
		if err == nil {
			s.counters.returned++
			s.remove(r)
		} else {
			s.failed(s.now())
			errs = append(errs, fmt.Errorf("spender: return share %s: %w", r.ID, err))
		}
		s.mu.Unlock()
	}
	return errors.Join(errs...)
}

// remove forgets a returned share; s.mu is held.
func (s *Spender) remove(gone *share) {
	for i, r := range s.retired {
		if r == gone {
			s.retired = append(s.retired[:i], s.retired[i+1:]...)
			return
		}
	}
}

// Close returns all shares; amounts still reserved count as spent.
func (s *Spender) Close(ctx context.Context) error { return s.settle(ctx, true) }

// Counters returns monotonic counters.
func (s *Spender) Counters() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]int64{
		"reservations": s.counters.reserved, "reservations-refused": s.counters.refused, "shares-taken": s.counters.taken,
		"shares-returned": s.counters.returned, "ledger-failures": s.counters.failed, "overruns": s.counters.overruns,
		"ceilings-told": s.counters.told, "ceilings-failed": s.counters.untold,
	}
}

// State is the state dump.
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

// State returns a Snapshot.
func (s *Spender) State() any {
	factor := s.PriceFactor()
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := State{Retired: len(s.retired), Unleased: s.unleased, Granted: s.used, Committed: s.committed, PriceFactor: factor}
	if s.current != nil {
		snap.Share, snap.Free, snap.Deadline = s.current.Amount, s.current.free(), s.current.Deadline
	}
	return snap
}
