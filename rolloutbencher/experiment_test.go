package rolloutbencher_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/rolloutbencher"
)

// Guards against a promoter that keeps a bad version or rolls good ones back.
func TestBounds(t *testing.T) {
	report, err := rolloutbencher.ExperimentWithRuns(1, 4, 0).Run(context.Background(), bencher.Params{Seed: 2})
	must.NoError(t, err)
	for _, b := range report.Bounds {
		must.True(t, b.Held(), must.Sprintf("%+v", b))
	}
}
