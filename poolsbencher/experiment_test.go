package poolsbencher_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/poolsbencher"
)

// Guards against requests that are refused while other versions are idle, against more expensive versions than necessary, and
// against several orders per request in a flood.
func TestBounds(t *testing.T) {
	report, err := poolsbencher.Experiment().Run(t.Context(), bencher.Params{Seed: 3})
	must.NoError(t, err)
	for _, b := range report.Bounds {
		must.True(t, b.Held(), must.Sprintf("%+v", b))
	}
}
