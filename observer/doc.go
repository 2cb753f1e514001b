// Package observer samples observations of responses and sends them, through one relay entry per data centre, to the holder of
// the roll-out lease.
package observer
