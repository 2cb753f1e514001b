package connector

import (
	"io"
)

// maxHeadBytes bounds the head of a response together with the informational responses before it, and what is read ahead of its body.
const maxHeadBytes = 256 << 10

// headReader reads from a connection and bounds what is read of a head. The parser of net/http reads a line and a list of headers of
// any length into memory.
type headReader struct {
	r io.Reader
	// inHead is set while a head is read, of which left bytes may follow, and exceeded once there were more.
	inHead, exceeded bool
	left             int
}

// begin bounds what is read from now on.
func (h *headReader) begin() {
	h.inHead, h.exceeded, h.left = true, false, maxHeadBytes
}

// end ends the bound.
func (h *headReader) end() {
	h.inHead = false
}

// Read reads from the connection; within a head that is too large it returns ErrHeadTooLarge.
func (h *headReader) Read(b []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(b)
	}
	if h.left <= 0 {
		h.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := h.r.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}
