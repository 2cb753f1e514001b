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

// maxKeptBytes bounds the buffer that is kept for the next event. Without it, a stream with one large event would hold over 1 MiB to its end,
// and the buffers of its later events would be too large to be handed over to a backlog.
const maxKeptBytes = 64 << 10

// ErrEventTooLong is returned for an event of more than 1 MiB.
var ErrEventTooLong = errors.New("relayer: event is too long")

// ErrPartialEvent is returned when the stream ends within an event.
var ErrPartialEvent = errors.New("relayer: stream ended within an event")

// ErrOutOfOrder is returned for an event whose id is not a number or not the one after the last id, or that has no id or several.
var ErrOutOfOrder = errors.New("relayer: event out of order")

// ErrMalformedEvent is returned for an event with a line that is no field, such as the head or the text of an error.
var ErrMalformedEvent = errors.New("relayer: malformed event")

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
	if cap(r.buf) > maxKeptBytes {
		r.buf = nil
	}
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
			return r.buf, r.check()
		}
		if content[0] != ':' {
			r.IsComment = false
		}
	}
}

// Detach leaves the bytes of the last event to their holder, so that they stay valid beyond the next call of Next.
func (r *Reader) Detach() {
	r.buf = nil
}

// check checks the lines of the event in the buffer and that its id follows the last one, and stores the id. Without an id, it is accepted only
// as long as no event of the stream had one.
func (r *Reader) check() error {
	if r.IsComment {
		return nil
	}
	var id []byte
	isFirst := true
	for line := range bytes.Lines(r.buf) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		switch {
		case isField(name), isFirst && hasValue && isOwnField(name):
		default:
			return fmt.Errorf("%w: line %.40q", ErrMalformedEvent, line)
		}
		isFirst = false
		if string(name) != "id" {
			continue
		}
		if id != nil {
			return fmt.Errorf("%w: ids %q and %q in one event", ErrOutOfOrder, id, bytes.TrimSpace(value))
		}
		id = bytes.TrimSpace(value)
	}
	switch {
	case id != nil:
		return r.advance(string(id))
	case r.HasLastID:
		return fmt.Errorf("%w: no id after %d", ErrOutOfOrder, r.LastID)
	default:
		return nil
	}
}

// advance stores the id of an event if it is the one after the last.
func (r *Reader) advance(id string) error {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: id %.40q", ErrOutOfOrder, id)
	}
	if r.HasLastID && n != r.LastID+1 {
		return fmt.Errorf("%w: id %d after %d", ErrOutOfOrder, n, r.LastID)
	}
	r.LastID, r.HasLastID = n, true
	return nil
}

// isField reports whether a line with a name may be in an event: one of the fields of the specification of server-sent events, or a comment,
// which has no name.
func isField(name []byte) bool {
	switch string(name) {
	case "", "id", "data", "event", "retry":
		return true
	default:
		return false
	}
}

// isOwnField reports whether a name may be that of an engine's own field, which only the first line of an event may hold: lower-case letters,
// digits and hyphens.
func isOwnField(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
