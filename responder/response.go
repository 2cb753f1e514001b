package responder

import (
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// MaxStoredBytes bounds the body of a response that is stored with a claim; a longer one is not stored, so a repeated request
// can't get it again.
const MaxStoredBytes = 256 << 10

// StoredResponse is a complete response in the form in which it is stored with a claim.
type StoredResponse struct {
	Status      int
	ContentType string
	Headers     map[string]string
	Body        []byte
}

// Response receives the frames of an attempt and writes the response to the caller; Completion and Reply implement it.
type Response interface {
	Started(f *streamer.Frame) error
	Token(f *streamer.Frame) error
	// Flush sends what has been written to the caller; it is called before each wait for a frame.
	Flush()
	// Finish completes the response; Send writes what has not been written yet.
	Finish(u streamer.Usage) error
	Send() error
	// Begun reports whether part of the response has been written to the caller; until then, Reset discards what a failed attempt
	// has produced.
	Begun() bool
	Reset()
	// Fail ends a response of which part has been written with an error event.
	Fail(e *decoder.Error)
	// Stored returns the complete response for storage with the claim.
	Stored() StoredResponse
}
