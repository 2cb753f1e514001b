package streamer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against a response of an agent whose head fills the memory (issue 23).
func TestLongHeadIsRefused(t *testing.T) {
	head := strings.Repeat("x", 1<<20)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", head)
	}))
	t.Cleanup(s.Close)
	c := streamer.NewClient()
	t.Cleanup(c.Close)
	_, err := c.Open(t.Context(), netip.MustParseAddrPort(s.Listener.Addr().String()), &streamer.Order{Request: "r1", Attempt: 1}, nil)
	must.ErrorContains(t, err, "exceeded")
}
