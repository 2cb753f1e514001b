package responder

import (
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// MaxStoredBytes bounds the response that is stored with a claim, in bytes; a longer one is not repeated.
const MaxStoredBytes = 256 << 10

// StoredResponse is a complete response as it is stored with a claim.
type StoredResponse struct {
	Status      int
	ContentType string
	Headers     map[string]string
	Body        []byte
}

// Response is what an attempt writes to; Completion and Reply implement it.
type Response interface {
	Started(f *streamer.Frame) error
	Token(f *streamer.Frame) error
	// Flush sends the written parts to the caller; it is called before each wait for a frame.
	Flush()
	// Finish makes the response complete; Send writes what is not written yet.
	Finish(u streamer.Usage) error
	Send() error
	// Begun reports whether the caller has received a part; Reset drops the parts of a failed attempt before that.
	Begun() bool
	Reset()
	// Fail ends a begun response with an error event.
	Fail(e *decoder.Error)
	// Stored is the complete response for storage.
	Stored() StoredResponse
}
