package spendbencher_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/spendbencher"
)

// Guards against spend beyond the hard limit, and against overflow while part of the commitment is unused.
func TestBounds(t *testing.T) {
	report, err := spendbencher.ExperimentWithStep(5*time.Second).Run(context.Background(), bencher.Params{Seed: 2})
	must.NoError(t, err)
	must.NoError(t, report.Check())
	for _, b := range report.Bounds {
		must.True(t, b.Held(), must.Sprintf("%+v", b))
	}
}
