// Package spender spends the commitment to the provider from leased shares, without exceeding the hard limit.
package spender
