package decoder_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against panics on malformed bodies and headers, and against errors without a 4xx status, a code or the outcome not-run.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"auto","messages":[{"role":"user","content":"hello"}]}`), "", "")
	f.Add([]byte(`{"model":"auto","max_tokens":-1,"messages":[null]}`), "false", "2020-01-01T00:00:00Z")
	f.Add([]byte(`{"model":7}`), "no", "9999-12-31T23:59:59Z")
	f.Add([]byte(`{"model":"a","n":1e9,"messages":[{}],"stream_options":null}`), "true", "x")
	f.Add([]byte(""), "", "")
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, body []byte, idempotent, deadline string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
		r.Header[decoder.HeaderIdempotent] = []string{idempotent}
		r.Header[decoder.HeaderDeadline] = []string{deadline}
		req, err := decoder.Decode(r, now)
		if err == nil {
			must.NotEq(t, "", req.Model)
			must.Positive(t, req.PromptTokens)
			must.True(t, req.Deadline.IsZero() || req.Deadline.After(now))
			must.Eq(t, idempotent == "false", req.NonIdempotent)
			return
		}
		var e *decoder.Error
		must.True(t, errors.As(err, &e))
		must.Between(t, 400, e.Status, 499)
		must.NotEq(t, "", e.Code)
		must.Eq(t, streamer.OutcomeNotRun, e.OutcomeOrNotRun())
	})
}
