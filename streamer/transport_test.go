package streamer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against a connection that is reused after its peer closed it or after an unread response, one that is not reused
// at all, and a request that outlives its context.
func TestTransport(t *testing.T) {
	var mu sync.Mutex
	peers := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		peers[r.RemoteAddr]++
		mu.Unlock()
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/hang" {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(body)
	}))
	defer server.Close()
	transport := streamer.NewTransport(4)
	client := &http.Client{Transport: transport}
	post := func(read bool) {
		t.Helper()
		resp, err := client.Post(server.URL, "text/plain", strings.NewReader("question"))
		must.NoError(t, err)
		if read {
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, "question", string(body))
		}
		must.NoError(t, resp.Body.Close())
	}
	connections := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(peers)
	}
	post(true)
	post(true)
	must.Eq(t, 1, connections())
	server.CloseClientConnections()
	post(true)
	must.Eq(t, 2, connections())
	post(false)
	post(true)
	must.Eq(t, 3, connections())
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/hang", http.NoBody)
	must.NoError(t, err)
	cancel()
	_, err = client.Do(r)
	must.ErrorIs(t, err, context.Canceled)
	transport.CloseIdleConnections()
}
