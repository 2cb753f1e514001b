package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// copyingUpstream rejects the first request and runs all others. A copy of the rejection comes late: where the answer to the next request on
// the connection is expected.
type copyingUpstream struct {
	// namesRejected is set if the rejection names its request.
	namesRejected bool

	mu       sync.Mutex
	rejected bool
	runs     map[string]int
}

// reject reports whether a request is the first one.
func (u *copyingUpstream) reject() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := !u.rejected
	u.rejected = true
	return first
}

func (u *copyingUpstream) run(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
}

// respond takes over the connection of a request and answers it and all that follow.
func (u *copyingUpstream) respond(w http.ResponseWriter, r *http.Request, _ int) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	pending := ""
	for {
		id := r.Header.Get("Id")
		if u.reject() {
			pending = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
			if u.namesRejected {
				pending += "Id: " + id + "\r\n"
			}
			pending += "\r\n"
			_, _ = io.WriteString(conn, pending)
		} else {
			_, _ = io.WriteString(conn, pending)
			pending = ""
			u.run(id)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: a\r\nContent-Length: 2\r\n\r\nok", id)
		}
		if r, err = http.ReadRequest(bufio.NewReader(rw)); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Guards against a caller that is told that a request did not run while it runs, and against a request that may run only once and runs twice:
// the late copy of a rejection is taken for the answer to the next request on the connection, or to the repetition of the rejected one
// (issue 35).
func TestLateCopyOfRejection(t *testing.T) {
	for _, named := range []bool{false, true} {
		// The second route allows three attempts, the others one and three that may run more than once.
		for _, path := range []string{"/once/", "/public/", "/repeat/"} {
			t.Run(fmt.Sprint(strings.Trim(path, "/"), ", rejection names its request: ", named), func(t *testing.T) {
				u := &copyingUpstream{namesRejected: named, runs: map[string]int{}}
				f := newFixture(t, 1, u.respond)
				for i := range 4 {
					id := fmt.Sprint("r", i)
					x := f.send(path, "Id", id)
					must.NoError(t, x.err)
					u.mu.Lock()
					runs := u.runs[id]
					u.mu.Unlock()
					if x.status == http.StatusServiceUnavailable {
						must.EqOp(t, 0, runs, must.Sprintf("%s: told that it did not run", id))
						continue
					}
					must.EqOp(t, http.StatusOK, x.status)
					must.EqOp(t, 1, runs, must.Sprint(id))
				}
			})
		}
	}
}
