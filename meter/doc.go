// Package meter collects counters and latencies of a process and serves them in the Prometheus text format.
package meter
