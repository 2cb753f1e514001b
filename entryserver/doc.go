// Package entryserver is the entry role: it authenticates callers, chooses model, version and upstream, forwards the
// request to an agent and streams the answer back.
package entryserver
