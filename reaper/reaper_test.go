package reaper_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/reaper"
)

// bed is a server whose connections a reaper ends.
type bed struct {
	*reaper.Reaper
	server *httptest.Server
	idle   atomic.Int64
}

func newBed(t *testing.T, header, idle time.Duration) *bed {
	t.Helper()
	b := &bed{}
	b.idle.Store(int64(idle))
	b.Reaper = reaper.New(func() (time.Duration, time.Duration) { return header, time.Duration(b.idle.Load()) })
	b.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(2500 * time.Millisecond)
		}
		_, _ = w.Write([]byte("ok"))
	}))
	b.server.Config.ReadHeaderTimeout = time.Minute
	b.Attach(b.server.Config)
	b.server.Start()
	t.Cleanup(b.server.Close)
	ticker := time.NewTicker(100 * time.Millisecond)
	t.Cleanup(ticker.Stop)
	go func() {
		for range ticker.C {
			b.CloseExpired()
		}
	}()
	return b
}

// dial opens a connection and sends a text.
func (b *bed) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte(text))
	must.NoError(t, err)
	return c
}

// closed reports whether the server closes a connection within a time.
func closed(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	return !errors.As(err, &timeout)
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against callers that hold connections without a complete request, also before their first byte.
func TestLateHeaders(t *testing.T) {
	b := newBed(t, 200*time.Millisecond, 0)
	must.True(t, closed(t, b.dial(t, "GET / HTTP/1.1\r\nHost:"), 3*time.Second))
	must.True(t, closed(t, b.dial(t, ""), 3*time.Second))
	must.EqOp(t, 2, b.Counters()["headers-late"])
}

// Guards against idle connections that outlive the limit, also one that a change of the configuration brings.
func TestIdle(t *testing.T) {
	b := newBed(t, 0, 0)
	c := b.dial(t, request)
	must.False(t, closed(t, c, 1500*time.Millisecond))
	b.idle.Store(int64(200 * time.Millisecond))
	must.True(t, closed(t, c, 3*time.Second))
	must.EqOp(t, 1, b.Counters()["connections-idle"])
}

// Guards against a request in progress that is cut by either limit.
func TestRequestInProgress(t *testing.T) {
	b := newBed(t, 200*time.Millisecond, 200*time.Millisecond)
	w, err := http.Get(b.server.URL + "/slow")
	must.NoError(t, err)
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	must.NoError(t, err)
	must.EqOp(t, "ok", string(body))
}
