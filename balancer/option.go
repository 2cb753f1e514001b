package balancer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// defaultSubset bounds the upstreams that an entry watches for each target.
	defaultSubset = 24
	// defaultChoices is the number of samples compared for one choice, beside one random candidate of each distance.
	// With 6 instead of 3, entries with the same view crowd the same upstreams.
	defaultChoices = 3
	// defaultMaxAge: with samples of up to 2 s or 5 s instead of 3 s the answers of 2,200 workers took longer.
	defaultMaxAge  = 3 * time.Second
	defaultHalfAge = time.Second
	defaultMaxUses = 1
)

// DefaultProbeRate is the number of probes per second of an entry. At 250 bytes for a probe and its reply it costs 250
// bytes/s. The frames of requests refresh the load, so a higher rate did not shorten the time to the first token.
const DefaultProbeRate = 1

type options struct {
	now       func() time.Time
	draw      func() uint64
	probe     func(context.Context, Upstream) (streamer.Load, error)
	distance  func(self identifier.DataCentre, region identifier.Region, u Upstream) int
	instance  identifier.Instance
	region    identifier.Region
	subset    int
	waiting   int
	choices   int
	maxAge    time.Duration
	halfAge   time.Duration
	maxUses   int64
	probeRate float64
}

// Option configures a Balancer.
type Option func(*options)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithRand sets the source of random numbers; the generator of the runtime, which scales over cores, is the default.
func WithRand(r *rand.Rand) Option {
	var mu sync.Mutex
	return func(o *options) {
		o.draw = func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return r.Uint64()
		}
	}
}

// WithProbe sets the function by which Run asks an upstream's agent for its load.
func WithProbe(probe func(context.Context, Upstream) (streamer.Load, error)) Option {
	return func(o *options) { o.probe = probe }
}

// WithDistance sets the distance of an upstream: 0 for the own data centre, 1 for the own region, 2 for others.
func WithDistance(distance func(self identifier.DataCentre, region identifier.Region, u Upstream) int) Option {
	return func(o *options) { o.distance = distance }
}

// WithSelf sets the name of the entry, from which its subset is derived.
func WithSelf(name identifier.Instance) Option {
	return func(o *options) { o.instance = name }
}

// WithRegion sets the region of the entry for data centres without an upstream.
func WithRegion(r identifier.Region) Option {
	return func(o *options) { o.region = r }
}

// WithSubset sets the number of upstreams that the entry uses for each target.
func WithSubset(n int) Option {
	return func(o *options) { o.subset = max(n, 1) }
}

// WithWaitingWeight sets how many running requests a waiting one counts as in the load. Where slots are free it waits for prompts
// that the engine reads, which delays all its requests.
func WithWaitingWeight(n int) Option {
	return func(o *options) { o.waiting = max(n, 1) }
}

// WithChoices sets the number of candidates compared for one choice.
func WithChoices(n int) Option {
	return func(o *options) { o.choices = max(n, 1) }
}

// WithSampleLimits bounds the age and the uses of a sample; at halfAge a sample counts half.
func WithSampleLimits(maxAge, halfAge time.Duration, maxUses int) Option {
	return func(o *options) { o.maxAge, o.halfAge, o.maxUses = maxAge, halfAge, int64(maxUses) }
}

// WithProbeRate sets the number of probes per second that Run sends.
func WithProbeRate(perSecond float64) Option {
	return func(o *options) { o.probeRate = perSecond }
}

func distance(self identifier.DataCentre, region identifier.Region, u Upstream) int {
	switch {
	case u.DataCentre == self:
		return sameDataCentre
	case u.Region == region:
		return sameRegion
	default:
		return otherRegion
	}
}
