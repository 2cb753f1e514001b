package streamer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/siskinfront/siskinfront/identifier"
)

// maxFrame bounds one encoded frame in bytes.
const maxFrame = 1 << 20

// ErrTruncated is returned when a stream ends before its final frame.
var ErrTruncated = errors.New("streamer: stream ended before its final frame")

// ErrForeign is returned for a frame of another request.
var ErrForeign = errors.New("streamer: frame belongs to another request")

// ErrGap is returned when a frame is missing.
var ErrGap = errors.New("streamer: frame is missing")

// Reader reads the frames of one request in order; it is not safe for concurrent use.
type Reader struct {
	scanner *bufio.Scanner
	request identifier.Request
	last    uint64
	final   bool
}

// NewReader returns a reader of the frames of request that follow frame after.
func NewReader(r io.Reader, request identifier.Request, after uint64) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxFrame)
	return &Reader{scanner: s, request: request, last: after}
}

// Next returns the next frame, io.EOF after the final one, and skips frames that were read before.
func (r *Reader) Next() (Frame, error) {
	for {
		if r.final {
			return Frame{}, io.EOF
		}
		if !r.scanner.Scan() {
			if err := r.scanner.Err(); err != nil {
				return Frame{}, fmt.Errorf("streamer: read frame after %d: %w", r.last, err)
			}
			return Frame{}, ErrTruncated
		}
		var f Frame
		if err := json.Unmarshal(r.scanner.Bytes(), &f); err != nil {
			return Frame{}, fmt.Errorf("streamer: decode frame after %d: %w", r.last, err)
		}
		if f.Request != r.request {
			return Frame{}, fmt.Errorf("%w: want %s, got %s", ErrForeign, r.request, f.Request)
		}
		if f.Kind == KindHeartbeat {
			return f, nil
		}
		if f.Sequence <= r.last {
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

// Writer numbers and writes the frames of one request; it is not safe for concurrent use.
type Writer struct {
	w       io.Writer
	request identifier.Request
	last    uint64
}

// NewWriter returns a writer for the frames of request.
func NewWriter(w io.Writer, request identifier.Request) *Writer {
	return &Writer{w: w, request: request}
}

// Write numbers f and writes it as one line; a heartbeat takes no number.
func (w *Writer) Write(f Frame) error {
	f.Request = w.request
	if f.Kind != KindHeartbeat {
		w.last++
		f.Sequence = w.last
	}
	if f.Kind == KindDone {
		f.Frames = f.Sequence
	}
	b, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("streamer: encode frame %d: %w", w.last, err)
	}
	if _, err := w.w.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("streamer: write frame %d: %w", w.last, err)
	}
	return nil
}
