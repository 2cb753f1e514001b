package entryserver_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// freeze puts a process in place of the first agent that accepts connections and answers none.
func freeze(b *bed) {
	b.serve(address(1, 7000), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server sees the end of a connection only after the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
}

// Guards against a request that fails because each agent took more than the time for the first sign of it, as on a machine that
// is short of processors, although all of them run it when asked again.
func TestAllAgentsSlow(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		for i, a := range b.agents {
			b.serve(address(i+1, 7000), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					time.Sleep(700 * time.Millisecond)
				}
				a.ServeHTTP(w, r)
			}))
		}
		got, err := b.call(t.Context(), 0, http.MethodPost, "/v1/chat/completions", question)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		bills := map[string]bool{}
		for _, bill := range b.recorded() {
			bills[bill.ID] = true
		}
		must.MapLen(t, 1, bills)
	})
}

// Guards against urgent work that waits for a frozen agent while another one is free, against giving up beyond the retry
// budget, which would multiply the orders of an overload, and against giving up an order that may run only once.
func TestFrozenAgent(t *testing.T) {
	const firstToken = 1400 * time.Millisecond
	cases := []struct {
		name    string
		budget  bool
		headers []string
		status  int
		least   time.Duration
		most    time.Duration
	}{
		{name: "within the budget", budget: true, status: http.StatusOK, most: firstToken},
		{name: "without budget", status: http.StatusBadGateway, least: 3 * time.Second, most: 7 * time.Second},
		{
			name: "non-idempotent", budget: true, status: http.StatusBadGateway, least: 3 * time.Second, most: 7 * time.Second,
			headers: []string{"Siskinfront-Idempotent", "false", "Idempotency-Key", "k"},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, b *bed) {
				freeze(b)
				b.retry = tc.budget
				// A stream shows the time of the first token.
				begin := time.Now()
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
					"http://"+address(100, 80).String()+"/v1/chat/completions", strings.NewReader(asStream))
				must.NoError(t, err)
				r.Header.Set("Authorization", "Bearer "+callerKey)
				for i := 0; i < len(tc.headers); i += 2 {
					r.Header.Set(tc.headers[i], tc.headers[i+1])
				}
				resp, err := b.http.Do(r)
				must.NoError(t, err)
				_, err = resp.Body.Read(make([]byte, 1))
				must.NoError(t, err)
				took := time.Since(begin)
				_, err = io.Copy(io.Discard, resp.Body)
				must.NoError(t, err)
				must.NoError(t, resp.Body.Close())
				must.Eq(t, tc.status, resp.StatusCode)
				must.Between(t, tc.least, took, tc.most)
				b.net.Cut(address(1, 7000))
			})
		})
	}
}
