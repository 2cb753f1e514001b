// Package spendbencher measures how much of a commitment is used before overflow, and that a hard limit holds.
package spendbencher
