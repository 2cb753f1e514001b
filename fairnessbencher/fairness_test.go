package fairnessbencher_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/fairnessbencher"
)

// Guards against figures that differ between runs with one seed, and against a missed bound of the design page.
func TestBounds(t *testing.T) {
	run := func() bencher.Report {
		r, err := fairnessbencher.Experiment().Run(t.Context(), bencher.Params{Seed: 1})
		must.NoError(t, err)
		return r
	}
	first := run()
	must.Eq(t, first, run())
	for _, b := range first.Bounds {
		must.True(t, b.Held(), must.Sprintf("%s: %.4g, limit %.4g", b.Name, b.Measured, b.Limit))
	}
}
