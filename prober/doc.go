// Package prober decides which of an entry's followers calls a store that is out: one probes, the others wait for its success. It calls
// nothing itself.
package prober
