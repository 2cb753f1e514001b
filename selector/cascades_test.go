package selector_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// Guards against leaving out a cascade of two equally cheap versions, whose answers are better than those of either version:
// without it the same quality costs several times as much.
func TestCascadeOfEqualVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := configuration(3)
		cfg.WorkKinds[0].QualityTarget = 0.8
		cfg.Models[1].Versions[0].InputPrice, cfg.Models[1].Versions[0].OutputPrice = 1, 3
		cfg.Models[2].Versions[0].InputPrice, cfg.Models[2].Versions[0].OutputPrice = 10, 30
		e := estimator.New(estimator.WithNow(func() time.Time { return start }))
		belowTargetPercent := rapid.IntRange(25, 40).Draw(t, "short")
		for i := range 1000 {
			for m, percent := range []int{belowTargetPercent, belowTargetPercent, 2} {
				rating := 0.95
				if i%100 < percent {
					rating = 0.1
				}
				e.Add(estimator.Sample{
					WorkKind: "k", Target: identifier.Target{Model: cfg.Models[m].Name, Version: "1"}, Rating: rating, At: start,
				})
			}
		}
		s, q, expensiveUses := selector.New(selector.WithEstimator(e)), query(cfg), 0
		q.Deadline = start.Add(time.Minute)
		for range 1000 {
			d, err := s.Select(cfg, q)
			if err != nil {
				t.Fatal(err)
			}
			// The mean rating of the cascade of the two cheap versions is at least 0.81, so only exploration uses the third version.
			if d.Reason != selector.ReasonExploration && (d.Target.Model == "m2" || d.Cascade != nil && d.Cascade[0].Model == "m2") {
				expensiveUses++
			}
		}
		if expensiveUses > 100 {
			t.Fatalf("%d of 1000 requests use the expensive version", expensiveUses)
		}
	})
}
