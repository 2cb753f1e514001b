package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxMessage bounds one encoded message in bytes; a full configuration of the target size takes about 200 KB.
const maxMessage = 4 << 20

// ErrTooLarge is returned for a message over the limit.
var ErrTooLarge = errors.New("messenger: message is too large")

// codec frames each message with its length as four bytes, the most significant first.
type codec struct{}

// WriteObject writes one message.
func (codec) WriteObject(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("messenger: encode message: %w", err)
	}
	if len(body) > maxMessage {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(body))
	}
	message := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, err = w.Write(append(message, body...))
	return err
}

// ReadObject reads one message into v; memory grows with the bytes received, not with the announced length.
func (codec) ReadObject(r *bufio.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxMessage {
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
