// Package spendbencher measures how much of a commitment is used before overflow, and whether the hard limit holds.
package spendbencher
