package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
)

// smallBuffers is a listener whose connections send into small buffers, so that writes to a caller who does not read block soon.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(8 << 10)
}

// serveSlowly lets callers reach the forwarder through small buffers.
func (f *fixture) serveSlowly() {
	s := httptest.NewUnstartedServer(f.Forwarder)
	s.Listener = smallBuffers{s.Listener}
	s.Start()
	f.t.Cleanup(s.Close)
	f.server = s
}

// slowCaller is a caller that reads its response only when it is told to.
type slowCaller struct {
	*net.TCPConn
	t *testing.T
}

// open sends a request whose response is not read yet.
func (f *fixture) open(path, id string, deadlineMs int) slowCaller {
	f.t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	must.NoError(f.t, c.(*net.TCPConn).SetReadBuffer(8<<10))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody",
		path, id, deadlineMs)
	must.NoError(f.t, err)
	return slowCaller{c.(*net.TCPConn), f.t}
}

// body reads the response to its end.
func (c slowCaller) body() (string, error) {
	c.t.Helper()
	must.NoError(c.t, c.SetReadBuffer(1<<20))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(c.t, err)
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return string(b), err
}

// state returns the state dump of the forwarder.
func (f *fixture) state() forwarder.State {
	return f.State().(forwarder.State)
}

// await waits until a condition holds, for at most 3 s.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 3*time.Second {
			t.Fatal("not within 3 s: " + what)
		}
	}
}

// stalls measures for how long the machine was too busy to wake a goroutine in time, which bounds of real time leave out. It returns a
// function that ends the measurement and returns that time, which is 0 if all wake-ups were late by at most 5 ms.
func stalls(t *testing.T) func() time.Duration {
	const interval = 5 * time.Millisecond
	stop, result := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		total := time.Duration(0)
		for {
			begin := time.Now()
			select {
			case <-stop:
				result <- total
				return
			case <-t.Context().Done():
				return
			case <-time.After(interval):
				total += max(time.Since(begin)-2*interval, 0)
			}
		}
	}()
	return func() time.Duration {
		close(stop)
		return <-result
	}
}

// countEnds counts the attempts that have ended.
func (f *fixture) countEnds() *atomic.Int64 {
	var n atomic.Int64
	f.OnAttemptEnd = func(forwarder.Attempt) { n.Add(1) }
	return &n
}

// largeEvent returns an event of size bytes.
func largeEvent(id, size int) string {
	s := fmt.Sprintf("id: %d\ndata: ", id)
	return s + strings.Repeat("x", size-len(s)-2) + "\n\n"
}

// largeEvents returns the events from the one after last up to n.
func largeEvents(last, n, size int) string {
	var b strings.Builder
	for id := last + 1; id <= n; id++ {
		b.WriteString(largeEvent(id, size))
	}
	return b.String()
}

// lastEventID returns the id after which a request continues a stream.
func lastEventID(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return n
}
