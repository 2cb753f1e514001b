package selector

import (
	"cmp"
	"slices"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxCascades bounds the number of cascades that one decision compares.
	maxCascades = 12
	// minCascadeRatingWeight is the weight of ratings below which a version's share of answers below the target is too uncertain
	// for a cascade that starts with it.
	minCascadeRatingWeight = 30
)

// cascades returns the cascades of two versions that are worth comparing: those on the hull of all options, then the best ones
// at the current price of quality.
//
// Let c1 be the cost of the first version, p its share of answers below the target and c2 the cost of the second version. The
// cascade then costs c1 + p*c2 plus the price of a rating. Its answers are better than those of either version, because the good
// answers of the first are kept. It is left out when neither the second version alone nor a mixture of single versions of the
// same quality costs more.
func (s *Selector) cascades(p *plan) []option {
	singles := p.options[:p.singleCount]
	singlesHull := hull(singles, p.meanTokens)
	var found []option
	for i := range singles {
		first := &singles[i]
		if first.ratingWeight < minCascadeRatingWeight {
			continue
		}
		for j := range singles {
			if i == j {
				continue
			}
			cascade := s.newCascade(first, &singles[j])
			price := cascade.price(p.meanTokens[0], p.meanTokens[1])
			cheaper := singles[j].quality > first.quality && IsCascadeCheaper(
				first.price(p.meanTokens[0], p.meanTokens[1]), s.ratingPrice,
				singles[j].price(p.meanTokens[0], p.meanTokens[1]), first.belowTargetShare)
			if cheaper || price < hullCost(singlesHull, cascade.quality) {
				found = append(found, cascade)
			}
		}
	}
	return shortlist(found, singles, p.meanTokens, p.control.lambda)
}

// newCascade returns the option that runs the first version and, if its answer is rated below the target, the second one.
func (s *Selector) newCascade(first, second *option) option {
	return option{
		target: first.target, cascade: []identifier.Target{second.target}, exposure: 1, ratingPrice: s.ratingPrice,
		inputPrice:  first.inputPrice + first.belowTargetShare*second.inputPrice,
		outputPrice: first.outputPrice + first.belowTargetShare*second.outputPrice,
		evidence:    cascadeEvidence(&first.evidence, &second.evidence),
	}
}

// shortlist returns at most maxCascades of the cascades. Those on the hull come first, because requests of different sizes use
// different parts of it.
func shortlist(cascades, singles []option, meanTokens [2]float64, lambda float64) []option {
	if len(cascades) <= maxCascades {
		return cascades
	}
	scores := make([]float64, len(cascades))
	order := make([]int, len(cascades))
	maxScore := 0.0
	for i := range cascades {
		order[i] = i
		scores[i] = cascades[i].price(meanTokens[0], meanTokens[1]) - lambda*cascades[i].quality
		maxScore = max(maxScore, scores[i], -scores[i])
	}
	for _, p := range hull(slices.Concat(cascades, singles), meanTokens) {
		if p.index < len(cascades) {
			scores[p.index] -= 3 * maxScore
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
	options := make([]option, 0, maxCascades)
	for _, i := range order[:maxCascades] {
		options = append(options, cascades[i])
	}
	return options
}

// IsCascadeCheaper reports whether running the cheap version first, rating its answer at the price rating, and repeating the
// request on the expensive version with probability shortfall costs less than starting on the expensive version.
func IsCascadeCheaper(cheap, rating, expensive, shortfall float64) bool {
	return cheap+rating+shortfall*expensive < expensive
}
