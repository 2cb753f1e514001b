package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event; model workers send some hundred bytes.
const maxEventBytes = 1 << 20

// ErrTooLong is returned for an event of more than 1 MB.
var ErrTooLong = errors.New("relayer: event is too long")

// ErrPartial is returned when the stream ends within an event.
var ErrPartial = errors.New("relayer: stream ended within an event")

// ErrOutOfOrder is returned for an event that repeats or skips one.
var ErrOutOfOrder = errors.New("relayer: event out of order")

// Reader reads whole events; it is not safe for concurrent use.
type Reader struct {
	br  *bufio.Reader
	buf []byte
	// Last is the id of the last event, or that after which the stream starts.
	Last int64
	// HasID is set once an id is known.
	HasID bool
}

// NewReader returns a reader of a stream that starts after the event last; known is false if the first id is not known.
func NewReader(r io.Reader, last int64, known bool) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, 2<<10), Last: last, HasID: known}
}

// Buffered returns the number of bytes that were read and belong to later events.
func (r *Reader) Buffered() int {
	return r.br.Buffered()
}

// Next returns the bytes of the next event with the empty line that ends it, valid until the next call. It returns io.EOF
// after the last whole event of a complete stream.
func (r *Reader) Next() ([]byte, error) {
	r.buf = r.buf[:0]
	start := 0
	for {
		line, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > maxEventBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > 0 {
				return nil, ErrPartial
			}
			return nil, err
		}
		whole := bytes.TrimRight(r.buf[start:], "\r\n")
		start = len(r.buf)
		if len(whole) == 0 {
			return r.buf, r.check()
		}
	}
}

// check takes the id of the event in the buffer.
func (r *Reader) check() error {
	for line := range bytes.Lines(r.buf) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return fmt.Errorf("%w: id %q", ErrOutOfOrder, bytes.TrimSpace(value))
		}
		if r.HasID && n != r.Last+1 {
			return fmt.Errorf("%w: id %d after %d", ErrOutOfOrder, n, r.Last)
		}
		r.Last, r.HasID = n, true
		return nil
	}
	return nil
}
