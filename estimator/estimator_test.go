package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
)

var (
	start  = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	target = identifier.Target{Model: "m", Version: "1"}
)

// Guards against an incremental estimate that differs from its definition: the sum over all ratings, each weighted by its age.
func TestQualityAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		const halfLife = time.Hour
		e := estimator.New(estimator.WithNow(func() time.Time { return now }), estimator.WithHalfLife(halfLife),
			estimator.WithPrior(func(identifier.Target) float64 { return 0.6 }))
		const maxRatings = 9
		samples := make([]estimator.Sample, 0, maxRatings)
		// 9 ratings are too few for a change to be assumed, which the naive reference does not model.
		for range rapid.IntRange(0, maxRatings).Draw(t, "ratings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "seconds")) * time.Second)
			delay := time.Duration(rapid.IntRange(0, 5000).Draw(t, "late")) * time.Second
			s := estimator.Sample{WorkKind: "k", Target: target, Rating: rapid.Float64Range(0, 1).Draw(t, "rating"), At: now.Add(-delay)}
			samples = append(samples, s)
			e.Add(s)
		}
		weight, sum := 4.0, 4*0.6
		for _, s := range samples {
			w := math.Exp2(-float64(now.Sub(s.At)) / float64(halfLife))
			weight, sum = weight+w, sum+w*s.Rating
		}
		mean, _, _ := e.Quality("k", target)
		if math.Abs(mean-sum/weight) > 1e-9 {
			t.Fatalf("mean %v, naive %v", mean, sum/weight)
		}
	})
}

// Guards against ratings that are counted twice when summaries are repeated, reordered or relayed, or after a restart of the
// source.
func TestMergeIsIdempotent(t *testing.T) {
	now := start
	withClock := estimator.WithNow(func() time.Time { return now })
	a, b := estimator.New(withClock, estimator.WithSelf("a")), estimator.New(withClock, estimator.WithSelf("b"))
	for range 10 {
		a.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 0.9, At: now})
	}
	first := a.Export()
	a.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 0.9, At: now})
	second := a.Export()
	for _, summaries := range [][]estimator.Summary{first, second, first, second} {
		b.Merge(summaries)
	}
	_, _, weight := b.Quality("k", target)
	must.InDelta(t, 11, weight, 1e-9)
	now = now.Add(time.Second)
	a = estimator.New(withClock, estimator.WithSelf("a"))
	a.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 0.1, At: now})
	b.Merge(a.Export())
	_, _, weight = b.Quality("k", target)
	must.InDelta(t, 1, weight, 1e-9)
}

// Guards against a version that degrades in the course of the day and keeps its good estimate for hours.
func TestDegradationIsDetected(t *testing.T) {
	now, rng := start, rand.New(rand.NewPCG(1, 2))
	e := estimator.New(estimator.WithNow(func() time.Time { return now }))
	qualityAfter := func(mean float64, n int) float64 {
		for range n {
			now = now.Add(5 * time.Second)
			e.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: mean + 0.2*rng.NormFloat64(), At: now.Add(-time.Minute)})
		}
		q, _, _ := e.Quality("k", target)
		return q
	}
	must.InDelta(t, 0.8, qualityAfter(0.8, 2000), 0.03)
	must.Less(t, 0.65, qualityAfter(0.5, 100))
}

// Guards against ratings that are counted twice after a repeated delivery, ratings that are not numbers, above 1 or from the
// future, and unbounded memory.
func TestInvalidAndRepeatedRatings(t *testing.T) {
	now := start
	e := estimator.New(estimator.WithNow(func() time.Time { return now }), estimator.WithLimits(8, 4))
	for range 3 {
		e.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 7, At: now.Add(time.Hour), Request: "r"})
		e.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: math.NaN(), At: now})
	}
	mean, _, weight := e.Quality("k", target)
	must.InDelta(t, 1, weight, 1e-9)
	must.InDelta(t, (4*0.5+1)/5, mean, 1e-9)
	for i := range 100 {
		now = now.Add(time.Second)
		e.Add(estimator.Sample{WorkKind: identifier.WorkKind(rune('a' + i)), Target: target, Rating: 1, At: now})
	}
	must.SliceLen(t, 8, e.Export())
}
