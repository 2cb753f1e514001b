package poolsbencher

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
)

// entryPolicy decides for one entry to which pools a request is offered, and to at most how many.
type entryPolicy struct {
	mayOffer      func(pool int) bool
	recordOutcome func(pool int, refused bool)
	maxOrders     int
}

// policy creates the entryPolicy of each entry.
type policy struct {
	name           string
	newEntryPolicy func(now func() time.Time, draw func() float64) entryPolicy
}

func policies() []policy {
	always := func(targets int) func(func() time.Time, func() float64) entryPolicy {
		return func(func() time.Time, func() float64) entryPolicy {
			return entryPolicy{
				mayOffer: func(int) bool { return true }, recordOutcome: func(int, bool) {}, maxOrders: targets,
			}
		}
	}
	return []policy{
		{redirectorName, newRedirectorPolicy},
		{"one version (naive)", always(1)},
		{"next version after a refusal", always(3)},
		{"two thresholds, release in steps", newThresholdPolicy},
	}
}

const redirectorName = "redirector"

func newRedirectorPolicy(now func() time.Time, draw func() float64) entryPolicy {
	r := redirector.New(redirector.WithNow(now), redirector.WithRand(draw))
	key := func(pool int) redirector.Pool {
		return redirector.Pool{Target: identifier.Target{Model: identifier.Model(poolNames()[pool]), Version: "1"}}
	}
	return entryPolicy{
		mayOffer: func(pool int) bool { return r.Allow(key(pool)) },
		recordOutcome: func(pool int, refused bool) {
			if refused {
				r.RecordRefusal(key(pool))
			}
		},
		maxOrders: len(poolNames()),
	}
}

const (
	// restrictShare and releaseShare are the shares of refusals at which a pool is restricted, and released by one step.
	restrictShare = 0.2
	releaseShare  = 0.05
	// minOffered is the number of offered requests from which on the share of refusals is used.
	minOffered = 5
	// minStepTime is the minimum time between two steps of the release.
	minStepTime = 2 * time.Second
)

// thresholdState is the state of one pool under a published method for flash crowds: it detects a surge by two thresholds with
// hysteresis, and releases the pool in steps.
type thresholdState struct {
	step             int
	changedAt        time.Time
	offered, refused float64
}

// offeredShares returns the shares of the requests that a pool is offered, from unrestricted to fully restricted.
func offeredShares() []float64 { return []float64{1, 0.6, 0.3, 0.1} }

func newThresholdPolicy(now func() time.Time, draw func() float64) entryPolicy {
	pools := make([]thresholdState, len(poolNames()))
	return entryPolicy{
		mayOffer: func(pool int) bool { return draw() < offeredShares()[pools[pool].step] },
		recordOutcome: func(pool int, refused bool) {
			p := &pools[pool]
			p.offered++
			if refused {
				p.refused++
			}
			if p.offered < minOffered || now().Sub(p.changedAt) < minStepTime && p.refused < restrictShare*p.offered {
				return
			}
			switch ratio := p.refused / p.offered; {
			case ratio >= restrictShare:
				p.step = len(offeredShares()) - 1
			case ratio <= releaseShare:
				p.step = max(0, p.step-1)
			}
			p.changedAt, p.offered, p.refused = now(), 0, 0
		},
		maxOrders: len(poolNames()),
	}
}
