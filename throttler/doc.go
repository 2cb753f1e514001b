// Package throttler decides when an entry may send requests to upstreams that name a limit on the requests from all entries
// together.
package throttler
