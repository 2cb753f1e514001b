package connector_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/connector"
)

// rejection returns a response that says that a request did not run; it names the request unless id is empty.
func rejection(id string) string {
	if id != "" {
		id = "X-Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
}

// newCopyingUpstream starts an upstream that answers the first request on its first connection with a response, and sends a copy of it before
// the answer to the next request there.
func newCopyingUpstream(t *testing.T, response func(id string) string) *scriptedUpstream {
	t.Helper()
	var first net.Conn
	var sent string
	return newScriptedUpstream(t, func(w net.Conn, id string) bool {
		first, sent = w, response(id)
		_, err := fmt.Fprint(w, sent)
		return err == nil
	}, func(w net.Conn, id string) bool {
		if w == first {
			_, _ = fmt.Fprint(w, sent)
		}
		return respondOK(w, id)
	})
}

// sendStatus sends a request and returns the status and the body of its response.
func sendStatus(t *testing.T, p *connector.Pool, to connector.Peer, id string) (int, string) {
	t.Helper()
	w, err := p.Send(t.Context(), to, newRequest(id))
	must.NoError(t, err)
	defer w.Close()
	b := make([]byte, 100)
	n := 0
	for {
		m, err := w.Read(b[n:])
		if n += m; err != nil {
			return w.StatusCode, string(b[:n])
		}
	}
}

// Guards against a rejection that a request gets although it runs: a late copy of the rejection of an earlier request, which names none, comes
// where the response to the next request is expected (issue 35).
func TestCopyOfUnnamedResponse(t *testing.T) {
	for name, response := range map[string]string{
		"rejection": rejection(""), "error": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1\r\n\r\nx",
		"empty id": "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id:\r\nContent-Length: 0\r\n\r\n",
		"success":  "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			u := newCopyingUpstream(t, func(string) string { return response })
			p := connector.New(connector.WithEcho(echoHeader))
			sendStatus(t, p, u.peer(), "r1")
			status, body := sendStatus(t, p, u.peer(), "r2")
			must.EqOp(t, http.StatusOK, status)
			must.EqOp(t, "r2", body)
			must.EqOp(t, 2, u.conns.Load())
		})
	}
}

// Guards against a rejection that a repeated request gets although it runs: a late copy of its own first rejection, which names it, comes where
// the response to the repetition is expected (issue 35).
func TestCopyOfOwnRejection(t *testing.T) {
	u := newCopyingUpstream(t, rejection)
	p := connector.New(connector.WithEcho(echoHeader))
	status, _ := sendStatus(t, p, u.peer(), "r1")
	must.EqOp(t, http.StatusServiceUnavailable, status)
	status, body := sendStatus(t, p, u.peer(), "r1")
	must.EqOp(t, http.StatusOK, status)
	must.EqOp(t, "r1", body)
	must.EqOp(t, 2, u.conns.Load())
	// Both connections are kept for other requests, which skip the copy.
	for _, id := range []string{"r2", "r3", "r4"} {
		status, body = sendStatus(t, p, u.peer(), id)
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, id, body)
	}
	must.EqOp(t, 2, u.conns.Load())
}

// Guards against a pool that compares no ids and opens a connection for each request.
func TestConnectionsAreKeptWithoutEcho(t *testing.T) {
	u := newScriptedUpstream(t, func(w net.Conn, _ string) bool {
		_, err := fmt.Fprint(w, rejection(""))
		return err == nil
	})
	p := connector.New()
	for range 3 {
		sendStatus(t, p, u.peer(), "r1")
	}
	must.EqOp(t, 1, u.conns.Load())
}

// Guards against a response that names two requests and is taken for that to either of them (issue 35).
func TestResponseThatNamesTwoRequests(t *testing.T) {
	u := newScriptedUpstream(t, func(w net.Conn, id string) bool {
		fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Request-Id: r0\r\nContent-Length: 0\r\n\r\n", id)
		return respondOK(w, id)
	})
	p := connector.New(connector.WithEcho(echoHeader))
	status, body := sendStatus(t, p, u.peer(), "r1")
	must.EqOp(t, http.StatusOK, status)
	must.EqOp(t, "r1", body)
	must.EqOp(t, 1, p.Counters()["foreign-responses"])
}
