package choicebencher

import (
	"time"

	"github.com/siskinfront/siskinfront/balancer"
)

// policy names a way to choose.
type policy string

// balancer returns the options of the policy's balancers and whether it has any.
func (p policy) balancer() ([]balancer.Option, bool) {
	switch p {
	case routed, queued, manyProbes, pathProbes:
		return nil, true
	case manyChoice:
		return []balancer.Option{balancer.WithChoices(8), balancer.WithSampleLimits(15*time.Second, time.Second, 1)}, true
	}
	return nil, false
}

// probeRate returns the probes per second of an entry.
func (p policy) probeRate() float64 {
	switch p {
	case routed, pathProbes:
		return balancer.DefaultProbeRate
	case manyProbes:
		return 4 * formerProbeRate
	}
	return formerProbeRate
}
