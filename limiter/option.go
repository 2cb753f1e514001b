package limiter

import (
	"time"

	"github.com/siskinfront/siskinfront/configurer"
)

type options struct {
	now         func() time.Time
	ratio       float64
	floor       float64
	burst       float64
	share       func(*configurer.ClientAccount) float64
	total       float64
	window      time.Duration
	maxAccounts int
	evenShares  bool
}

// Option configures a Budget, Accounts or a Lender; an option that the type does not use has no effect.
type Option func(*options)

const (
	defaultRatio       = 0.1 // retries per success
	defaultFloor       = 0.2 // retries per second at low traffic
	defaultBurst       = 20  // retries
	defaultWindow      = 2 * time.Second
	defaultMaxAccounts = 4096
)

func newOptions(opts []Option) options {
	o := options{
		now: time.Now, ratio: defaultRatio, floor: defaultFloor, burst: defaultBurst,
		share:  func(*configurer.ClientAccount) float64 { return 1 },
		window: defaultWindow, maxAccounts: defaultMaxAccounts,
		evenShares: true,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithRatio sets the retries that one success allows.
func WithRatio(ratio float64) Option {
	return func(o *options) { o.ratio = ratio }
}

// WithFloor sets the retries per second that are allowed without any success.
func WithFloor(perSecond float64) Option {
	return func(o *options) { o.floor = perSecond }
}

// WithBurst sets the largest number of retries that a budget saves up.
func WithBurst(n float64) Option {
	return func(o *options) { o.burst = n }
}

// WithShare sets the fraction of an account's deployment-wide limit that this entry may use.
func WithShare(share func(*configurer.ClientAccount) float64) Option {
	return func(o *options) { o.share = share }
}

// WithTotal sets a limit in tokens per second over all accounts of the entry; 0 means no limit.
func WithTotal(tokensPerSecond float64) Option {
	return func(o *options) { o.total = tokensPerSecond }
}

// WithWindow sets the time over which a bucket may save up tokens.
func WithWindow(window time.Duration) Option {
	return func(o *options) { o.window = window }
}

// WithMaxAccounts bounds the number of accounts kept in memory.
func WithMaxAccounts(n int) Option {
	return func(o *options) { o.maxAccounts = max(n, 1) }
}

// WithoutEvenShares makes a new owner of an account grant nothing but renewals, for comparison.
func WithoutEvenShares() Option {
	return func(o *options) { o.evenShares = false }
}
