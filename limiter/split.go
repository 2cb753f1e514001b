package limiter

import "slices"

// SplitByDemand divides a deployment-wide limit between entries by their demands: an entry that demands less than an equal
// share gets its demand, and what is then left is divided equally among all, so that the shares add up to the limit.
func SplitByDemand(limit float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	if len(demands) == 0 {
		return shares
	}
	byDemand := make([]int, len(demands))
	for i := range byDemand {
		byDemand[i] = i
	}
	slices.SortStableFunc(byDemand, func(i, j int) int {
		switch {
		case demands[i] < demands[j]:
			return -1
		case demands[i] > demands[j]:
			return 1
		default:
			return 0
		}
	})
	remaining := limit
	for position, i := range byDemand {
		equalShare := remaining / float64(len(byDemand)-position)
		shares[i] = min(max(demands[i], 0), equalShare)
		remaining -= shares[i]
	}
	for i := range shares {
		shares[i] += remaining / float64(len(shares))
	}
	return shares
}
