// Package floodbencher measures service by rank while one kind of work arrives at ten times the capacity.
package floodbencher
