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

// Guards against an engine that counts as unhealthy after one lost answer or as healthy after three, and against versions
// that are forgotten while it does not answer.
func TestEngine(t *testing.T) {
	var silent atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !silent.Load() {
			_, _ = io.WriteString(w, `{"loaded":["finch@v1","malformed"]}`)
		}
	}))
	t.Cleanup(s.Close)
	e := watcher.New(netip.MustParseAddrPort(s.Listener.Addr().String()), "")
	must.False(t, e.TargetsKnown())
	e.Poll(t.Context())
	finch := identifier.Target{Model: "finch", Version: "v1"}
	must.True(t, e.TargetsKnown())
	must.Eq(t, []identifier.Target{finch}, e.Targets())
	silent.Store(true)
	for n := range 3 {
		must.True(t, e.Healthy(), must.Sprint(n))
		e.Poll(t.Context())
	}
	must.False(t, e.Healthy())
	must.True(t, e.HasLoaded(finch))
	silent.Store(false)
	e.Poll(t.Context())
	must.True(t, e.Healthy())
	must.NotEq(t, watcher.HashTargets(e.Targets()), watcher.HashTargets(nil))
}
