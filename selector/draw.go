package selector

import (
	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// scoreWeights are the factors of cost and quality in a score; the score is the weighted cost minus the weighted quality, and the
// option with the lowest score is selected.
type scoreWeights struct{ cost, quality float64 }

// requestWeights returns the weights for the request with the given hash.
func (s *Selector) requestWeights(p *plan, hash uint64) scoreWeights {
	return newScoreWeights(p.lambda, s.clampedPriceFactor(), p.worth, unitInterval(hash))
}

// clampedPriceFactor returns the price factor, limited to the range from 0 to 1.
func (s *Selector) clampedPriceFactor() float64 { return min(max(s.priceFactor(), 0), 1) }

// newScoreWeights returns the weights for a request at a position from 0 to 1 in the spread of the price of quality. Quality is
// valued at lambda, the price of quality that meets the target, for the share of the list price that is paid, and at the worth of
// the answer for the share that the commitment covers anyway.
func newScoreWeights(lambda, priceFactor, worth, position float64) scoreWeights {
	return scoreWeights{cost: priceFactor, quality: priceFactor*lambda*(1+lambdaSpread*(position-0.5)) + (1-priceFactor)*worth}
}

// requestHash returns the hash of the request's session, or a pseudorandom number for a request without a session.
func (s *Selector) requestHash(q *Query) uint64 {
	if q.Session == "" {
		return splitMix64(s.sequence.Add(1))
	}
	return splitMix64(xxhash.Sum64String(string(q.Session)) ^ xxhash.Sum64String(string(q.ClientAccount.Name)))
}

func hashTarget(t identifier.Target) uint64 { return xxhash.Sum64String(t.String()) }

// splitMix64 is one step of the SplitMix64 generator with the state x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps x to [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
