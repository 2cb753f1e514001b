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

// Guards against requests with the same long start that have different prefixes, against different starts with the same
// one, and against a prefix of a short prompt, which would bind the request to busy upstreams for nothing.
func TestPrefix(t *testing.T) {
	prefix := func(system, user string) uint64 {
		body := `{"model":"auto","messages":[{"role":"system","content":"` + system + `"},{"role":"user","content":"` + user + `"}]}`
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		req, err := decoder.Decode(r, time.Unix(1_700_000_000, 0))
		must.NoError(t, err)
		return req.Prefix
	}
	long := strings.Repeat("inspect the circuit ", 60)
	must.NotEq(t, 0, prefix(long, "one"))
	must.Eq(t, prefix(long, "one"), prefix(long, "two"))
	must.NotEq(t, prefix(long, "one"), prefix("x"+long, "one"))
	must.NotEq(t, 0, prefix("short", long))
	must.Eq(t, 0, prefix("short", "one"))
}
