// Package costbencher measures the cost of a mixed day against the optimum in hindsight and the naive policy.
package costbencher
