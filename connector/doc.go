// Package connector sends requests to upstreams over persistent HTTP/1.1 connections and never retries a request by itself.
//
// The transport of net/http retries some requests when a persistent connection fails, which is not allowed for a request that may
// run only once.
package connector
