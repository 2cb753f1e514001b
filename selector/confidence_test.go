package selector_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// Guards against a goal that ignores how uncertain the estimates are, so that every second day ends below the target, and against
// a margin that stays although the evidence grows, which costs for ever.
func TestGoalFollowsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cheap := rapid.IntRange(50, 65).Draw(t, "cheap")
		// quality returns the mean estimated quality of the answers when each version has n ratings, and that of those without
		// exploration, which is not part of the goal.
		quality := func(n float64) (all, chosen float64) {
			cfg := configuration(2)
			cfg.WorkKinds[0].NonIdempotent = true
			e := estimator.New(estimator.WithNow(func() time.Time { return start }),
				estimator.WithPrior(func(t identifier.Target) float64 {
					if t.Model == "m0" {
						return float64(cheap) / 100
					}
					return 0.9
				}))
			var counts []estimator.Summary
			for m, good := range []float64{float64(cheap) / 100, 0.9} {
				sum := estimator.Moments{Weight: n, WeightSquares: n, Sum: good * n, SumSquares: good * n}
				sum.Histogram[0], sum.Histogram[estimator.Buckets-1] = (1-good)*n, good*n
				counts = append(counts, estimator.Summary{
					Source: "other", Sequence: 1, WorkKind: "k", At: start, Moments: sum,
					Target: identifier.Target{Model: cfg.Models[m].Name, Version: "1"},
				})
			}
			e.Merge(counts)
			s, q, count := selector.New(selector.WithEstimator(e), selector.WithNow(func() time.Time { return start })), query(cfg), 0
			const requests = 4000
			for i := range requests {
				q.Now = start.Add(time.Duration(i) * 100 * time.Millisecond)
				d, err := s.Select(cfg, q)
				if err != nil {
					t.Fatal(err)
				}
				mean, _, _ := e.Quality("k", d.Target)
				all += mean / requests
				if d.Reason != selector.ReasonExploration {
					chosen, count = chosen+mean, count+1
				}
			}
			return all, chosen / float64(count)
		}
		few, chosen := quality(400)
		many, _ := quality(40000)
		// The fixed margin of 0.2%, 0.004 for the doubt, one request of the 128 that set the price, and 0.002 for the correction.
		most := 0.7*1.002 + 0.004 + (0.9-float64(cheap)/100)/128 + 0.002
		if many < 0.7 || few < many+0.001 || chosen > most {
			t.Fatalf("mean quality %v with few ratings, %v of them chosen, %v with many, target 0.7", few, chosen, many)
		}
	})
}
