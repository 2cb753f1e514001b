package forwarder_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
)

var headers = forwarder.Headers{
	RequestID: "Id", Deadline: "Deadline-Ms", Account: "Account", ExpectUpstream: "Expect-Upstream", Urgency: "Urgency",
	Model: "Model", Tokens: "Tokens", Prefix: "Prompt", Session: "Session", LastEventID: "Last-Event-Id", Stamp: "Stamp", NotRun: "Not-Run",
	Confidence: "Confidence", Load: "Load", AnyModel: "*", Reserved: []string{"Hold"},
}

// seen is a request as an upstream got it.
type seen struct {
	upstream string
	header   http.Header
	method   string
	uri      string
	body     string
}

// bed is a forwarder in front of upstreams that answer by a function.
type bed struct {
	t *testing.T
	*forwarder.Forwarder
	front     *httptest.Server
	upstreams map[identifier.Upstream]*registrar.Upstream
	table     *matcher.Table
	results   []forwarder.Result
	probe     func(identifier.Upstream) (forwarder.Report, error)

	mu   sync.Mutex
	seen []seen
}

// answer is how an upstream answers its n-th request, counted over all upstreams from 1.
type answer func(w http.ResponseWriter, r *http.Request, n int)

func newBed(t *testing.T, upstreams int, a answer, opts ...matcher.Option) *bed {
	t.Helper()
	b := &bed{t: t, upstreams: map[identifier.Upstream]*registrar.Upstream{}}
	b.table = matcher.NewTable(1, matcher.Limits{BodyBytes: 1000, HeaderBytes: 2000}, append(defaultRoutes(), opts...)...)
	choice := balancer.New("dc")
	var list []balancer.Upstream
	for i := range upstreams {
		name := string(rune('a' + i))
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			b.mu.Lock()
			b.seen = append(b.seen, seen{name, r.Header.Clone(), r.Method, r.RequestURI, string(body)})
			n := len(b.seen)
			b.mu.Unlock()
			w.Header().Set("Stamp", name)
			w.Header().Set("Id", r.Header.Get("Id"))
			a(w, r, n)
		}))
		t.Cleanup(s.Close)
		u := &registrar.Upstream{
			Name: identifier.Upstream(name), Service: "s", Version: "v1", Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
			Slots: 8,
		}
		b.upstreams[u.Incarnation()] = u
		list = append(list, balancer.Upstream{Name: u.Incarnation(), Region: "r", DataCentre: "dc", Service: "s"})
	}
	choice.Update(list)
	b.Forwarder = forwarder.New(forwarder.WithHeaders(headers), forwarder.WithBalancer(choice),
		forwarder.WithPool(connector.New(connector.WithEcho("Id"))), forwarder.WithLog(slog.New(slog.DiscardHandler)),
		forwarder.WithBudgets(&forwarder.Budgets{New: func() *forwarder.Budget {
			return &forwarder.Budget{
				Retries:  limiter.NewBudget(limiter.WithRatio(0.9), limiter.WithBurst(8)),
				Cascades: limiter.NewBudget(limiter.WithRatio(0.5), limiter.WithBurst(8)),
			}
		}}))
	b.Table = func() *matcher.Table { return b.table }
	b.Upstream = func(n identifier.Upstream) *registrar.Upstream { return b.upstreams[n] }
	b.Group = func(s identifier.Service, _ uint64) identifier.Service { return s }
	b.Observe = func(r forwarder.Result) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.results = append(b.results, r)
	}
	b.Probe = func(_ context.Context, _ *registrar.Upstream, n identifier.Upstream) (forwarder.Report, error) {
		if b.probe != nil {
			return b.probe(n)
		}
		return forwarder.Report{Others: 1}, nil
	}
	b.front = httptest.NewServer(b.Forwarder)
	t.Cleanup(b.front.Close)
	return b
}

func defaultRoutes() []matcher.Option {
	split := []matcher.WeightedService{{Service: "s", Weight: 1}}
	base := matcher.Route{Host: "h", Timeout: 5 * time.Second, LatencyTarget: 200 * time.Millisecond, MaxAttempts: 3, Split: split, Rank: 2}
	once, repeat, stream, unresumable := base, base, base, base
	once.Name, once.Prefix, once.MaxAttempts = "once", "/once/", 1
	repeat.Name, repeat.Prefix, repeat.Kind = "repeat", "/repeat/", matcher.Idempotent
	stream.Name, stream.Prefix, stream.Kind, stream.Resumable, stream.Sticky = "stream", "/stream/", matcher.Stream, true, true
	stream.EventGap = 300 * time.Millisecond
	unresumable.Name, unresumable.Prefix, unresumable.Kind = "unresumable", "/unresumable/", matcher.Stream
	cascade := stream
	cascade.Name, cascade.Prefix, cascade.Models = "cascade", "/cascade/", []identifier.Model{"small", "large"}
	patient := stream
	patient.Name, patient.Prefix, patient.LatencyTarget, patient.EventGap = "patient", "/patient/", 1500*time.Millisecond, 1200*time.Millisecond
	public := base
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	return []matcher.Option{
		matcher.WithRoute(&once), matcher.WithRoute(&repeat), matcher.WithRoute(&stream), matcher.WithRoute(&unresumable),
		matcher.WithRoute(&cascade), matcher.WithRoute(&patient), matcher.WithRoute(&public), matcher.WithAccount(&matcher.Account{Name: "one"}, "key"),
	}
}

// reply is what a caller got; err is the error of reading it to its end.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	// closes is set if the entry closes the connection.
	closes bool
}

// send sends a request with a key and the given headers in pairs.
func (b *bed) send(path string, pairs ...string) reply {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), 20*time.Second)
	defer cancel()
	return b.sendContext(ctx, path, strings.NewReader("body"), pairs...)
}

func (b *bed) sendContext(ctx context.Context, path string, body io.Reader, pairs ...string) reply {
	b.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.front.URL+path, body)
	must.NoError(b.t, err)
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			r.Header.Del(pairs[i])
			continue
		}
		r.Header.Set(pairs[i], pairs[i+1])
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer w.Body.Close()
	got, err := io.ReadAll(w.Body)
	return reply{w.StatusCode, w.Header, string(got), err, w.Close}
}

// requests returns what the upstreams got.
func (b *bed) requests() []seen {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]seen(nil), b.seen...)
}

// abort ends the connection of a response.
func abort() {
	panic(http.ErrAbortHandler)
}
