package selector_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// Guards against a goal that ignores the uncertainty of the estimates, so that every second day ends below the target, and
// against a margin that does not shrink with more ratings, which would raise the cost permanently.
func TestGoalFollowsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cheapPercent := rapid.IntRange(50, 65).Draw(t, "cheap")
		// quality returns the mean estimated quality of the answers when each version has n ratings: of all answers, and of those
		// without exploration, which the goal does not include.
		quality := func(n float64) (all, withoutExploration float64) {
			cfg := configuration(2)
			cfg.WorkKinds[0].NonIdempotent = true
			e := estimator.New(estimator.WithNow(func() time.Time { return start }),
				estimator.WithPrior(func(t identifier.Target) float64 {
					if t.Model == "m0" {
						return float64(cheapPercent) / 100
					}
					return 0.9
				}))
			var counts []estimator.Summary
			for m, good := range []float64{float64(cheapPercent) / 100, 0.9} {
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
					withoutExploration, count = withoutExploration+mean, count+1
				}
			}
			return all, withoutExploration / float64(count)
		}
		qualityWithFew, withoutExploration := quality(400)
		qualityWithMany, _ := quality(40000)
		// The bound is the target with its fixed margin of 0.2%, plus 0.004 for the uncertainty, the step of quality of one of the
		// 128 requests that determine the price of quality, and 0.002 for the correction of past decisions.
		maxWithoutExploration := 0.7*1.002 + 0.004 + (0.9-float64(cheapPercent)/100)/128 + 0.002
		if qualityWithMany < 0.7 || qualityWithFew < qualityWithMany+0.001 || withoutExploration > maxWithoutExploration {
			t.Fatalf("mean quality %v with few ratings, %v of these without exploration, %v with many ratings, target 0.7",
				qualityWithFew, withoutExploration, qualityWithMany)
		}
	})
}
