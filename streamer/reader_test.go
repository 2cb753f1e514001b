package streamer_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const request identifier.Request = "0190-a"

func encodeLine(t testing.TB, f streamer.Frame) string {
	t.Helper()
	if f.Request == "" {
		f.Request = request
	}
	b, err := streamer.AppendFrame(nil, &f)
	must.NoError(t, err)
	return string(b)
}

func token(n uint64) streamer.Frame {
	return streamer.Frame{Sequence: n, Kind: streamer.KindToken, Data: json.RawMessage(`{"n":1}`)}
}

// Guards against a response that counts as complete although frames are lost, repeated, reordered, truncated or of another
// request.
func TestReader(t *testing.T) {
	done := func(n, count uint64) streamer.Frame {
		return streamer.Frame{Sequence: n, Kind: streamer.KindDone, Frames: count}
	}
	otherRequest := token(2)
	otherRequest.Request = "0190-b"
	cases := []struct {
		name   string
		frames []streamer.Frame
		want   []uint64
		end    error
	}{
		{"in order", []streamer.Frame{token(1), token(2), done(3, 3)}, []uint64{1, 2, 3}, io.EOF},
		{"duplicate", []streamer.Frame{token(1), token(1), token(2), done(3, 3)}, []uint64{1, 2, 3}, io.EOF},
		{"late duplicate", []streamer.Frame{token(1), token(2), token(1), done(3, 3)}, []uint64{1, 2, 3}, io.EOF},
		{"gap", []streamer.Frame{token(1), token(3)}, []uint64{1}, streamer.ErrGap},
		{"reordered", []streamer.Frame{token(2), token(1)}, nil, streamer.ErrGap},
		{"other request", []streamer.Frame{token(1), otherRequest}, []uint64{1}, streamer.ErrWrongRequest},
		{"truncated", []streamer.Frame{token(1)}, []uint64{1}, streamer.ErrTruncated},
		{"wrong count", []streamer.Frame{token(1), done(2, 3)}, []uint64{1}, streamer.ErrGap},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var b strings.Builder
			for _, f := range tc.frames {
				b.WriteString(encodeLine(t, f))
			}
			r := streamer.NewReader(strings.NewReader(b.String()), request, 0)
			var got []uint64
			for {
				f, err := r.Next()
				if err != nil {
					must.ErrorIs(t, err, tc.end)
					break
				}
				got = append(got, f.Sequence)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// Guards against results of the decoder's fast path for token frames that differ from those of encoding/json, and against
// panics on any input.
func FuzzDecodeFrame(f *testing.F) {
	full := streamer.Frame{
		Sequence: 7, Request: request, Kind: streamer.KindDone, Frames: 7, Outcome: streamer.OutcomeRun,
		Usage: &streamer.Usage{PromptTokens: 1}, Load: &streamer.Load{Queued: []int{1}}, RetryAt: time.Unix(1, 0).UTC(),
	}
	for _, s := range []string{
		encodeLine(f, token(1)), encodeLine(f, full), `{"sequence":01,"request-id":"0190-a","kind":"token","data":1}`,
		`{"sequence":1,"request-id":"0190-a","kind":"token","data":{},"outcome":"run"}`, `{"sequence":1`, "",
	} {
		f.Add([]byte(strings.TrimSpace(s)))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := streamer.DecodeFrame(bytes.Clone(in), request)
		var want streamer.Frame
		wantErr := json.Unmarshal(in, &want)
		must.Eq(t, wantErr == nil, err == nil)
		if err != nil {
			return
		}
		a, errA := json.Marshal(got)
		b, errB := json.Marshal(want)
		must.NoError(t, errors.Join(errA, errB))
		must.Eq(t, string(b), string(a))
		encoded, err := streamer.AppendFrame(nil, &got)
		must.NoError(t, err)
		again, err := streamer.DecodeFrame(bytes.TrimSuffix(encoded, []byte("\n")), got.Request)
		must.NoError(t, err)
		must.Eq(t, got.Sequence, again.Sequence)
		must.Eq(t, got.Kind, again.Kind)
	})
}

func benchmarkFrame() streamer.Frame {
	f := token(123)
	f.Request = "0190b5c8-7f3c-7cc0-8000-1234567890ab"
	f.Data = json.RawMessage(`{"id":"chatcmpl-0190b5c8","object":"chat.completion.chunk","created":1733258000,` +
		`"model":"finch-small@v1","choices":[{"index":0,"delta":{"role":"assistant","content":"t12 "},"finish_reason":null}]}`)
	return f
}

func BenchmarkAppendFrame(b *testing.B) {
	f := benchmarkFrame()
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if buf, err = streamer.AppendFrame(buf[:0], &f); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeFrame(b *testing.B) {
	f := benchmarkFrame()
	in := []byte(strings.TrimSpace(encodeLine(b, f)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := streamer.DecodeFrame(in, f.Request); err != nil {
			b.Fatal(err)
		}
	}
}
