// Package poolsbencher measures how requests use other versions while the upstreams of their version refuse them.
package poolsbencher
