package choicebencher

import (
	"context"

	"github.com/siskinfront/siskinfront/bencher"
)

// RunSmall runs the experiment at sizes that take seconds under the race detector.
func RunSmall(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	return comparePolicies(ctx, p, []size{
		{workers: 20, entries: 3, versions: 2, dataCentres: 4, regions: 1},
		{workers: 48, entries: 8, versions: 3, dataCentres: 4, regions: 2},
	}, 1000)
}

// FaultyShare slows down one engine of 200 workers by a factor. It returns the traffic that the engine takes from 5 s later on,
// relative to the mean, and whether its agent reports it as stalled at the end.
func FaultyShare(seed uint64, factor float64) (share float64, stalled bool, err error) {
	s := newSimulation(seed, sizes()[1], lateBinding, defaultDuration)
	s.scenario = scenario{slowdown: factor, deadline: stuckDeadline}
	s.run()
	share, err = s.faultyShare(faultWindow, defaultDuration)
	return share, s.faulty.progress.Stalled(s.end), err
}

// RefusedOfOnePrefix returns the refused orders per request at 200 workers, without and with prefix affinity, when all requests
// of a version share one prefix.
func RefusedOfOnePrefix(seed uint64) (plain, affine float64) {
	refused := func(affinity bool) float64 {
		s := newSimulation(seed, sizes()[1], lateBinding, defaultDuration)
		s.scenario = scenario{prefixes: 1, affinity: affinity}
		s.run()
		return s.result(defaultDuration).busyPerRequest
	}
	return refused(false), refused(true)
}

// AddedLimit bounds the refused orders per request that prefix affinity adds in RefusedOfOnePrefix.
const AddedLimit = maxAddedRefusals

// ShareAfterEnd asks for the share of a slow engine in an interval after the end of the run, which has no traffic.
func ShareAfterEnd(seed uint64) (float64, error) {
	s := newSimulation(seed, sizes()[0], lateBinding, defaultDuration)
	s.scenario = scenario{slowdown: slowFactor}
	s.run()
	return s.faultyShare(defaultDuration, 2*defaultDuration)
}

// StuckName is the name of the bound for the stuck engine, StuckFactor its slowdown and StuckShare the limit of its traffic.
const (
	StuckName   = stuckName
	StuckFactor = stuckFactor
	StuckShare  = maxStuckShare
)
