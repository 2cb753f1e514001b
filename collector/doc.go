// Package collector decides which entry collects the tallies of a roll-out for others, which calls it holds, and when it steps. It has no
// network, and its callers tell it the time.
package collector
