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
	// defaultSubset bounds the number of upstreams that an entry uses for each target.
	defaultSubset = 24
	// defaultChoices is the number of samples compared for one choice, besides one random candidate of each distance. With 6,
	// entries that have the same samples send their requests to the same upstreams.
	defaultChoices = 3
	// defaultMaxAge bounds the age of a sample; with 2 s or 5 s the answers of 2,200 engines took longer than with 3 s.
	defaultMaxAge = 3 * time.Second
	// defaultHalfAge is the age at which a sample has half its weight.
	defaultHalfAge = time.Second
	// defaultMaxUses is the number of choices after which a sample is no longer used.
	defaultMaxUses = 1
)

// DefaultProbeRate is the number of probes per second of an entry. With 250 bytes for a probe and its reply it costs 250
// bytes/s. A higher rate does not shorten the time to the first token, because answers also carry load samples.
const DefaultProbeRate = 1

type options struct {
	now             func() time.Time
	random          func() uint64
	probe           func(context.Context, Upstream) (streamer.Load, error)
	distance        func(self identifier.DataCentre, region identifier.Region, u Upstream) int
	instance        identifier.Instance
	region          identifier.Region
	subset          int
	waitingWeight   int
	choices         int
	maxAge          time.Duration
	halfAge         time.Duration
	maxUses         int64
	probeRate       float64
	evenLoad        bool
	localPreference bool
}

// Option configures a Balancer.
type Option func(*options)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithRand sets the source of random numbers; the default is the runtime's generator, which scales with the number of cores.
func WithRand(r *rand.Rand) Option {
	var mu sync.Mutex
	return func(o *options) {
		o.random = func() uint64 {
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

// WithSelf sets the instance name of the entry, from which its subset is derived.
func WithSelf(name identifier.Instance) Option {
	return func(o *options) { o.instance = name }
}

// WithRegion sets the region of the entry, used when no upstream in its data centre states one.
func WithRegion(r identifier.Region) Option {
	return func(o *options) { o.region = r }
}

// WithSubsetSize sets the number of upstreams that the entry uses for each target.
func WithSubsetSize(n int) Option {
	return func(o *options) { o.subset = max(n, 1) }
}

// WithWaitingWeight sets how many running requests a waiting one counts as in the load. A request that waits while slots are
// free waits for the engine to read other prompts, which delays all requests there.
func WithWaitingWeight(n int) Option {
	return func(o *options) { o.waitingWeight = max(n, 1) }
}

// WithChoices sets the number of candidates compared for one choice.
func WithChoices(n int) Option {
	return func(o *options) { o.choices = max(n, 1) }
}

// WithSampleLimits bounds the age and the number of uses of a load sample; at halfAge a sample has half its weight.
func WithSampleLimits(maxAge, halfAge time.Duration, maxUses int) Option {
	return func(o *options) { o.maxAge, o.halfAge, o.maxUses = maxAge, halfAge, int64(maxUses) }
}

// WithProbeRate sets the number of probes per second that Run sends.
func WithProbeRate(perSecond float64) Option {
	return func(o *options) { o.probeRate = perSecond }
}

// WithEvenLoad compares upstreams by the time that work is expected to take there instead of their numbers of requests.
func WithEvenLoad() Option {
	return func(o *options) { o.evenLoad = true }
}

// WithLocalPreference prefers upstreams of the own data centre unless they have clearly more load than others.
func WithLocalPreference() Option {
	return func(o *options) { o.localPreference = true }
}

func defaultDistance(self identifier.DataCentre, region identifier.Region, u Upstream) int {
	switch {
	case u.DataCentre == self:
		return sameDataCentre
	case u.Region == region:
		return sameRegion
	default:
		return otherRegion
	}
}
