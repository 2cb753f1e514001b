// Package connector sends requests to upstreams over kept HTTP/1.1 connections and never repeats one by itself.
//
// The transport of net/http sends some requests again when a kept connection fails, which a request that may run only
// once does not permit.
package connector
