package streamer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/siskinfront/siskinfront/identifier"
)

// The parts of an encoded token frame between its variable fields; AppendFrame and decodeToken rely on them.
const (
	partSequence = `{"sequence":`
	partRequest  = `,"request-id":"`
	partKind     = `","kind":"token","data":`
)

// AppendFrame appends f as one line to b.
func AppendFrame(b []byte, f *Frame) ([]byte, error) {
	if f.Kind == KindToken && isPlain(f.Request) && isBare(f) {
		b = append(b, partSequence...)
		b = strconv.AppendUint(b, f.Sequence, 10)
		b = append(b, partRequest...)
		b = append(b, f.Request...)
		b = append(b, partKind...)
		b = append(b, f.Data...)
		return append(b, "}\n"...), nil
	}
	line, err := json.Marshal(f)
	if err != nil {
		return b, fmt.Errorf("streamer: encode frame %d: %w", f.Sequence, err)
	}
	return append(append(b, line...), '\n'), nil
}

// isBare reports whether f has no field beyond those of a token frame, and data without a line break.
func isBare(f *Frame) bool {
	return len(f.Data) > 0 && f.Outcome == "" && f.Code == "" && f.Usage == nil && f.Load == nil && f.Frames == 0 &&
		f.RetryAt.IsZero() && bytes.IndexByte(f.Data, '\n') < 0
}

// isPlain reports whether a name needs no escape in JSON.
func isPlain(r identifier.Request) bool {
	for i := range len(r) {
		if c := r[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// DecodeFrame decodes one line without its line break; the data of the result may share memory with line.
func DecodeFrame(line []byte, want identifier.Request) (Frame, error) {
	if f, ok := decodeToken(line, want); ok {
		return f, nil
	}
	var f Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return Frame{}, fmt.Errorf("streamer: decode frame: %w", err)
	}
	return f, nil
}

// decodeToken decodes a token frame of the wanted request as AppendFrame writes it, without allocation.
func decodeToken(line []byte, want identifier.Request) (Frame, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(partSequence))
	if !ok {
		return Frame{}, false
	}
	var n uint64
	i := 0
	// 18 digits cannot overflow; longer or zero-led numbers take the general path.
	for i < len(rest) && i < 18 && rest[i] >= '0' && rest[i] <= '9' {
		n = n*10 + uint64(rest[i]-'0')
		i++
	}
	if i == 0 || rest[0] == '0' {
		return Frame{}, false
	}
	if rest, ok = bytes.CutPrefix(rest[i:], []byte(partRequest)); !ok {
		return Frame{}, false
	}
	if !isPlain(want) || len(rest) < len(want) || string(rest[:len(want)]) != string(want) {
		return Frame{}, false
	}
	if rest, ok = bytes.CutPrefix(rest[len(want):], []byte(partKind)); !ok {
		return Frame{}, false
	}
	if rest, ok = bytes.CutSuffix(rest, []byte("}")); !ok || !json.Valid(rest) {
		return Frame{}, false
	}
	return Frame{Sequence: n, Request: want, Kind: KindToken, Data: bytes.TrimSpace(rest)}, true
}
