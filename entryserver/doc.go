// Package entryserver implements the entry role: it authenticates callers, chooses model, version and upstream, sends the order
// to an agent and passes the response back, whole or as a stream.
package entryserver
