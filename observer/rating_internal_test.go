package observer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a random sample that leaves too little of RatingRate to the ratings that the selector requested, against
// requested ratings that leave too little to the random sample, and against more ratings than RatingRate.
func TestRatingSampler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 330).Draw(t, "entries")
		s := NewRatingSampler(func() int { return entries })
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		requestedEvery := rapid.IntRange(2, 20).Draw(t, "asked-every")
		now, entryRate := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC), RatingRate/float64(entries)
		// Answers arrive 40 times as often as ratings may pass.
		const perRating, ratings = 40, 400
		requested, requestedPassed, othersPassed := 0, 0, 0
		for range perRating * ratings {
			now = now.Add(time.Duration(float64(time.Second) / entryRate / perRating))
			if rng.IntN(requestedEvery) == 0 {
				requested++
				if s.Allow(now, true) {
					requestedPassed++
				}
			} else if s.Allow(now, false) {
				othersPassed++
			}
		}
		if requestedPassed+othersPassed > ratings+samplerBurst {
			t.Fatalf("%d ratings passed, want at most about %d", requestedPassed+othersPassed, ratings)
		}
		if float64(requestedPassed) < requestedShare*ratings*0.98 {
			t.Fatalf("%d of %d requested ratings passed", requestedPassed, requested)
		}
		// Requested ratings beyond requestedShare compete in the random sample, in which the others are at least half.
		if share := 1 - 1/float64(requestedEvery); float64(othersPassed) < (1-requestedShare)*ratings*share*0.6 {
			t.Fatalf("%d ratings of the random sample passed", othersPassed)
		}
	})
	s := NewRatingSampler(func() int { return 1 })
	now := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	for range samplerBurst {
		s.Allow(now, false)
	}
	must.True(t, s.Allow(now, true))
}
