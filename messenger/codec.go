package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxMessageBytes bounds one encoded message; the configuration of a deployment of the largest supported size takes about 200 KB.
const maxMessageBytes = 4 << 20

// ErrTooLarge is returned for a message that exceeds the size limit of 4 MiB.
var ErrTooLarge = errors.New("messenger: message is too large")

// codec encodes messages as JSON, each prefixed with its length as a 32-bit big-endian integer.
type codec struct{}

// WriteObject writes one message.
func (codec) WriteObject(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("messenger: encode message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(body))
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// ReadObject reads one message into v; it allocates memory for the bytes received, not for the length in the prefix.
func (codec) ReadObject(r *bufio.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes announced", ErrTooLarge, n)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return err
	}
	if len(body) < int(n) {
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("messenger: decode message: %w", err)
	}
	return nil
}
