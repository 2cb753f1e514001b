package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event; usual events of engines have some hundred bytes.
const maxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event of more than 1 MiB.
var ErrEventTooLong = errors.New("relayer: event is too long")

// ErrPartialEvent is returned when the stream ends within an event.
var ErrPartialEvent = errors.New("relayer: stream ended within an event")

// ErrOutOfOrder is returned for an event whose id is not a number or not the one after the last id.
var ErrOutOfOrder = errors.New("relayer: event out of order")

// Reader reads whole events; it is not safe for concurrent use.
type Reader struct {
	br  *bufio.Reader
	buf []byte
	// LastID is the id of the last event, or the id after which the stream starts.
	LastID int64
	// HasLastID is set once LastID is known.
	HasLastID bool
	// IsComment is set if what Next returned has only comments and empty lines, which engines send to keep connections open.
	IsComment bool
}

// NewReader returns a reader of a stream that starts after the event last; hasID is false if that id is not known.
func NewReader(r io.Reader, last int64, hasID bool) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, 2<<10), LastID: last, HasLastID: hasID}
}

// HasNext reports whether the next event was already read whole from the stream.
func (r *Reader) HasNext() bool {
	// Peek of what is buffered returns no error.
	b, _ := r.br.Peek(r.br.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// Next returns the bytes of the next event or comment with the empty line that ends it, valid until the next call. It returns io.EOF
// after the last whole event of a complete stream.
func (r *Reader) Next() ([]byte, error) {
	r.buf, r.IsComment = r.buf[:0], true
	lineStart := 0
	for {
		line, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > 0 {
				return nil, ErrPartialEvent
			}
			return nil, err
		}
		content := bytes.TrimRight(r.buf[lineStart:], "\r\n")
		lineStart = len(r.buf)
		if len(content) == 0 {
			return r.buf, r.checkID()
		}
		if content[0] != ':' {
			r.IsComment = false
		}
	}
}

// checkID checks that the id of the event in the buffer follows the last one and stores it. An event without an id is accepted.
func (r *Reader) checkID() error {
	for line := range bytes.Lines(r.buf) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return fmt.Errorf("%w: id %q", ErrOutOfOrder, bytes.TrimSpace(value))
		}
		if r.HasLastID && n != r.LastID+1 {
			return fmt.Errorf("%w: id %d after %d", ErrOutOfOrder, n, r.LastID)
		}
		r.LastID, r.HasLastID = n, true
		return nil
	}
	return nil
}
