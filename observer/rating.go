package observer

import "time"

const (
	// requestedShare is the share of RatingRate open to answers whose rating the selector requested. The rest is left to the
	// random sample, on which the roll-out of versions depends for which the selector requests no ratings.
	requestedShare = 0.75
	// requestedReserve is the number of tokens that the random sample must leave in the token bucket, so that a requested
	// rating passes right after it.
	requestedReserve = samplerBurst / 2
)

// RatingSampler limits the answers that this entry submits for rating to its share of RatingRate. Answers whose rating the
// selector requested take precedence over the random sample.
type RatingSampler struct{ all, requested *Sampler }

// NewRatingSampler returns a sampler that shares RatingRate evenly among the number of entries that entries returns.
func NewRatingSampler(entries func() int) *RatingSampler {
	return &RatingSampler{all: NewSampler(RatingRate, entries), requested: NewSampler(requestedShare*RatingRate, entries)}
}

// Allow reports whether one more answer may be submitted for rating now; requested says whether the selector requested it.
func (r *RatingSampler) Allow(now time.Time, requested bool) bool {
	if requested && r.requested.Allow(now) {
		return r.all.Allow(now)
	}
	return r.all.allowWithReserve(now, requestedReserve)
}
