// Package poolsbencher measures how well requests are redirected to other versions while the upstreams of the cheapest version
// refuse them.
package poolsbencher
