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

// Guards against an incremental estimate that differs from the definition: weights from ages, summed over all ratings.
func TestQualityAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		const halfLife = time.Hour
		e := estimator.New(estimator.WithNow(func() time.Time { return now }), estimator.WithHalfLife(halfLife),
			estimator.WithPrior(func(identifier.Target) float64 { return 0.6 }))
		const most = 9
		samples := make([]estimator.Sample, 0, most)
		// 9 ratings stay below the number at which a change is assumed, which the naive version does not model.
		for range rapid.IntRange(0, most).Draw(t, "ratings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "seconds")) * time.Second)
			late := time.Duration(rapid.IntRange(0, 5000).Draw(t, "late")) * time.Second
			s := estimator.Sample{WorkKind: "k", Target: target, Rating: rapid.Float64Range(0, 1).Draw(t, "rating"), At: now.Add(-late)}
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

// Guards against double counting when counts are repeated, reordered or relayed, and after a restart of the source.
func TestMergeIsIdempotent(t *testing.T) {
	now := start
	clock := estimator.WithNow(func() time.Time { return now })
	a, b := estimator.New(clock, estimator.WithSelf("a")), estimator.New(clock, estimator.WithSelf("b"))
	for range 10 {
		a.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 0.9, At: now})
	}
	early := a.Export()
	a.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 0.9, At: now})
	late := a.Export()
	for _, counts := range [][]estimator.Summary{early, late, early, late} {
		b.Merge(counts)
	}
	_, _, n := b.Quality("k", target)
	must.InDelta(t, 11, n, 1e-9)
	now = now.Add(time.Second)
	a = estimator.New(clock, estimator.WithSelf("a"))
	a.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 0.1, At: now})
	b.Merge(a.Export())
	_, _, n = b.Quality("k", target)
	must.InDelta(t, 1, n, 1e-9)
}

// Guards against a version that degrades at midday and keeps its good estimate for hours.
func TestDegradationIsSeen(t *testing.T) {
	now, rng := start, rand.New(rand.NewPCG(1, 2))
	e := estimator.New(estimator.WithNow(func() time.Time { return now }))
	quality := func(mean float64, n int) float64 {
		for range n {
			now = now.Add(5 * time.Second)
			e.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: mean + 0.2*rng.NormFloat64(), At: now.Add(-time.Minute)})
		}
		q, _, _ := e.Quality("k", target)
		return q
	}
	must.InDelta(t, 0.8, quality(0.8, 2000), 0.03)
	must.Less(t, 0.65, quality(0.5, 100))
}

// Guards against repeated deliveries, ratings that are not numbers, and unbounded memory.
func TestHostileRatings(t *testing.T) {
	now := start
	e := estimator.New(estimator.WithNow(func() time.Time { return now }), estimator.WithLimits(8, 4))
	for range 3 {
		e.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: 7, At: now.Add(time.Hour), Request: "r"})
		e.Add(estimator.Sample{WorkKind: "k", Target: target, Rating: math.NaN(), At: now})
	}
	mean, _, n := e.Quality("k", target)
	must.InDelta(t, 1, n, 1e-9)
	must.InDelta(t, (4*0.5+1)/5, mean, 1e-9)
	for i := range 100 {
		now = now.Add(time.Second)
		e.Add(estimator.Sample{WorkKind: identifier.WorkKind(rune('a' + i)), Target: target, Rating: 1, At: now})
	}
	must.SliceLen(t, 8, e.Export())
}
