package streamer

import (
	"errors"
	"fmt"
	"io"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxFrame bounds one encoded frame in bytes.
	maxFrame = 1 << 20
	// readBuffer is the initial size of the line buffer in bytes; a token frame takes about 300.
	readBuffer = 2048
)

// ErrTruncated is returned when a stream ends before its final frame.
var ErrTruncated = errors.New("streamer: stream ended before its final frame")

// ErrWrongRequest is returned for a frame of another request.
var ErrWrongRequest = errors.New("streamer: frame belongs to another request")

// ErrGap is returned when a frame is missing.
var ErrGap = errors.New("streamer: frame is missing")

// Reader reads the frames of one request in order; it is not safe for concurrent use.
type Reader struct {
	lines      *LineReader
	request    identifier.Request
	last       uint64
	duplicates int64
	final      bool
}

// NewReader returns a reader of the frames of request that follow frame after.
func NewReader(r io.Reader, request identifier.Request, after uint64) *Reader {
	return &Reader{lines: NewLineReader(r, maxFrame), request: request, last: after}
}

// More reports whether the next frame can be read without waiting.
func (r *Reader) More() bool {
	return !r.final && r.lines.More()
}

// Next returns the next frame, whose data is valid until the next call, and io.EOF after the final one. Frames that
// were read before are skipped; a frame out of order shows as ErrGap.
func (r *Reader) Next() (Frame, error) {
	for {
		if r.final {
			return Frame{}, io.EOF
		}
		line, err := r.lines.Next()
		if errors.Is(err, io.EOF) {
			return Frame{}, ErrTruncated
		}
		if err != nil {
			return Frame{}, fmt.Errorf("streamer: read frame after %d: %w", r.last, err)
		}
		f, err := DecodeFrame(line, r.request)
		if err != nil {
			return Frame{}, fmt.Errorf("streamer: after frame %d: %w", r.last, err)
		}
		if f.Request != r.request {
			return Frame{}, fmt.Errorf("%w: want %s, got %s", ErrWrongRequest, r.request, f.Request)
		}
		if f.Kind == KindHeartbeat {
			return f, nil
		}
		if f.Sequence <= r.last {
			r.duplicates++
			continue
		}
		if f.Sequence != r.last+1 {
			return Frame{}, fmt.Errorf("%w: after %d came %d", ErrGap, r.last, f.Sequence)
		}
		if f.Kind == KindDone && f.Frames != f.Sequence {
			return Frame{}, fmt.Errorf("%w: done counts %d frames, got %d", ErrGap, f.Frames, f.Sequence)
		}
		r.last = f.Sequence
		r.final = f.Final()
		return f, nil
	}
}

// Last returns the number of the last frame read.
func (r *Reader) Last() uint64 {
	return r.last
}

// Duplicates returns the number of frames that were skipped because they had been read before.
func (r *Reader) Duplicates() int64 {
	return r.duplicates
}
