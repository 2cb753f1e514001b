// Package balancer chooses the upstream for a request from delayed information about load, cache contents and failures.
package balancer
