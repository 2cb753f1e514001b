package selector

import (
	"cmp"
	"slices"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxCascades bounds the cascades that one decision compares.
	maxCascades = 12
	// cascadeRatings is the weight of ratings below which the shortfall of a version is too uncertain for a cascade.
	cascadeRatings = 30
)

// cascades lists the pairs that beat starting higher: those on the hull of all options, then the best ones at the current
// price of quality.
//
// A cascade of a first version (cost c1, shortfall p) and a second one (cost c2) costs c1 + rating + p*c2. Its answers are better
// than those of either version, because the good ones of the first are kept. It loses when starting on the second version,
// or on a mixture of single versions that is as good as the cascade, costs no more.
func (s *Selector) cascades(p *plan) []option {
	singles := p.options[:p.singles]
	without := hull(singles, p.reference)
	var found []option
	for i := range singles {
		low := &singles[i]
		if low.ratings < cascadeRatings {
			continue
		}
		for j := range singles {
			if i == j {
				continue
			}
			o := s.cascadeOf(low, &singles[j])
			price := o.price(p.reference[0], p.reference[1])
			wins := singles[j].quality > low.quality && IsCascadeCheaper(low.price(p.reference[0], p.reference[1]), s.ratingPrice,
				singles[j].price(p.reference[0], p.reference[1]), low.short)
			if wins || price < costAt(without, o.quality) {
				found = append(found, o)
			}
		}
	}
	return shortlist(found, singles, p.reference, p.control.lambda)
}

// cascadeOf returns the option that runs low and, if its answer is rated short, high.
func (s *Selector) cascadeOf(low, high *option) option {
	return option{
		target: low.target, cascade: []identifier.Target{high.target}, exposure: 1, rating: s.ratingPrice,
		input: low.input + low.short*high.input, output: low.output + low.short*high.output,
		evidence: cascaded(&low.evidence, &high.evidence),
	}
}

// shortlist returns the cascades that a plan compares. Requests of different sizes use different parts of the hull, so its
// cascades come first.
func shortlist(found, singles []option, reference [2]float64, lambda float64) []option {
	if len(found) <= maxCascades {
		return found
	}
	rank := make([]float64, len(found))
	order := make([]int, len(found))
	highest := 0.0
	for i := range found {
		order[i] = i
		rank[i] = found[i].price(reference[0], reference[1]) - lambda*found[i].quality
		highest = max(highest, rank[i], -rank[i])
	}
	for _, p := range hull(slices.Concat(found, singles), reference) {
		if p.index < len(found) {
			rank[p.index] -= 3 * highest
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
	options := make([]option, 0, maxCascades)
	for _, i := range order[:maxCascades] {
		options = append(options, found[i])
	}
	return options
}

// IsCascadeCheaper reports whether running the cheap version first, rating it for the price of rating, and repeating on the
// expensive one with probability shortfall costs less than starting on the expensive one.
func IsCascadeCheaper(cheap, rating, expensive, shortfall float64) bool {
	return cheap+rating+shortfall*expensive < expensive
}
