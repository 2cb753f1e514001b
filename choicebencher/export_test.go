package choicebencher

import (
	"context"

	"github.com/siskinfront/siskinfront/bencher"
)

// RunSmall is the experiment at a size that the race detector runs in seconds.
func RunSmall(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	return compare(ctx, p, []size{
		{workers: 20, entries: 3, versions: 2, dataCentres: 4, regions: 1},
		{workers: 48, entries: 8, versions: 3, dataCentres: 4, regions: 2},
	}, 1000)
}

// FaultyShare returns the traffic that reaches one engine of 200 workers 5 s after it became slower by a factor, relative
// to the mean, and whether its agent then called it stalled.
func FaultyShare(seed uint64, factor float64) (share float64, stalled bool, err error) {
	s := newSimulation(seed, sizes()[1], routed, defaultDuration)
	s.scenario = scenario{slowdown: factor, deadline: stuckDeadline}
	s.run()
	share, err = s.faultyShare(faultWindow, defaultDuration)
	return share, s.faulty.progress.Stalled(s.end), err
}

// RefusedOfOnePrefix returns the refused orders a request of 200 workers without and with prefix affinity when all requests
// of a version share one prefix.
func RefusedOfOnePrefix(seed uint64) (plain, affine float64) {
	refused := func(affinity bool) float64 {
		s := newSimulation(seed, sizes()[1], routed, defaultDuration)
		s.scenario = scenario{prefixes: 1, affinity: affinity}
		s.run()
		return s.result(defaultDuration).busy
	}
	return refused(false), refused(true)
}

// AddedLimit bounds the difference of the two.
const AddedLimit = addedLimit

// ShareAfterEnd returns the share of a slow engine in an interval without traffic.
func ShareAfterEnd(seed uint64) (float64, error) {
	s := newSimulation(seed, sizes()[0], routed, defaultDuration)
	s.scenario = scenario{slowdown: slowFactor}
	s.run()
	return s.faultyShare(defaultDuration, 2*defaultDuration)
}

// StuckFactor, StuckShare and StuckName are the factor, the limit and the name of the bound of the stuck engine.
const (
	StuckName   = stuckName
	StuckFactor = stuckFactor
	StuckShare  = stuckShare
)
