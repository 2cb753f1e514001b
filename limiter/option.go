package limiter

import (
	"time"

	"github.com/siskinfront/siskinfront/configurer"
)

type options struct {
	now                  func() time.Time
	retriesPerSuccess    float64
	floorPerSecond       float64
	maxSavedRetries      float64
	accountShare         func(*configurer.ClientAccount) float64
	totalTokensPerSecond float64
	burstWindow          time.Duration
	maxAccounts          int
	grantEvenShares      bool
}

// Option configures a Budget, ClientAccounts or a Lender; an option that the type does not use has no effect.
type Option func(*options)

const (
	defaultRetriesPerSuccess = 0.1
	defaultFloorPerSecond    = 0.2 // retries per second at low traffic
	defaultMaxSavedRetries   = 20
	defaultBurstWindow       = 2 * time.Second
	defaultMaxAccounts       = 4096
)

func newOptions(opts []Option) options {
	o := options{
		now: time.Now, retriesPerSuccess: defaultRetriesPerSuccess, floorPerSecond: defaultFloorPerSecond,
		maxSavedRetries: defaultMaxSavedRetries,
		accountShare:    func(*configurer.ClientAccount) float64 { return 1 },
		burstWindow:     defaultBurstWindow, maxAccounts: defaultMaxAccounts, grantEvenShares: true,
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

// WithRatio sets the number of retries that one success allows.
func WithRatio(ratio float64) Option {
	return func(o *options) { o.retriesPerSuccess = ratio }
}

// WithFloor sets the retries per second that a Budget allows without any success.
func WithFloor(perSecond float64) Option {
	return func(o *options) { o.floorPerSecond = perSecond }
}

// WithBurst sets the largest number of retries that a Budget holds.
func WithBurst(n float64) Option {
	return func(o *options) { o.maxSavedRetries = n }
}

// WithShare sets the function that returns the fraction of an account's deployment-wide limit that this entry may use.
func WithShare(share func(*configurer.ClientAccount) float64) Option {
	return func(o *options) { o.accountShare = share }
}

// WithTotal sets a limit in tokens per second over all accounts of the entry; 0 means no limit.
func WithTotal(tokensPerSecond float64) Option {
	return func(o *options) { o.totalTokensPerSecond = tokensPerSecond }
}

// WithWindow sets the burst of each bucket as the time for which its rate is saved up.
func WithWindow(window time.Duration) Option {
	return func(o *options) { o.burstWindow = window }
}

// WithMaxAccounts bounds the number of accounts whose buckets are kept in memory.
func WithMaxAccounts(n int) Option {
	return func(o *options) { o.maxAccounts = max(n, 1) }
}

// WithoutEvenShares makes a Lender only renew shares of accounts that are new to it, for comparison in tests.
func WithoutEvenShares() Option {
	return func(o *options) { o.grantEvenShares = false }
}
