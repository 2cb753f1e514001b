// Package placer plans which versions each engine of a data centre loads. It only computes orders; the holder of the
// placement lease sends them with the fencing token of the lease. It is meant for the packages of this module only.
package placer
