// Package costbencher compares the cost of one day of mixed requests with the optimum in hindsight and with a naive policy.
package costbencher
