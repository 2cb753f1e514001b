package faultsbencher_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	fb "github.com/siskinfront/siskinfront/faultsbencher"
)

// Guards against a cancelled run that reports success without violations.
func TestCancelledRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := fb.Experiment().Run(ctx, bencher.Params{Seed: 1})
	must.ErrorIs(t, err, context.Canceled)
}
