package assembler

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// RatingRate bounds the answers per second that the whole deployment submits for rating, because one lease holder
	// fetches all ratings: at 230 bytes each they take 2.3 KB/s there.
	RatingRate = 10
	// ObservationRate bounds the observations per second that the holder of the roll-out lease receives.
	ObservationRate = 20
	// samplerBurst bounds what one entry sends at once after a quiet time.
	samplerBurst = 8
)

// sampler passes this entry's equal part of a rate of the whole deployment.
type sampler struct {
	total   float64
	entries func() int
	limiter *rate.Limiter
}

func newSampler(total float64, entries func() int) *sampler {
	return &sampler{total: total, entries: entries, limiter: rate.NewLimiter(rate.Limit(total), samplerBurst)}
}

// allow reports whether one more event passes now.
func (s *sampler) allow(now time.Time) bool {
	part := rate.Limit(s.total / math.Max(1, float64(s.entries())))
	if s.limiter.Limit() != part {
		s.limiter.SetLimitAt(now, part)
	}
	return s.limiter.AllowN(now, 1)
}
