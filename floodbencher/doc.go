// Package floodbencher measures the service of each rank while the requests of one rank arrive at ten times the capacity.
package floodbencher
