// Package registrar keeps the list of upstreams that register themselves in a store which lags, loses entries while it is
// out, and forgets its history.
package registrar
