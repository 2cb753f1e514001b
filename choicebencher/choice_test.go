package choicebencher_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/choicebencher"
)

// Guards against an experiment whose figures are not those of its seed, apart from the decision time of the machine.
func TestDeterministic(t *testing.T) {
	run := func() bencher.Report {
		r, err := choicebencher.Experiment().Run(t.Context(), bencher.Params{Seed: 3, Duration: 15 * time.Second})
		must.NoError(t, err)
		return r
	}
	must.Eq(t, run().Bounds, run().Bounds)
}
