package poolsbencher

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
)

// gate decides at one entry which pools are offered a request.
type gate struct {
	offer   func(pool int) bool
	ended   func(pool int, refused bool)
	targets int
}

// policy makes the gate of one entry.
type policy struct {
	name string
	make func(now func() time.Time, draw func() float64) gate
}

func policies() []policy {
	always := func(targets int) func(func() time.Time, func() float64) gate {
		return func(func() time.Time, func() float64) gate {
			return gate{
				offer: func(int) bool { return true }, ended: func(int, bool) {}, targets: targets,
			}
		}
	}
	return []policy{
		{chosen, newRedirecting},
		{"one version (naive)", always(1)},
		{"next version after a refusal", always(3)},
		{"two thresholds, release in steps", newThresholds},
	}
}

const chosen = "redirector"

func newRedirecting(now func() time.Time, draw func() float64) gate {
	r := redirector.New(redirector.WithNow(now), redirector.WithRand(draw))
	key := func(pool int) redirector.Pool {
		return redirector.Pool{Target: identifier.Target{Model: identifier.Model(poolNames()[pool]), Version: "1"}}
	}
	return gate{
		offer: func(pool int) bool { return r.Allow(key(pool)) },
		ended: func(pool int, refused bool) {
			if refused {
				r.RecordRefusal(key(pool))
			}
		},
		targets: len(poolNames()),
	}
}

const (
	// highShare and lowShare are the shares of refusals at which a pool is restricted and released.
	highShare = 0.2
	lowShare  = 0.05
	// leastValues is the number of requests before a share counts.
	leastValues = 5
	// stepTime is the least time of one step of the release.
	stepTime = 2 * time.Second
)

// thresholds is the detection of a surge by two thresholds with hysteresis and a release in steps, as published for flash
// crowds.
type thresholds struct {
	step             int
	since            time.Time
	offered, refused float64
}

// steps are the shares of the requests that a pool is offered, from open to restricted.
func steps() []float64 { return []float64{1, 0.6, 0.3, 0.1} }

func newThresholds(now func() time.Time, draw func() float64) gate {
	pools := make([]thresholds, len(poolNames()))
	return gate{
		offer: func(pool int) bool { return draw() < steps()[pools[pool].step] },
		ended: func(pool int, refused bool) {
			p := &pools[pool]
			p.offered++
			if refused {
				p.refused++
			}
			if p.offered < leastValues || now().Sub(p.since) < stepTime && p.refused < highShare*p.offered {
				return
			}
			switch ratio := p.refused / p.offered; {
			case ratio >= highShare:
				p.step = len(steps()) - 1
			case ratio <= lowShare:
				p.step = max(0, p.step-1)
			}
			p.since, p.offered, p.refused = now(), 0, 0
		},
		targets: len(poolNames()),
	}
}
