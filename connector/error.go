package connector

import (
	"errors"
	"fmt"
)

// ErrNoResponse is the cause of an Error when the connection ended before a response began.
var ErrNoResponse = errors.New("connection ended without a response")

// ErrHeadTooLarge is the cause of an Error when the head of a response is longer than 256 KiB.
var ErrHeadTooLarge = errors.New("head of the response is too large")

// ErrResponseMismatch is the cause of an Error when the responses on a connection belonged to other requests.
var ErrResponseMismatch = errors.New("responses belong to other requests")

// Error is the error of Send when it got no response.
type Error struct {
	// Step is dial, write or read.
	Step string
	Peer Peer
	// Sent is set if the upstream may have received the request.
	Sent bool
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("connector: %s at %s %s: %v", e.Step, e.Peer.Name, e.Peer.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
