// Package selector decides which version of which model answers a request.
package selector
