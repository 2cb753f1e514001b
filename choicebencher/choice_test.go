package choicebencher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/choicebencher"
)

// Guards against an experiment whose figures are not those of its seed, apart from the decision time of the machine.
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
	// A figure of 0 stands for nothing measured, except for the traffic to a stuck engine, whose aim is 0: without traffic
	// it is an error, and one engine of 16 that takes all has 16 times the mean.
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

// Guards against a share of no traffic at all that passes for a stuck engine without traffic.
func TestShareOfNoTraffic(t *testing.T) {
	_, err := choicebencher.ShareAfterEnd(3)
	must.ErrorContains(t, err, "took a request")
}

// Guards against ratios of 0 to 0, which no bound catches, when no request ended.
func TestTooShort(t *testing.T) {
	_, err := choicebencher.RunSmall(t.Context(), bencher.Params{Seed: 3, Duration: time.Second})
	must.ErrorContains(t, err, "no request ended")
}

// Guards against a prefix of all requests that crowds them at its three homes, which refuse them, although every engine has
// the prefix cached.
func TestOnePrefix(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		plain, affine := choicebencher.RefusedOfOnePrefix(seed)
		must.Positive(t, plain)
		must.LessEq(t, plain+choicebencher.AddedLimit, affine)
	}
}

// Guards against requests that go on to a stuck engine because each ends at its deadline, which says nothing about the
// engine, and against a slow engine that is taken out as if it were stuck.
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
