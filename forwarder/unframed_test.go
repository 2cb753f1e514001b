package forwarder_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"

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
