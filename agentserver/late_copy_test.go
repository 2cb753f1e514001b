package agentserver_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// serveCopies answers each request with its path, preceded by a copy of the answer before on the same connection.
func serveCopies(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			br, before := bufio.NewReader(c), ""
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
				_, _ = io.WriteString(c, before+answer)
				before = answer
			}
		}()
	}
}

// Guards against a caller that gets the answer to the request of another one: a late copy of it comes on a kept connection to an upstream that
// names no requests in its answers (issue 35).
func TestLateCopyOfAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go serveCopies(l)
	agent := httptest.NewServer(agentserver.New("upstream-1", netip.MustParseAddrPort(l.Addr().String())))
	t.Cleanup(agent.Close)
	client := streamer.NewClient()
	t.Cleanup(client.Close)
	for i := range 5 {
		path := fmt.Sprint("/answer/", i)
		s, err := client.Open(t.Context(), netip.MustParseAddrPort(agent.Listener.Addr().String()), &streamer.Order{
			Request: identifier.Request(fmt.Sprint("r-", i)), Attempt: 1, ClientAccount: "galway-council", Rank: "normal", Service: "s",
			Deadline: time.Now().Add(time.Minute), Revision: 1, PromptTokens: 1, Call: &streamer.ServiceCall{Method: http.MethodGet, Path: path},
		}, nil)
		must.NoError(t, err)
		var got strings.Builder
		for {
			f, err := s.Next(t.Context())
			must.NoError(t, err)
			if f.Final() {
				must.EqOp(t, streamer.KindDone, f.Kind, must.Sprint(f.Code))
				break
			}
			var part []byte
			if f.Kind == streamer.KindToken {
				must.NoError(t, json.Unmarshal(f.Data, &part))
				got.Write(part)
			}
		}
		s.Close()
		must.EqOp(t, path, got.String())
		// The agent returns the connection to its pool after the final frame.
		time.Sleep(20 * time.Millisecond)
	}
}
