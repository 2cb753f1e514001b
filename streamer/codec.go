package streamer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/siskinfront/siskinfront/identifier"
)

// The constant parts of an encoded token frame, each followed by a field's value. AppendFrame writes them and decodeToken
// expects exactly them.
const (
	partSequence = `{"sequence":`
	partRequest  = `,"request-id":"`
	partKind     = `","kind":"token","data":`
)

// AppendFrame appends f to b as one line of JSON. A token frame needs no allocation if b has room.
func AppendFrame(b []byte, f *Frame) ([]byte, error) {
	if f.Kind == KindToken && needsNoEscape(f.Request) && hasOnlyTokenFields(f) {
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

// hasOnlyTokenFields reports whether f has data without a line break and no field that a token frame does not have.
func hasOnlyTokenFields(f *Frame) bool {
	return len(f.Data) > 0 && f.Outcome == "" && f.Code == "" && f.Usage == nil && f.Load == nil && f.Frames == 0 &&
		f.RetryAt.IsZero() && bytes.IndexByte(f.Data, '\n') < 0
}

// needsNoEscape reports whether encoding/json would write a request ID without escape sequences.
func needsNoEscape(r identifier.Request) bool {
	for i := range len(r) {
		if c := r[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// DecodeFrame decodes one line, given without its line break. The result's data may share memory with line. A token frame of
// the request want is decoded without allocation.
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

// decodeToken decodes a token frame of request want without allocation. It reports false for a line that does not have
// the form in which AppendFrame writes such a frame.
func decodeToken(line []byte, want identifier.Request) (Frame, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(partSequence))
	if !ok {
		return Frame{}, false
	}
	var n uint64
	i := 0
	// 18 digits cannot overflow. Numbers that are longer or have a leading zero are left to encoding/json.
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
	if !needsNoEscape(want) || len(rest) < len(want) || string(rest[:len(want)]) != string(want) {
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
