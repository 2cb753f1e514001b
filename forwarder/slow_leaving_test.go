package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against memory, attempts or goroutines that stay after callers that leave at any stage of a response: before its head, while it is
// written, taken over, handed back, paused, and after its upstream has ended it.
func TestCallersLeaveAtEachStage(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
		time.Sleep(5 * time.Millisecond)
		for id := 1; id <= 150; id++ {
			if _, err := io.WriteString(w, largeEvent(id, 4<<10)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	})
	f.serveSlowly()
	before := runtime.NumGoroutine()
	const callers = 48
	for i := range callers {
		path := []string{"/stream/", "/unresumable/", "/once/"}[i%3]
		c := f.open(path, fmt.Sprint("r", i), 5000)
		go func() {
			defer func() { _ = c.Close() }()
			time.Sleep(time.Duration(2*i) * time.Millisecond)
			_ = c.SetReadBuffer(1 << 20)
			_, _ = io.CopyN(io.Discard, bufio.NewReader(c), int64(i%8)*(32<<10))
			time.Sleep(time.Duration(i%5) * 6 * time.Millisecond)
		}()
	}
	await(t, "the end of the requests", func() bool { return f.Counters()["requests"] == callers && f.Active() == 0 })
	must.EqOp(t, 0, f.state().BacklogBytes)
	must.EqOp(t, 0, f.state().SlowCallers)
	await(t, "the end of the goroutines", func() bool {
		f.server.CloseClientConnections()
		// The connections to the two upstreams may stay, with some goroutines each.
		return runtime.NumGoroutine() < before+callers/4
	})
	must.Positive(t, f.Counters()["slow-callers"])
	must.Positive(t, f.Counters()["reads-paused"])
}
