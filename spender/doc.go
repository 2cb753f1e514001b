// Package spender spends a commitment to the provider from leased shares, never beyond the hard limit.
package spender
