// Package slopesbencher measures how the cost of each component grows with its size, fits straight lines, and extrapolates
// them to the target size.
package slopesbencher
