package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errLineTooLong is returned for a line over the limit.
var errLineTooLong = errors.New("streamer: line is too long")

// LineReader reads lines and tells whether another one can be read without waiting; it is not safe for concurrent use.
type LineReader struct {
	r *bufio.Reader
	// long holds a line that does not fit the buffer.
	long  []byte
	limit int
}

// NewLineReader returns a reader of lines of at most limit bytes.
func NewLineReader(r io.Reader, limit int) *LineReader {
	return &LineReader{r: bufio.NewReaderSize(r, readBuffer), limit: limit}
}

// Next returns the next line without its line break, which is valid until the next call. A last line without line break
// is dropped, because it may have been cut off.
func (l *LineReader) Next() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		l.long = l.long[:0]
		for errors.Is(err, bufio.ErrBufferFull) && len(l.long) <= l.limit {
			l.long = append(l.long, line...)
			line, err = l.r.ReadSlice('\n')
		}
		l.long = append(l.long, line...)
		line = l.long
	}
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	if len(line) > l.limit {
		return nil, errLineTooLong
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// More reports whether a whole line is in the buffer, so that Next does not wait.
func (l *LineReader) More() bool {
	// Peek of the buffered bytes never fails.
	b, _ := l.r.Peek(l.r.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}
