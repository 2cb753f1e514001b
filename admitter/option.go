package admitter

import (
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	defaultSlots           = 16
	defaultQueuePerRank    = 256
	defaultQueuePerAccount = 64
	// defaultShrink is the factor on the queue timeout of a rank for each overloaded rank above it.
	defaultShrink = 0.5
	// waitShare is the part of a rank's target time to the first token that work may spend in the queue; the rest is
	// left for the prompt.
	waitShare = 0.5
	// headroomShare is the part of the slots that preempting work may use in excess while its victims leave the batch.
	headroomShare = 8
)

type options struct {
	now             func() time.Time
	ranks           []configurer.Rank
	weight          func(identifier.ClientAccount) float64
	slots           int
	headroom        int
	queuePerRank    int
	queuePerAccount int
	shrink          float64
	estimates       bool
}

// Option configures an Admitter.
type Option func(*options)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithRanks sets the ranks, the most urgent first; work of an unknown rank is refused.
func WithRanks(ranks []configurer.Rank) Option {
	return func(o *options) { o.ranks = ranks }
}

// WithWeight sets the weight of a client account relative to others of its rank; values under 0.01 count as 0.01.
func WithWeight(weight func(identifier.ClientAccount) float64) Option {
	return func(o *options) { o.weight = weight }
}

// WithSlots sets the number of requests that run at once; the headroom for preempting work becomes an eighth of it.
func WithSlots(n int) Option {
	return func(o *options) {
		o.slots = max(n, 1)
		o.headroom = o.slots / headroomShare
	}
}

// WithHeadroom sets the number of requests beyond the slots that may run while preempted ones leave the engine.
func WithHeadroom(n int) Option {
	return func(o *options) { o.headroom = max(n, 0) }
}

// WithQueue bounds the waiting requests of each rank and of each client account within a rank.
func WithQueue(perRank, perAccount int) Option {
	return func(o *options) { o.queuePerRank, o.queuePerAccount = max(perRank, 1), max(perAccount, 1) }
}

// WithQueueTimeoutFactor sets the factor on the queue timeout of a rank for each overloaded rank above it; 1 disables it.
func WithQueueTimeoutFactor(factor float64) Option {
	return func(o *options) { o.shrink = factor }
}

// WithoutEstimates disables refusal by the estimated wait, so that only timeouts bound the queue; for comparison.
func WithoutEstimates() Option {
	return func(o *options) { o.estimates = false }
}
