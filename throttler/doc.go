// Package throttler decides when an entry may send requests to upstreams that ask for fewer: by a limit on the requests from all
// entries together, or by a pause for one entry.
package throttler
