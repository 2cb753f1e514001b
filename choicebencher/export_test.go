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
func FaultyShare(seed uint64, factor float64) (share float64, stalled bool) {
	s := newSimulation(seed, sizes()[1], routed, defaultDuration)
	s.scenario = scenario{slowdown: factor, deadline: stuckDeadline}
	s.run()
	return s.faultyShare(faultWindow, defaultDuration), s.faulty.progress.Stalled(s.end)
}

// StuckFactor and StuckShare are the factor and the bound of the stuck engine.
const (
	StuckFactor = stuckFactor
	StuckShare  = stuckShare
)
