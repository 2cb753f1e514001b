package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/quarantiner"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/throttler"
)

var headers = forwarder.Headers{
	RequestID: "Id", Deadline: "Deadline-Ms", Account: "Account", ExpectUpstream: "Expect-Upstream", Urgency: "Urgency",
	Model: "Model", Tokens: "Tokens", Prefix: "Prompt", Session: "Session", LastEventID: "Last-Event-Id", Stamp: "Stamp", NotRun: "Not-Run",
	Confidence: "Confidence", Load: "Load", Leaving: "Leaving", Limit: "Limit", Cold: "Cold-Ms", AnyModel: "*", Reserved: []string{"Hold"},
}

// receivedRequest is a request as an upstream received it.
type receivedRequest struct {
	upstream string
	header   http.Header
	method   string
	uri      string
	body     string
}

// fixture is a forwarder in front of upstreams whose responses a function writes.
type fixture struct {
	t *testing.T
	*forwarder.Forwarder
	server    *httptest.Server
	balancer  *balancer.Balancer
	list      []balancer.Upstream
	upstreams map[identifier.Upstream]*registrar.Upstream
	table     *matcher.Table
	results   []forwarder.Result
	probe     func(identifier.Upstream) (forwarder.Report, error)
	// quarantine is what the forwarder knows of parts of prompts.
	quarantine *quarantiner.Quarantine
	// throttler asks owner for slots.
	throttler *throttler.Throttler
	owner     *throttler.Owner
	// limitChanges are the limits of upstreams, their changes and their ends.
	limitChanges []throttler.Statement
	// ahead is how far, in nanoseconds, its clock is ahead.
	ahead atomic.Int64

	mu       sync.Mutex
	received []receivedRequest
	lines    bytes.Buffer
}

// Write receives the lines of the log.
func (f *fixture) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines.Write(b)
}

// log returns the lines of the log.
func (f *fixture) log() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines.String()
}

// responder writes the response to a request; n counts the requests of all upstreams from 1.
type responder func(w http.ResponseWriter, r *http.Request, n int)

func newFixture(t *testing.T, upstreams int, respond responder, opts ...matcher.Option) *fixture {
	t.Helper()
	f := &fixture{t: t, owner: throttler.NewOwner(), upstreams: map[identifier.Upstream]*registrar.Upstream{}}
	now := func() time.Time { return time.Now().Add(time.Duration(f.ahead.Load())) }
	f.quarantine = quarantiner.New(quarantiner.WithNow(now))
	f.throttler = throttler.New(throttler.WithNow(now), throttler.WithOnChange(func(s throttler.Statement) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.limitChanges = append(f.limitChanges, s)
	}), throttler.WithSend(func(a throttler.Ask) { f.throttler.Grant(f.owner.Answer(a, time.Now())) }))
	f.table = matcher.NewTable(1, matcher.Limits{BodyBytes: 1000, HeaderBytes: 2000}, append(defaultRoutes(), opts...)...)
	lb := balancer.New("dc")
	var list []balancer.Upstream
	for i := range upstreams {
		name := string(rune('a' + i))
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			f.received = append(f.received, receivedRequest{name, r.Header.Clone(), r.Method, r.RequestURI, string(body)})
			n := len(f.received)
			f.mu.Unlock()
			w.Header().Set("Stamp", name)
			w.Header().Set("Id", r.Header.Get("Id"))
			respond(w, r, n)
		}))
		t.Cleanup(s.Close)
		u := &registrar.Upstream{
			Name: identifier.Upstream(name), Service: "s", Version: "v1", Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
			Slots: 8,
		}
		f.upstreams[u.Incarnation()] = u
		list = append(list, balancer.Upstream{Name: u.Incarnation(), Region: "r", DataCentre: "dc", Service: "s"})
	}
	lb.Update(list)
	f.balancer, f.list = lb, list
	f.Forwarder = forwarder.New(forwarder.WithHeaders(headers), forwarder.WithQuarantine(f.quarantine), forwarder.WithThrottler(f.throttler), forwarder.WithBalancer(lb),
		forwarder.WithPool(connector.New(connector.WithEcho("Id"))), forwarder.WithLog(slog.New(slog.NewJSONHandler(f, nil))),
		forwarder.WithBudgets(&forwarder.Budgets{New: func() *forwarder.Budget {
			return &forwarder.Budget{
				Retries:  limiter.NewBudget(limiter.WithRatio(0.9), limiter.WithBurst(8)),
				Cascades: limiter.NewBudget(limiter.WithRatio(0.5), limiter.WithBurst(8)),
			}
		}}))
	f.Table = func() *matcher.Table { return f.table }
	f.Upstream = func(n identifier.Upstream) *registrar.Upstream { return f.upstreams[n] }
	f.Group = func(s identifier.Service, _ uint64, _ matcher.Regions) identifier.Service { return s }
	f.OnResult = func(r forwarder.Result) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.results = append(f.results, r)
	}
	f.Probe = func(_ context.Context, _ *registrar.Upstream, n identifier.Upstream) (forwarder.Report, error) {
		if f.probe != nil {
			return f.probe(n)
		}
		return forwarder.Report{WithoutID: 1}, nil
	}
	f.server = httptest.NewServer(f.Forwarder)
	t.Cleanup(f.server.Close)
	return f
}

func defaultRoutes() []matcher.Option {
	split := []matcher.WeightedService{{Service: "s", Weight: 1}}
	base := matcher.Route{Host: "h", Timeout: 5 * time.Second, LatencyTarget: 200 * time.Millisecond, MaxAttempts: 3, Split: split, Rank: 2}
	once, retryable, stream, unresumable := base, base, base, base
	once.Name, once.Prefix, once.MaxAttempts = "once", "/once/", 1
	retryable.Name, retryable.Prefix, retryable.Kind = "repeat", "/repeat/", matcher.Idempotent
	stream.Name, stream.Prefix, stream.Kind, stream.Resumable, stream.HasSessions = "stream", "/stream/", matcher.Stream, true, true
	stream.EventGap = 300 * time.Millisecond
	unresumable.Name, unresumable.Prefix, unresumable.Kind = "unresumable", "/unresumable/", matcher.Stream
	cascade := stream
	cascade.Name, cascade.Prefix, cascade.Models = "cascade", "/cascade/", []identifier.Model{"small", "large"}
	patient := stream
	patient.Name, patient.Prefix, patient.LatencyTarget, patient.EventGap = "patient", "/patient/", 1500*time.Millisecond, 1200*time.Millisecond
	public := base
	public.Name, public.Prefix, public.KeyOptional = "public", "/public/", true
	return []matcher.Option{
		matcher.WithRoute(&once), matcher.WithRoute(&retryable), matcher.WithRoute(&stream), matcher.WithRoute(&unresumable),
		matcher.WithRoute(&cascade), matcher.WithRoute(&patient), matcher.WithRoute(&public), matcher.WithAccount(&matcher.Account{Name: "one"}, "key"),
	}
}

// reply is the response that a caller received; err is the error of the request or of reading the body to its end.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	// closesConnection is set if the entry closes the connection.
	closesConnection bool
}

// send sends a request with a key and with headers as pairs of name and value; an empty value removes the header.
func (f *fixture) send(path string, pairs ...string) reply {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	return f.sendContext(ctx, path, strings.NewReader("body"), pairs...)
}

func (f *fixture) sendContext(ctx context.Context, path string, body io.Reader, pairs ...string) reply {
	f.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, body)
	must.NoError(f.t, err)
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

// requests returns the requests that the upstreams received.
func (f *fixture) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.received...)
}

// stateText returns the state of the forwarder as text.
func (f *fixture) stateText() string {
	return fmt.Sprintf("%+v", f.State())
}

// abort closes the connection in the middle of a response.
func abort() {
	panic(http.ErrAbortHandler)
}
