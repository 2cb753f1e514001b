// Package messenger carries control calls between processes: JSON-RPC 2.0 over TCP with typed handlers, a deadline on
// every call, detection of silent connections, and optional mutual TLS.
package messenger
