package observer

import "time"

const (
	// askedShare is the part of RatingRate that answers asked for by the selector may take. The rest goes to the random
	// sample, on which the roll-out of versions that the selector does not ask about depends.
	askedShare = 0.75
	// askedReserve is what the random sample leaves in the bucket, so that an answer asked for passes after it.
	askedReserve = samplerBurst / 2
)

// RatingSampler passes this entry's part of RatingRate, answers asked for ahead of the others.
type RatingSampler struct{ all, asked *Sampler }

// NewRatingSampler returns a sampler over the number of entries that entries returns.
func NewRatingSampler(entries func() int) *RatingSampler {
	return &RatingSampler{all: NewSampler(RatingRate, entries), asked: NewSampler(askedShare*RatingRate, entries)}
}

// Allow reports whether one more answer is submitted for rating now; asked tells that the selector asked for it.
func (r *RatingSampler) Allow(now time.Time, asked bool) bool {
	if asked && r.asked.Allow(now) {
		return r.all.Allow(now)
	}
	return r.all.allowAbove(now, askedReserve)
}
