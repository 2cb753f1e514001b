// Package limiter bounds retries by a budget and the tokens of each client account by hierarchical token buckets.
package limiter
