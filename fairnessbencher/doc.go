// Package fairnessbencher measures the service of small client accounts while a large one demands ten times its share of the
// capacity.
package fairnessbencher
