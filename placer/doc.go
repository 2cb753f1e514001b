// Package placer plans which versions each engine of a data centre has loaded. It decides only; the holder of the
// placement lease sends its orders with the lease's fencing token, and only packages of this module need it.
package placer
