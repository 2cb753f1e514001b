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
	// askedShare is the part of RatingRate that answers asked for by the selector may take. The rest goes to the random
	// sample, on which the roll-out of versions that the selector does not ask about depends.
	askedShare = 0.75
	// askedReserve is what the random sample leaves in the bucket, so that an answer asked for passes after it.
	askedReserve = samplerBurst / 2
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
func (s *sampler) allow(now time.Time) bool { return s.allowAbove(now, 0) }

// allowAbove reports whether one more event passes now and leaves reserve events for others.
func (s *sampler) allowAbove(now time.Time, reserve float64) bool {
	part := rate.Limit(s.total / math.Max(1, float64(s.entries())))
	if s.limiter.Limit() != part {
		s.limiter.SetLimitAt(now, part)
	}
	return s.limiter.TokensAt(now) >= 1+reserve && s.limiter.AllowN(now, 1)
}

// ratingSampler passes this entry's part of RatingRate, answers asked for ahead of the others.
type ratingSampler struct{ all, asked *sampler }

func newRatingSampler(entries func() int) *ratingSampler {
	return &ratingSampler{all: newSampler(RatingRate, entries), asked: newSampler(askedShare*RatingRate, entries)}
}

func (r *ratingSampler) allow(now time.Time, asked bool) bool {
	if asked && r.asked.allow(now) {
		return r.all.allow(now)
	}
	return r.all.allowAbove(now, askedReserve)
}
