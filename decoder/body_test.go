package decoder_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/decoder"
)

// Guards against a 413 response that the caller never sees because the connection is reset while it is still sending the body.
// Client libraries that read the response only after sending the body report that as a lost connection.
func TestOversizeBodyIsDiscarded(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := decoder.ReadBody(r)
		var e *decoder.Error
		if errors.As(err, &e) {
			e.Write(w, time.Now())
		}
	}))
	defer s.Close()
	const size = 40 << 20
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	must.NoError(t, err)
	part := make([]byte, 1<<20)
	for range size / len(part) {
		_, err = c.Write(part)
		must.NoError(t, err)
	}
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	defer w.Body.Close()
	must.EqOp(t, http.StatusRequestEntityTooLarge, w.StatusCode)
}
