package selector

import (
	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// weights are the factors of cost and quality in a score.
type weights struct{ cost, quality float64 }

// weights returns the factors for one request.
func (s *Selector) weights(p *plan, u uint64) weights {
	return weigh(p.lambda, s.factor(), p.worth, unit(u))
}

// factor returns the price factor, from 0 to 1.
func (s *Selector) factor() float64 { return min(max(s.priceFactor(), 0), 1) }

// weigh returns the factors for a request at u of the spread: at list price the price of quality that meets the target, and for
// the share of the cost that the commitment covers anyway, the worth of the answer.
func weigh(lambda, factor, worth, u float64) weights {
	return weights{cost: factor, quality: factor*lambda*(1+spread*(u-0.5)) + (1-factor)*worth}
}

// draw returns the hash of the session, or the next number of a sequence for a request without one.
func (s *Selector) draw(q *Query) uint64 {
	if q.Session == "" {
		return mix(s.sequence.Add(1))
	}
	return mix(xxhash.Sum64String(string(q.Session)) ^ xxhash.Sum64String(string(q.ClientAccount.Name)))
}

func hashTarget(t identifier.Target) uint64 { return xxhash.Sum64String(t.String()) }

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }
