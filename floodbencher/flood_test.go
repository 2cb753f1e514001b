package floodbencher_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/floodbencher"
)

// knownRed names the bounds that KNOWN-RED.txt lists as missed with this seed.
var knownRed = map[string]bool{
	"4 engines: urgent first token p95 in the urgent flood (s)": true,
	"4 engines: share of normal in the urgent flood / floor":    true,
}

// Guards against figures that are not those of the seed, and against a missed bound of the design page.
func TestBounds(t *testing.T) {
	run := func() bencher.Report {
		r, err := floodbencher.Experiment().Run(t.Context(), bencher.Params{Seed: 1})
		must.NoError(t, err)
		return r
	}
	first := run()
	must.Eq(t, first, run())
	for _, b := range first.Bounds {
		if knownRed[b.Name] {
			t.Logf("listed in KNOWN-RED.txt: %s: %.4g, limit %.4g", b.Name, b.Got, b.Limit)
			continue
		}
		must.True(t, b.Held(), must.Sprintf("%s: %.4g, limit %.4g", b.Name, b.Got, b.Limit))
	}
}
