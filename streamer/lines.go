package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errLineTooLong is returned for a line longer than the limit.
var errLineTooLong = errors.New("streamer: line is too long")

// LineReader reads lines and reports whether another one is already buffered; it is not safe for concurrent use.
type LineReader struct {
	r *bufio.Reader
	// longLine holds a line that does not fit into the buffer of r.
	longLine     []byte
	maxLineBytes int
}

// NewLineReader returns a reader of lines of at most maxLineBytes bytes, line breaks included.
func NewLineReader(r io.Reader, maxLineBytes int) *LineReader {
	return &LineReader{r: bufio.NewReaderSize(r, readBufferBytes), maxLineBytes: maxLineBytes}
}

// Next returns the next line without its line break; the line is valid until the next call. A last line without a line break
// is dropped, because it may be truncated.
func (l *LineReader) Next() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		l.longLine = l.longLine[:0]
		for errors.Is(err, bufio.ErrBufferFull) && len(l.longLine) <= l.maxLineBytes {
			l.longLine = append(l.longLine, line...)
			line, err = l.r.ReadSlice('\n')
		}
		l.longLine = append(l.longLine, line...)
		line = l.longLine
	}
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	if len(line) > l.maxLineBytes {
		return nil, errLineTooLong
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// More reports whether a complete line is buffered, so that Next returns without waiting.
func (l *LineReader) More() bool {
	// Peek cannot fail for bytes that are already buffered.
	b, _ := l.r.Peek(l.r.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}
