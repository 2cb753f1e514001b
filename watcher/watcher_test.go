package watcher_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/watcher"
)

// Guards against an engine that counts as unhealthy after fewer than three failed polls or as healthy after three, and against
// loaded versions that are forgotten while it does not respond.
func TestWatcher(t *testing.T) {
	var unresponsive atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !unresponsive.Load() {
			_, _ = io.WriteString(w, `{"loaded":["finch@v1","malformed"]}`)
		}
	}))
	t.Cleanup(s.Close)
	w := watcher.New(netip.MustParseAddrPort(s.Listener.Addr().String()), "")
	must.False(t, w.TargetsKnown())
	w.Poll(t.Context())
	finch := identifier.Target{Model: "finch", Version: "v1"}
	must.True(t, w.TargetsKnown())
	must.Eq(t, []identifier.Target{finch}, w.Targets())
	unresponsive.Store(true)
	for n := range 3 {
		must.True(t, w.Healthy(), must.Sprint(n))
		w.Poll(t.Context())
	}
	must.False(t, w.Healthy())
	must.True(t, w.HasLoaded(finch))
	unresponsive.Store(false)
	w.Poll(t.Context())
	must.True(t, w.Healthy())
	must.NotEq(t, watcher.HashTargets(w.Targets()), watcher.HashTargets(nil))
}
