package selector

import (
	"cmp"
	"math"
	"slices"
)

// point is the quality and the cost of one option at the reference size.
type point struct {
	quality, cost float64
	// index is the position of the option in the list that the hull was made of.
	index int
}

// hull returns the lower convex hull of cost over quality, from the cheapest option to the best one.
func hull(options []option, reference [2]float64) []point {
	points := make([]point, 0, len(options))
	for i := range options {
		points = append(points, point{options[i].quality, options[i].price(reference[0], reference[1]), i})
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.quality, a.quality))
	})
	var found []point
	for i := 0; i < len(points); {
		found = append(found, points[i])
		next, slope := len(points), math.Inf(1)
		for j := i + 1; j < len(points); j++ {
			if points[j].quality <= points[i].quality {
				continue
			}
			if d := (points[j].cost - points[i].cost) / (points[j].quality - points[i].quality); d <= slope {
				next, slope = j, d
			}
		}
		i = next
	}
	return found
}

// slope returns the price of quality between two neighbours on the hull.
func slope(a, b point) float64 { return (b.cost - a.cost) / (b.quality - a.quality) }

// frontier returns the price of quality at which the mean of the kind reaches goal on the hull, or the highest one of the hull
// when none does.
func frontier(points []point, goal float64) float64 {
	lambda := 0.0
	for i := range len(points) - 1 {
		if points[i].quality >= goal {
			break
		}
		lambda = slope(points[i], points[i+1])
	}
	return lambda
}

// costAt returns the least cost of a mixture on the hull that reaches quality, and the cost of the best option when none does.
func costAt(points []point, quality float64) float64 {
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
