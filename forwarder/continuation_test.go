package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// events returns the events with some ids.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// respondWith returns a responder that writes a status and a body of a type.
func respondWith(status int, contentType, body string) responder {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		if body != "" {
			_, _ = io.WriteString(w, body)
		}
	}
}

// Guards against a stream into which the answer of the next upstream is written although it does not continue the stream, and against one that
// ends as if it were complete (issue 35).
func TestBrokenStreamIsNotContinuedByAnError(t *testing.T) {
	const stream, text = "text/event-stream", "text/plain; charset=utf-8"
	for name, second := range map[string]responder{
		"500":                     respondWith(500, text, "failed\n\n"),
		"503":                     respondWith(503, text, "overloaded\n\n"),
		"400":                     respondWith(400, text, "bad\n\n"),
		"404 with events":         respondWith(404, stream, events(3, 9)),
		"302":                     respondWith(302, text, ""),
		"not run":                 respondNotRun,
		"204":                     respondWith(204, stream, ""),
		"206 with events":         respondWith(206, stream, events(3, 9)),
		"200 of another type":     respondWith(200, text, "upstream is overloaded\n\n"),
		"200 without a body":      respondWith(200, text, ""),
		"200 with an object":      respondWith(200, "application/json", `{"error": "overloaded"}`+"\n\n"),
		"event without id":        respondWith(200, stream, "data: overloaded\n\n"),
		"error event":             respondWith(200, stream, "event: error\ndata: overloaded\n\n"),
		"error text":              respondWith(200, stream, "upstream is overloaded\n\n"),
		"head":                    respondWith(200, stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		"head after a part":       respondWith(200, stream, events(3, 3)+"id: 4\ndata: e4HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
		"from the first event":    respondWith(200, stream, events(1, 9)),
		"nothing, without length": func(w http.ResponseWriter, _ *http.Request, _ int) { respondUnframed(w, "", false) },
		"error without length": func(w http.ResponseWriter, _ *http.Request, _ int) {
			respondUnframed(w, "upstream is overloaded", false)
		},
		"no answer": func(http.ResponseWriter, *http.Request, int) { abort() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
				switch n {
				case 1:
					writeEvents(w, r, 2, 0)
					abort()
				case 2:
					second(w, r, n)
				default:
					writeEvents(w, r, 5, 0)
				}
			})
			x := f.send("/stream/")
			must.NoError(t, x.err)
			must.EqOp(t, http.StatusOK, x.status)
			must.EqOp(t, events(1, 5), x.body)
			must.SliceLen(t, 3, f.requests())
		})
	}
}

// Guards against a stream that looks complete to its caller, or has more than its events, because no upstream continues it (issue 35).
func TestStreamThatNobodyContinues(t *testing.T) {
	for name, second := range map[string]responder{
		"500": respondWith(500, "text/plain", "failed\n\n"), "204": respondWith(204, "text/event-stream", ""),
		"200 of another type": respondWith(200, "text/plain", "overloaded\n\n"), "error event": respondWith(200, "text/event-stream", "data: overloaded\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					writeEvents(w, r, 2, 0)
					abort()
				}
				second(w, r, n)
			})
			x := f.send("/stream/", "Deadline-Ms", "1500")
			must.Error(t, x.err)
			must.EqOp(t, events(1, 2), x.body)
		})
	}
}

// Guards against the head or the text of an error that an upstream writes into its own stream after it has broken off (issue 35).
func TestErrorInsideStream(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nContent-Length: 6\r\n\r\nfailed"
	for name, first := range map[string]string{
		"after an event": events(1, 2) + head, "in an event": events(1, 2) + "id: 3\ndata: e" + head, "text": events(1, 2) + "failed\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					respondUnframed(w, first, false)
					return
				}
				writeEvents(w, r, 5, 0)
			})
			x := f.send("/stream/")
			must.NoError(t, x.err)
			must.EqOp(t, events(1, 5), x.body)
		})
	}
}
