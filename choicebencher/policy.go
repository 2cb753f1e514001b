package choicebencher

import (
	"time"

	"github.com/siskinfront/siskinfront/balancer"
)

// policy names a way to choose an upstream.
type policy string

// balancerOptions returns the options of the policy's balancers, and whether the policy uses the balancer at all.
func (p policy) balancerOptions() ([]balancer.Option, bool) {
	switch p {
	case lateBinding, noLateBinding, manyProbes, probesInPath:
		return nil, true
	case evenLoad:
		return []balancer.Option{balancer.WithEvenLoad()}, true
	case manyChoices:
		return []balancer.Option{balancer.WithChoices(8), balancer.WithSampleLimits(15*time.Second, time.Second, 1)}, true
	}
	return nil, false
}

// probeRate returns the number of probes per second that an entry sends.
func (p policy) probeRate() float64 {
	switch p {
	case lateBinding, evenLoad, probesInPath:
		return balancer.DefaultProbeRate
	case manyProbes:
		return 4 * noLateBindingProbeRate
	}
	return noLateBindingProbeRate
}
