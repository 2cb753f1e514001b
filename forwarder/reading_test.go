package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/siskinfront/siskinfront/forwarder"
)

// Guards against prompts that are reported with the tokens that their upstream has cached, without their model or not at all, against
// prompts of unknown length that are reported, and against a first event that is missed or counted several times.
func TestPromptsAreReported(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
	})
	var mu sync.Mutex
	var sent, read []forwarder.Prompt
	f.OnPrompt = func(p forwarder.Prompt) {
		mu.Lock()
		defer mu.Unlock()
		sent = append(sent, p)
	}
	f.OnPromptRead = func(p forwarder.Prompt, took time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		must.Positive(t, took)
		read = append(read, p)
	}
	for _, prompt := range []string{"a:1000,b:300", "b:300", "a:x,b:y", ""} {
		must.EqOp(t, http.StatusOK, f.send("/stream/x", "Prompt", prompt, "Model", "m").status)
	}
	mu.Lock()
	defer mu.Unlock()
	must.SliceLen(t, 2, sent)
	for _, p := range sent {
		must.EqOp(t, f.list[0].Name, p.Upstream)
		must.EqOp(t, "m", p.Model)
		must.EqOp(t, 300, p.Tokens)
		must.False(t, p.SentAt.IsZero())
	}
	must.Eq(t, sent, read)
}

// Guards against a prompt of an attempt that ends without an event, which its upstream does not read any more or never has, and that is
// not reported as such, or as such although it was read.
func TestUnreadPromptsAreReported(t *testing.T) {
	received := make(chan struct{}, 1)
	responders := map[string]responder{
		"error status": func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not run then read": func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 1 {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		},
		"refused connection": nil,
		"connection closed":  func(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) },
		"caller that leaves": func(_ http.ResponseWriter, r *http.Request, _ int) {
			received <- struct{}{}
			<-r.Context().Done()
		},
		"whole response": func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "whole") },
	}
	for name, respond := range responders {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, respond)
			var mu sync.Mutex
			open, sent, read, unread := map[uint64]forwarder.Prompt{}, 0, 0, 0
			end := func(p forwarder.Prompt, n *int) {
				mu.Lock()
				defer mu.Unlock()
				must.Eq(t, open[p.Attempt], p)
				delete(open, p.Attempt)
				*n++
			}
			f.OnPrompt = func(p forwarder.Prompt) {
				mu.Lock()
				defer mu.Unlock()
				open[p.Attempt] = p
				sent++
			}
			f.OnPromptRead = func(p forwarder.Prompt, _ time.Duration) { end(p, &read) }
			f.OnPromptUnread = func(p forwarder.Prompt) { end(p, &unread) }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			switch name {
			case "refused connection":
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				must.NoError(t, err)
				must.NoError(t, listener.Close())
				for _, u := range f.upstreams {
					u.Address = netip.MustParseAddrPort(listener.Addr().String())
				}
			case "caller that leaves":
				go func() {
					<-received
					cancel()
				}()
			}
			f.sendContext(ctx, "/stream/x", strings.NewReader("body"), "Prompt", "a:1000,b:300", "Model", "m")
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				mu.Lock()
				defer mu.Unlock()
				return sent > 0 && len(open) == 0
			}), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
			mu.Lock()
			defer mu.Unlock()
			t.Logf("sent %d, read %d, unread %d", sent, read, unread)
			must.EqOp(t, name == "not run then read", read == 1)
			must.EqOp(t, sent, read+unread)
		})
	}
}
