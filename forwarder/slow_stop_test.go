package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/reaper"
)

// Guards against a planned stop that takes a response for ended, or cuts it, because its upstream has ended it while its caller still reads.
func TestStopDeliversBacklog(t *testing.T) {
	const n, size = 50, 4 << 10
	for _, path := range []string{"/stream/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, largeEvents(0, n, size)) })
			connections := reaper.New(reaper.NoLimits)
			f.server = httptest.NewUnstartedServer(f.Forwarder)
			f.server.Listener = connections.Attach(f.server.Config, smallBuffers{f.server.Listener})
			f.server.Start()
			t.Cleanup(f.server.Close)
			ends := f.countEnds()
			c := f.open(path, "r1", 5000)
			await(t, "the end of the attempt", func() bool { return ends.Load() == 1 })
			connections.CloseAfterResponse()
			stopped := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 4500*time.Millisecond)
				defer cancel()
				stopped <- connections.Shutdown(ctx)
			}()
			time.Sleep(700 * time.Millisecond)
			must.EqOp(t, path == "/stream/", f.Streams() == 1)
			must.EqOp(t, 1, f.Active())
			body, err := c.body()
			must.NoError(t, err)
			must.EqOp(t, largeEvents(0, n, size), body)
			must.NoError(t, <-stopped)
		})
	}
}
