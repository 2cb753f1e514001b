// Package linearizer checks histories of concurrent calls on claims, leases and configurations for linearizability.
package linearizer
