package choicebencher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/choicebencher"
)

// Guards against figures that differ between runs with the same seed; only the decision time depends on the machine.
func TestDeterministic(t *testing.T) {
	run := func() bencher.Report {
		r, err := choicebencher.RunSmall(t.Context(), bencher.Params{Seed: 3, Duration: 15 * time.Second})
		must.NoError(t, err)
		return r
	}
	first, second := run(), run()
	must.Eq(t, first.Bounds, second.Bounds)
	must.Eq(t, first.Series, second.Series)
	must.Positive(t, len(first.Bounds))
	// A figure of 0 means that nothing was measured. The traffic to a stuck engine is the exception, as its aim is 0: the
	// experiment fails if its version took no traffic at all, and one engine of 16 that takes all has 16 times the mean.
	stuck := 0
	for _, b := range first.Bounds {
		if strings.HasPrefix(b.Name, choicebencher.StuckName) {
			stuck++
			must.Between(t, 0, b.Measured, 48/3, must.Sprint(b.Name))
			continue
		}
		must.Positive(t, b.Measured, must.Sprint(b.Name))
	}
	must.One(t, stuck)
}

// Guards against an interval without any traffic that counts as a stuck engine which gets no traffic.
func TestShareOfNoTraffic(t *testing.T) {
	_, err := choicebencher.ShareAfterEnd(3)
	must.ErrorContains(t, err, "took a request")
}

// Guards against ratios of 0 to 0 when no request ended in the measured time; no bound catches them.
func TestTooShort(t *testing.T) {
	_, err := choicebencher.RunSmall(t.Context(), bencher.Params{Seed: 3, Duration: time.Second})
	must.ErrorContains(t, err, "no request ended")
}

// Guards against prefix affinity that overloads the three preferred upstreams of a prefix which all requests share, so that
// they refuse orders, although every engine has the prefix cached.
func TestOnePrefix(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		plain, affine := choicebencher.RefusedOfOnePrefix(seed)
		must.Positive(t, plain)
		must.LessEq(t, plain+choicebencher.AddedLimit, affine)
	}
}

// Guards against requests that are still sent to a stuck engine because each of them ends at its deadline, which tells the
// balancer nothing about the engine, and against a slow engine that is excluded as if it were stuck.
func TestFaultyEngine(t *testing.T) {
	for _, seed := range []uint64{5, 7} {
		share, stalled, err := choicebencher.FaultyShare(seed, choicebencher.StuckFactor)
		must.NoError(t, err)
		must.True(t, stalled)
		must.LessEq(t, choicebencher.StuckShare, share)
	}
	for _, factor := range []float64{2, 8} {
		share, stalled, err := choicebencher.FaultyShare(7, factor)
		must.NoError(t, err)
		must.False(t, stalled)
		must.Positive(t, share)
		must.Less(t, 1, share)
	}
}
