package streamer

import (
	"errors"
	"fmt"
	"io"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxFrameBytes limits one encoded frame.
	maxFrameBytes = 1 << 20
	// readBufferBytes is the size of the read buffer of a LineReader; a token frame takes about 300 bytes.
	readBufferBytes = 2048
)

// ErrTruncated is returned when a stream ends before its final frame.
var ErrTruncated = errors.New("streamer: stream ended before its final frame")

// ErrWrongRequest is returned for a frame of another request.
var ErrWrongRequest = errors.New("streamer: frame belongs to another request")

// ErrGap is returned when a frame is missing.
var ErrGap = errors.New("streamer: frame is missing")

// Reader reads the frames of one request in order; it is not safe for concurrent use.
type Reader struct {
	lines        *LineReader
	request      identifier.Request
	lastSequence uint64
	duplicates   int64
	final        bool
}

// NewReader returns a reader of the frames of request that follow frame after.
func NewReader(r io.Reader, request identifier.Request, after uint64) *Reader {
	return &Reader{lines: NewLineReader(r, maxFrameBytes), request: request, lastSequence: after}
}

// More reports whether the next frame is already buffered.
func (r *Reader) More() bool {
	return !r.final && r.lines.More()
}

// Next returns the next frame, and io.EOF after the final one. The frame's data is valid until the next call. Frames that
// were read before are skipped; a frame that arrives too early is reported as ErrGap.
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
			return Frame{}, fmt.Errorf("streamer: read frame after %d: %w", r.lastSequence, err)
		}
		f, err := DecodeFrame(line, r.request)
		if err != nil {
			return Frame{}, fmt.Errorf("streamer: after frame %d: %w", r.lastSequence, err)
		}
		if f.Request != r.request {
			return Frame{}, fmt.Errorf("%w: want %s, got %s", ErrWrongRequest, r.request, f.Request)
		}
		if f.Kind == KindHeartbeat {
			return f, nil
		}
		if f.Sequence <= r.lastSequence {
			r.duplicates++
			continue
		}
		if f.Sequence != r.lastSequence+1 {
			return Frame{}, fmt.Errorf("%w: after %d came %d", ErrGap, r.lastSequence, f.Sequence)
		}
		if f.Kind == KindDone && f.Frames != f.Sequence {
			return Frame{}, fmt.Errorf("%w: done counts %d frames, got %d", ErrGap, f.Frames, f.Sequence)
		}
		r.lastSequence = f.Sequence
		r.final = f.Final()
		return f, nil
	}
}

// Last returns the sequence number of the last frame read.
func (r *Reader) Last() uint64 {
	return r.lastSequence
}

// Duplicates returns the number of frames that were skipped because they had been read before.
func (r *Reader) Duplicates() int64 {
	return r.duplicates
}
