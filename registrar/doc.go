// Package registrar keeps the list of upstreams that register themselves in a store. The store's feed may lag, an outage of the
// store may lose registrations, and the store drops the history of its changes.
package registrar
