// Package balancer chooses the upstream of a request from aged views of load, cache contents and failures.
package balancer
