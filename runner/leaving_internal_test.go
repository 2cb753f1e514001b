package runner

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/registrar"
)

// Guards against requests to an upstream whose report says that it leaves, and against idle connections that stay open to it.
func TestReportAnnouncesLeaving(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Leaving", "1") }))
	t.Cleanup(s.Close)
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", nil)
	r.platform.ReportPath = "/report"
	r.platform.Report = func(body io.Reader) (forwarder.Report, error) {
		_, err := io.Copy(io.Discard, body)
		return forwarder.Report{}, err
	}
	u := &registrar.Upstream{
		Name: "a", Service: "s", Version: "v1", Slots: 1, StartMillis: 1, Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
	}
	peer := connector.Peer{Name: u.Incarnation(), Address: u.Address}
	r.registrar.Apply([]registrar.Change{{Name: u.Name, Upstream: u}}, true)
	must.True(t, r.directory.isAvailable(peer.Name))
	_, err := r.probe(t.Context(), u, peer.Name)
	must.NoError(t, err)
	must.False(t, r.directory.isAvailable(peer.Name))
	must.EqOp(t, 1, r.pool.OpenConnections(peer))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.sweepPeriodically(ctx) }()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2500*time.Millisecond), wait.Gap(20*time.Millisecond), wait.BoolFunc(func() bool {
		return r.pool.OpenConnections(peer) == 0
	})))
	cancel()
	must.NoError(t, <-done)
}

// Guards against requests to an upstream that answered a request for its report with a pause (issue 26).
func TestReportAsksForPause(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "20")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", nil)
	r.platform.ReportPath = "/report"
	r.platform.Report = func(io.Reader) (forwarder.Report, error) { return forwarder.Report{}, nil }
	u := &registrar.Upstream{Name: "a", Service: "s", Slots: 1, StartMillis: 1, Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
	_, err := r.probe(t.Context(), u, u.Incarnation())
	must.NoError(t, err)
	must.True(t, r.sharing.throttler.IsPaused(u.Incarnation()))
}

// Guards against an upstream whose limit is forgotten when its registration lapses (issue 26).
func TestLimitOutlivesRegistration(t *testing.T) {
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", nil)
	u := &registrar.Upstream{Name: "a", Service: "s", Slots: 1, StartMillis: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	r.registrar.Apply([]registrar.Change{{Name: u.Name, Upstream: u}}, true)
	r.sharing.throttler.Observe(u.Incarnation(), 0.1)
	must.False(t, r.sharing.throttler.Take(u.Incarnation()))
	r.registrar.Apply([]registrar.Change{{Name: u.Name}}, false)
	ctx, cancel := context.WithTimeout(t.Context(), sweepInterval*3/2)
	defer cancel()
	must.NoError(t, r.sweepPeriodically(ctx))
	r.registrar.Apply([]registrar.Change{{Name: u.Name, Upstream: u}}, false)
	must.False(t, r.sharing.throttler.Take(u.Incarnation()))
}
