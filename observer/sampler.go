package observer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// RatingRate bounds the answers per second that the whole deployment submits for rating, because one lease holder
	// fetches all ratings.
	RatingRate = 10
	// ObservationRate bounds the observations of ended attempts per second that the holder of the roll-out lease receives.
	ObservationRate = 20
	// samplerBurst bounds what one entry sends at once after a quiet time.
	samplerBurst = 8
)

// Sampler passes this entry's equal part of a rate of the whole deployment.
type Sampler struct {
	total   float64
	entries func() int
	limiter *rate.Limiter
}

// NewSampler returns a sampler of total events per second over the number of entries that entries returns.
func NewSampler(total float64, entries func() int) *Sampler {
	return &Sampler{total: total, entries: entries, limiter: rate.NewLimiter(rate.Limit(total), samplerBurst)}
}

// Allow reports whether one more event passes now.
func (s *Sampler) Allow(now time.Time) bool { return s.allowAbove(now, 0) }

// allowAbove reports whether one more event passes now and leaves reserve events for others.
func (s *Sampler) allowAbove(now time.Time, reserve float64) bool {
	part := rate.Limit(s.total / math.Max(1, float64(s.entries())))
	if s.limiter.Limit() != part {
		s.limiter.SetLimitAt(now, part)
	}
	return s.limiter.TokensAt(now) >= 1+reserve && s.limiter.AllowN(now, 1)
}
