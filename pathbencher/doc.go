// Package pathbencher measures the latency that entry and agent add to a call of the engine, and the memory of an open stream.
package pathbencher
