package observer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against ratings that the selector asked for and that the random sample crowds out, against a random sample that
// they crowd out in turn, and against more ratings than RatingRate.
func TestRatingSampler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 330).Draw(t, "entries")
		s := NewRatingSampler(func() int { return entries })
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		askedEvery := rapid.IntRange(2, 20).Draw(t, "asked-every")
		now, part := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC), RatingRate/float64(entries)
		// Requests arrive 40 times as often as ratings pass.
		const perRating, ratings = 40, 400
		asked, askedPassed, othersPassed := 0, 0, 0
		for range perRating * ratings {
			now = now.Add(time.Duration(float64(time.Second) / part / perRating))
			if rng.IntN(askedEvery) == 0 {
				asked++
				if s.Allow(now, true) {
					askedPassed++
				}
			} else if s.Allow(now, false) {
				othersPassed++
			}
		}
		if askedPassed+othersPassed > ratings+samplerBurst {
			t.Fatalf("%d ratings passed of %d", askedPassed+othersPassed, ratings)
		}
		if float64(askedPassed) < askedShare*ratings*0.98 {
			t.Fatalf("%d of %d asked passed", askedPassed, asked)
		}
		// Beyond their share the asked ones belong to the random sample, of which the others are the larger part or half.
		if share := 1 - 1/float64(askedEvery); float64(othersPassed) < (1-askedShare)*ratings*share*0.6 {
			t.Fatalf("%d others passed", othersPassed)
		}
	})
	s := NewRatingSampler(func() int { return 1 })
	now := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	for range samplerBurst {
		s.Allow(now, false)
	}
	must.True(t, s.Allow(now, true))
}
