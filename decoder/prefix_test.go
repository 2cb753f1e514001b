package decoder_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/decoder"
)

// Guards against different hashes for prompts with the same long prefix, against the same hash for different prefixes, and
// against a hash for a short prompt, whose affinity could direct the request to a busy upstream without any gain.
func TestPrefix(t *testing.T) {
	prefix := func(system, user string) uint64 {
		body := `{"model":"auto","messages":[{"role":"system","content":"` + system + `"},{"role":"user","content":"` + user + `"}]}`
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		req, err := decoder.Decode(r, time.Unix(1_700_000_000, 0))
		must.NoError(t, err)
		return req.Prefix
	}
	longPrompt := strings.Repeat("inspect the circuit ", 60)
	must.NotEq(t, 0, prefix(longPrompt, "one"))
	must.Eq(t, prefix(longPrompt, "one"), prefix(longPrompt, "two"))
	must.NotEq(t, prefix(longPrompt, "one"), prefix("x"+longPrompt, "one"))
	must.NotEq(t, 0, prefix("short", longPrompt))
	must.Eq(t, 0, prefix("short", "one"))
}
