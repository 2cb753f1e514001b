package forwarder_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// respondUnframed writes a response that has neither a length nor chunks and ends with its connection, by a reset if reset is set.
func respondUnframed(w http.ResponseWriter, body string, reset bool) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	var head bytes.Buffer
	_ = w.Header().Write(&head)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n%s", head.String(), body)
	if t, ok := c.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against a stream or an answer that ends with its connection and is cut, or is passed on as whole although it broke off
// (issue 23).
func TestUnframedResponses(t *testing.T) {
	events := func(from, to int) string {
		var b bytes.Buffer
		for i := from; i <= to; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
		}
		return b.String()
	}
	for name, x := range map[string]struct {
		path, first string
		reset       bool
		requests    int
	}{
		"whole stream":         {"/stream/", events(1, 3), false, 1},
		"ends in an event":     {"/stream/", events(1, 1) + "id: 2\ndata: e2\n", false, 2},
		"ends in a line":       {"/stream/", events(1, 2) + "id: 3\nda", false, 2},
		"reset":                {"/stream/", events(1, 2), true, 2},
		"reset in an event":    {"/stream/", events(1, 2) + "id: 3", true, 2},
		"whole answer":         {"/repeat/", events(1, 3), false, 1},
		"answer that is reset": {"/repeat/", events(1, 2), true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					respondUnframed(w, x.first, x.reset)
					return
				}
				writeEvents(w, r, 3, 0)
			})
			w := f.send(x.path)
			must.NoError(t, w.err)
			must.EqOp(t, http.StatusOK, w.status)
			must.EqOp(t, events(1, 3), w.body)
			must.SliceLen(t, x.requests, f.requests())
		})
	}
}

// Guards against a stream that broke off in an event, cannot be resumed and looks whole to its caller (issue 23).
func TestUnframedStreamThatCannotBeResumed(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) {
		respondUnframed(w, "id: 1\ndata: e1\n\nid: 2\n", false)
	})
	w := f.send("/unresumable/")
	must.EqOp(t, http.StatusOK, w.status)
	must.Error(t, w.err)
	must.EqOp(t, "id: 1\ndata: e1\n\n", w.body)
	must.SliceLen(t, 1, f.requests())
}

// Guards against a whole event that is held back until the next one is whole (issue 23).
func TestEventDoesNotWaitForTheNext(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		_, _ = io.WriteString(w, "id: 1\ndata: e1\n\nid: 2\nda")
		w.(http.Flusher).Flush()
		<-release
		_, _ = io.WriteString(w, "ta: e2\n\n")
	})
	t.Cleanup(func() { close(release) })
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/stream/", http.NoBody)
	must.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Authorization", "Bearer key")
	first := make(chan string, 1)
	go func() {
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return
		}
		defer w.Body.Close()
		b := make([]byte, 100)
		n, _ := w.Body.Read(b)
		first <- string(b[:n])
	}()
	select {
	case b := <-first:
		must.EqOp(t, "id: 1\ndata: e1\n\n", b)
	case <-time.After(2 * time.Second):
		t.Fatal("no event within 2 s")
	}
}
