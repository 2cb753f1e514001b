package limiter

import "slices"

// Split divides a deployment-wide limit between entries by their demands: an entry that asks for less than an equal
// part gets what it asks for, and what is left is divided equally among all, so that the shares add up to the limit.
func Split(limit float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	if len(demands) == 0 {
		return shares
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		switch {
		case demands[i] < demands[j]:
			return -1
		case demands[i] > demands[j]:
			return 1
		default:
			return 0
		}
	})
	left := limit
	for at, i := range order {
		equal := left / float64(len(order)-at)
		shares[i] = min(max(demands[i], 0), equal)
		left -= shares[i]
	}
	for i := range shares {
		shares[i] += left / float64(len(shares))
	}
	return shares
}
