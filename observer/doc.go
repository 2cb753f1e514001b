// Package observer carries sampled observations of responses to the holder of the lease rollouts, through one relay entry
// per data centre.
package observer
