package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// errBodyMemory is returned when the bodies in memory leave no room for more of a request's body.
var errBodyMemory = errors.New("forwarder: no memory for the request body")

// readBody reads the whole body, so that a slow caller occupies no upstream and the request can be sent again.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, q *request) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := q.table.Limits.BodyBytes
	if limit <= 0 {
		limit = f.maxBodyBytes
	}
	if r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", closeConnection: true}
	}
	control := http.NewResponseController(w)
	// A response recorder in tests supports no deadlines.
	_ = control.SetReadDeadline(q.deadline)
	b, err := f.readReserved(r, q, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		q.connectionEnd, _ = f.ConnectionEnd(r.Context())
	}
	switch {
	case err == nil:
	case errors.Is(err, errBodyMemory):
		return &refusal{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: entryRetryAfter, closeConnection: true}
	case errors.Is(err, context.Canceled) || errors.Is(err, io.ErrUnexpectedEOF):
		return &refusal{status: http.StatusBadRequest, reason: "body-incomplete", closeConnection: true}
	default:
		return &refusal{status: http.StatusRequestTimeout, reason: "body-late", closeConnection: true}
	}
	if int64(len(b)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", closeConnection: true}
	}
	q.body = b
	return nil
}

// readReserved reads up to limit+1 bytes of the body into memory that it reserves first.
func (f *Forwarder) readReserved(r *http.Request, q *request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(&reservingReader{f: f, q: q, r: io.LimitReader(r.Body, limit+1)})
	}
	if !f.reserveBody(q, r.ContentLength) {
		return nil, errBodyMemory
	}
	b := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, b)
	return b, err
}

// reserveBody reserves memory for n more bytes of a request's body, and reports whether there is any.
func (f *Forwarder) reserveBody(q *request, n int64) bool {
	if f.bodyBytes.Add(n) > f.maxBodyBytes {
		f.bodyBytes.Add(-n)
		return false
	}
	q.reservedBytes += n
	return true
}

// releaseBody releases what was reserved for the body of a request.
func (f *Forwarder) releaseBody(q *request) {
	f.bodyBytes.Add(-q.reservedBytes)
	q.reservedBytes = 0
}

// reservingReader reserves memory for a body of unknown length as it arrives.
type reservingReader struct {
	f *Forwarder
	q *request
	r io.Reader
}

// Read reads from the body, or returns errBodyMemory if there is no memory for what it read.
func (b *reservingReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 && !b.f.reserveBody(b.q, int64(n)) {
		return 0, errBodyMemory
	}
	return n, err
}
