package storer

import "errors"

// ErrConflict is returned when a condition of a write does not hold; nothing was written.
var ErrConflict = errors.New("storer: conflict")

// ErrNotFound is returned for a key that does not exist.
var ErrNotFound = errors.New("storer: not found")

// ErrUnavailable is returned when the service refused as unavailable, failed or could not be reached; nothing was
// written unless the error also wraps ErrUnknownOutcome.
var ErrUnavailable = errors.New("storer: service unavailable")

// ErrRateLimited is returned when the service refused a request because of its rate limit; nothing was written.
var ErrRateLimited = errors.New("storer: rate limited")

// ErrUnknownOutcome is returned when a write may or may not have taken effect.
var ErrUnknownOutcome = errors.New("storer: outcome unknown")

// ErrRefused is returned for a request that the service rejects as invalid; a retry does not help.
var ErrRefused = errors.New("storer: request refused")

// ErrEarlierEra is returned for a reply from before the last return of the store from an older copy; what a write did is lost.
var ErrEarlierEra = errors.New("storer: reply of an earlier era")

// ErrEraChanged is returned when the store has come back from an older copy between the parts of an operation: the pages of a read, or
// the read on which the condition of a write is based and that write, which may have taken effect.
var ErrEraChanged = errors.New("storer: era has changed")
