package admitter

import (
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	defaultSlots               = 16
	defaultMaxQueuedPerRank    = 256
	defaultMaxQueuedPerAccount = 64
	// defaultQueueTimeoutFactor multiplies the queue timeout of a rank once for each overloaded rank above it.
	defaultQueueTimeoutFactor = 0.5
	// queueTimeShare is the part of the target time to first token that work of a rank may spend in the queue; the rest
	// is left for processing the prompt.
	queueTimeShare = 0.5
	// slotsPerHeadroom is the number of slots for each request that may run in excess of the slots while preempted work
	// leaves the batch.
	slotsPerHeadroom = 8
)

type options struct {
	now                 func() time.Time
	ranks               []configurer.Rank
	weight              func(identifier.ClientAccount) float64
	slots               int
	headroom            int
	maxQueuedPerRank    int
	maxQueuedPerAccount int
	queueTimeoutFactor  float64
	refuseByEstimate    bool
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

// WithSlots sets the number of requests that run at once; it also sets the headroom of WithHeadroom to an eighth of it.
func WithSlots(n int) Option {
	return func(o *options) {
		o.slots = max(n, 1)
		o.headroom = o.slots / slotsPerHeadroom
	}
}

// WithHeadroom sets how many requests may run in excess of the slots while preempted ones leave the engine.
func WithHeadroom(n int) Option {
	return func(o *options) { o.headroom = max(n, 0) }
}

// WithQueueLimits bounds the number of waiting requests of each rank and of each client account within a rank.
func WithQueueLimits(perRank, perAccount int) Option {
	return func(o *options) { o.maxQueuedPerRank, o.maxQueuedPerAccount = max(perRank, 1), max(perAccount, 1) }
}

// WithQueueTimeoutFactor sets the factor that multiplies the queue timeout of a rank once for each overloaded rank
// above it; 1 leaves the timeout unchanged.
func WithQueueTimeoutFactor(factor float64) Option {
	return func(o *options) { o.queueTimeoutFactor = factor }
}

// WithoutEstimates disables refusal by the estimated wait, so that only timeouts and queue lengths bound the queue; for
// comparison in experiments.
func WithoutEstimates() Option {
	return func(o *options) { o.refuseByEstimate = false }
}
