package selector

import (
	"cmp"
	"math"
	"slices"
)

// point is the quality and the cost of one option for a request of the mean size.
type point struct {
	quality, cost float64
	// index is the index of the option in the list that was passed to hull.
	index int
}

// hull returns the lower convex hull of cost over quality for requests of the mean size, from the cheapest option to the one with
// the highest quality.
func hull(options []option, meanTokens [2]float64) []point {
	sorted := make([]point, 0, len(options))
	for i := range options {
		sorted = append(sorted, point{options[i].quality, options[i].price(meanTokens[0], meanTokens[1]), i})
	}
	slices.SortFunc(sorted, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.quality, a.quality))
	})
	var points []point
	for i := 0; i < len(sorted); {
		points = append(points, sorted[i])
		next, minSlope := len(sorted), math.Inf(1)
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].quality <= sorted[i].quality {
				continue
			}
			if pairSlope := (sorted[j].cost - sorted[i].cost) / (sorted[j].quality - sorted[i].quality); pairSlope <= minSlope {
				next, minSlope = j, pairSlope
			}
		}
		i = next
	}
	return points
}

// slope returns the price of quality between two neighbours on the hull.
func slope(a, b point) float64 { return (b.cost - a.cost) / (b.quality - a.quality) }

// hullLambda returns the price of quality at which a mixture on the hull reaches the quality goal, or the highest price on the
// hull when no mixture does.
func hullLambda(points []point, goal float64) float64 {
	lambda := 0.0
	for i := range len(points) - 1 {
		if points[i].quality >= goal {
			break
		}
		lambda = slope(points[i], points[i+1])
	}
	return lambda
}

// hullCost returns the lowest cost of a mixture on the hull that reaches quality, or the cost of the best option when none does.
func hullCost(points []point, quality float64) float64 {
	for i, p := range points {
		if p.quality < quality {
			continue
		}
		if i == 0 {
			return p.cost
		}
		return p.cost - slope(points[i-1], p)*(p.quality-quality)
	}
	return points[len(points)-1].cost
}
