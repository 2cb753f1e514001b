package costbencher_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/costbencher"
)

// testShare is the share of the day's requests that the tests serve.
const testShare = 0.015

func number(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	must.NoError(t, err)
	return v
}

// Guards against results that depend on the scheduling of goroutines or the iteration order of maps, and so differ between
// runs with one seed.
func TestDeterminism(t *testing.T) {
	e := costbencher.ExperimentWithShare(testShare)
	first, err := e.Run(context.Background(), bencher.Params{Seed: 3})
	must.NoError(t, err)
	second, err := e.Run(context.Background(), bencher.Params{Seed: 3})
	must.NoError(t, err)
	must.Eq(t, first, second)
	other, err := e.Run(context.Background(), bencher.Params{Seed: 4})
	must.NoError(t, err)
	must.NotEq(t, first.Rows, other.Rows)
}

// Guards against an optimum that is no lower bound, so that a policy which meets the quality target costs less, and against a
// router that ignores quality or cost: the optimum is the least cost at the target, and where the cheapest versions miss the
// target, the router's quality must be higher than theirs.
func TestOptimumIsALowerBound(t *testing.T) {
	report, err := costbencher.ExperimentWithShare(testShare).Run(context.Background(), bencher.Params{Seed: 1})
	must.NoError(t, err)
	must.SliceLen(t, 6, report.Rows)
	for _, row := range report.Rows {
		target, quality, ratio, naive := number(t, row[3]), number(t, row[4]), number(t, row[7]), number(t, row[8])
		if quality >= target {
			must.GreaterEq(t, 1.0, ratio, must.Sprint(row))
		}
		if naive < target {
			must.Greater(t, naive, quality, must.Sprint(row))
		}
	}
}

// Guards against a breakdown of the loss that omits a cost or counts one twice: the parts must sum to the cost above the
// optimum.
func TestLossesAddUp(t *testing.T) {
	report, err := costbencher.ExperimentWithShare(testShare).Run(context.Background(), bencher.Params{Seed: 2})
	must.NoError(t, err)
	for _, row := range report.Rows {
		sum := 0.0
		for _, part := range row[10:] {
			sum += number(t, part)
		}
		// Each of the six figures is rounded to 4 digits, so each adds an error of up to 0.00005.
		must.InDelta(t, number(t, row[5])-number(t, row[6]), sum, 6*0.00005, must.Sprint(row))
	}
}

// Guards against a router that misses the stated limits of cost or quality; see KNOWN-RED.txt.
func TestBoundsOfShortDay(t *testing.T) {
	report, err := costbencher.ExperimentWithShare(testShare).Run(context.Background(), bencher.Params{Seed: 1})
	must.NoError(t, err)
	for _, b := range report.Bounds {
		must.True(t, b.Held(), must.Sprintf("%+v", b))
	}
}
