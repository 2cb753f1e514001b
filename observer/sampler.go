package observer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// RatingRate bounds the answers per second that the whole deployment submits for rating, because a single lease holder
	// fetches all ratings.
	RatingRate = 10
	// ObservationRate bounds the observations of ended attempts per second that the holder of the roll-out lease receives.
	ObservationRate = 20
	// samplerBurst is the number of events that one entry may pass at once after an idle period.
	samplerBurst = 8
)

// Sampler limits events at this entry to an equal share of a rate for the whole deployment, with a token bucket.
type Sampler struct {
	totalRate float64
	entries   func() int
	limiter   *rate.Limiter
}

// NewSampler returns a sampler that shares totalRate events per second evenly among the number of entries that entries returns.
func NewSampler(totalRate float64, entries func() int) *Sampler {
	return &Sampler{totalRate: totalRate, entries: entries, limiter: rate.NewLimiter(rate.Limit(totalRate), samplerBurst)}
}

// Allow reports whether one more event may pass now.
func (s *Sampler) Allow(now time.Time) bool { return s.allowWithReserve(now, 0) }

// allowWithReserve reports whether one more event may pass now; afterwards at least reserve tokens must be left in the bucket.
func (s *Sampler) allowWithReserve(now time.Time, reserve float64) bool {
	entryRate := rate.Limit(s.totalRate / math.Max(1, float64(s.entries())))
	if s.limiter.Limit() != entryRate {
		s.limiter.SetLimitAt(now, entryRate)
	}
	return s.limiter.TokensAt(now) >= 1+reserve && s.limiter.AllowN(now, 1)
}
