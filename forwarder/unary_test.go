package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/matcher"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

func respondOK(w http.ResponseWriter, _ *http.Request, _ int) {
	_, _ = w.Write([]byte("fine"))
}

func respondNotRun(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a request that reaches its upstream altered, with the caller's key, or with headers that only the system may
// set.
func TestRequestIsPassedOn(t *testing.T) {
	f := newFixture(t, 1, respondOK)
	x := f.send("/once/a?b=c", "Account", "forged", "Hold", "h1", "Expect-Upstream", "z", "Urgency", "0", "Connection", "Dropped",
		"Dropped", "1", "Kept", "2", "Te", "trailers")
	must.EqOp(t, 200, x.status)
	must.EqOp(t, "fine", x.body)
	must.EqOp(t, "a", x.header.Get("Stamp"))
	got := f.requests()[0]
	must.EqOp(t, "/once/a?b=c", got.uri)
	must.EqOp(t, "POST", got.method)
	must.EqOp(t, "body", got.body)
	must.EqOp(t, "one", got.header.Get("Account"))
	must.EqOp(t, "a", got.header.Get("Expect-Upstream"))
	must.EqOp(t, "2", got.header.Get("Kept"))
	for _, h := range []string{"Hold", "Authorization", "Dropped", "Te", "Urgency"} {
		must.EqOp(t, "", got.header.Get(h), must.Sprint(h))
	}
	left, err := strconv.Atoi(got.header.Get("Deadline-Ms"))
	must.NoError(t, err)
	must.Between(t, 3000, left, 4000)
}

// Guards against invalid input that is passed on, or refused with the wrong status.
func TestRefusedInput(t *testing.T) {
	f := newFixture(t, 1, respondOK)
	for _, x := range []struct {
		name, path string
		pairs      []string
		want       int
	}{
		{"unknown route", "/none/", nil, 404},
		{"unknown key", "/once/", []string{"Authorization", "Bearer other"}, 401},
		{"no key", "/once/", []string{"Authorization", ""}, 401},
		{"other scheme", "/once/", []string{"Authorization", "Basic key"}, 401},
		{"public without key", "/public/", []string{"Authorization", ""}, 200},
		{"large headers", "/once/", []string{"Large", strings.Repeat("x", 2000)}, 431},
		{"no id", "/once/", []string{"Id", ""}, 400},
		{"bad deadline", "/once/", []string{"Deadline-Ms", "soon"}, 400},
		{"negative deadline", "/once/", []string{"Deadline-Ms", "-5"}, 400},
		{"endless deadline", "/once/", []string{"Deadline-Ms", "1e300"}, 400},
	} {
		must.EqOp(t, x.want, f.send(x.path, x.pairs...).status, must.Sprint(x.name))
	}
	must.SliceLen(t, 1, f.requests())
	large := strings.Repeat("x", 1001)
	must.EqOp(t, 413, f.sendContext(t.Context(), "/once/", strings.NewReader(large)).status)
	must.EqOp(t, 413, f.sendContext(t.Context(), "/once/", io.MultiReader(strings.NewReader(large))).status)
	must.EqOp(t, 200, f.sendContext(t.Context(), "/once/", io.MultiReader(strings.NewReader("in chunks"))).status)
	must.EqOp(t, "in chunks", f.requests()[1].body)
}

// Guards against a request that runs at a service whose weight in the split of its route was set to zero, also if it was the last one with a
// weight (issue 35).
func TestServiceWithoutWeightGetsNoRequest(t *testing.T) {
	f := newFixture(t, 2, respondOK, matcher.WithRoute(&matcher.Route{
		Name: "unweighted", Host: "h", Prefix: "/unweighted/", Timeout: time.Second, MaxAttempts: 2, Kind: matcher.Idempotent,
		Split: []matcher.WeightedService{{Service: "s", Weight: 0}},
	}))
	x := f.send("/unweighted/")
	must.EqOp(t, 503, x.status)
	must.NotEqOp(t, "", x.header.Get("Retry-After"))
	must.SliceEmpty(t, f.requests())
}

// Guards against a request that may run only once and is sent again, or reported as not run, after its response was lost.
func TestAtMostOnce(t *testing.T) {
	// The second route allows three attempts.
	for _, path := range []string{"/once/", "/public/"} {
		f := newFixture(t, 3, func(http.ResponseWriter, *http.Request, int) { abort() })
		x := f.send(path)
		must.EqOp(t, 502, x.status)
		must.EqOp(t, "", x.header.Get("Retry-After"))
		must.SliceLen(t, 1, f.requests())
	}
}

// Guards against an upstream's rejection that is passed on without a Retry-After header, and against more attempts than the
// limits for rejected requests.
func TestNotRun(t *testing.T) {
	f := newFixture(t, 3, respondNotRun)
	x := f.send("/once/")
	must.EqOp(t, 503, x.status)
	retry, err := strconv.ParseFloat(x.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 0.05, retry, 2)
	must.SliceLen(t, 1, f.requests())
	must.EqOp(t, 503, f.send("/repeat/").status)
	must.SliceLen(t, 4, f.requests())
}

// Guards against passing on the failure of one upstream when another one can serve the request.
func TestRetry(t *testing.T) {
	for name, first := range map[string]responder{
		"closed":  func(http.ResponseWriter, *http.Request, int) { abort() },
		"not run": respondNotRun,
		"failed":  func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusInternalServerError) },
		"no stamp": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Del("Stamp")
			_, _ = w.Write([]byte("altered"))
		},
		"other id": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Id", "r9")
			_, _ = w.Write([]byte("foreign"))
		},
		"encoded": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write([]byte("altered"))
		},
		"truncated": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
			abort()
		},
		"slow": func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					first(w, r, n)
					return
				}
				respondOK(w, r, n)
			})
			x := f.send("/repeat/")
			must.EqOp(t, 200, x.status)
			must.EqOp(t, "fine", x.body)
			got := f.requests()
			must.SliceLen(t, 2, got)
			must.NotEqOp(t, got[0].upstream, got[1].upstream)
		})
	}
}

// Guards against a failure, or a response without the upstream's stamp, that looks like a success to a caller whose request may
// run only once.
func TestFailureOnce(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, n int) {
		switch n {
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte("failed"))
		case 2:
			w.Header().Del("Stamp")
			_, _ = w.Write([]byte("altered"))
		}
	})
	x := f.send("/once/")
	must.EqOp(t, 500, x.status)
	must.EqOp(t, "failed", x.body)
	must.EqOp(t, "a", x.header.Get("Stamp"))
	x = f.send("/once/")
	must.EqOp(t, 502, x.status)
	must.EqOp(t, "", x.header.Get("Stamp"))
	must.StrNotContains(t, x.body, "altered")
}

// Guards against a long response that looks complete although it broke off.
func TestLongResponse(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, n int) {
		_, _ = w.Write([]byte(strings.Repeat("x", 300_000)))
		if n > 1 {
			w.(http.Flusher).Flush()
			abort()
		}
	})
	x := f.send("/once/")
	must.NoError(t, x.err)
	must.EqOp(t, 300_000, len(x.body))
	must.Error(t, f.send("/once/").err)
}

// Guards against retries that multiply the load when every upstream rejects requests.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, 3, respondNotRun)
	const n = 50
	for range n {
		must.EqOp(t, 503, f.send("/repeat/").status)
	}
	must.LessEq(t, n*1.9+8, float64(len(f.requests())))
	must.Positive(t, f.Counters()["retries-over-budget"])
}

// Guards against a request that fails because its upstream cannot be reached: it goes to another upstream without use of the
// retry budget, and later requests avoid the unreachable one for a while.
func TestUnreachableUpstream(t *testing.T) {
	f := newFixture(t, 2, respondOK)
	for name, u := range f.upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		unreachable := *u
		unreachable.Address = netip.MustParseAddrPort(l.Addr().String())
		must.NoError(t, l.Close())
		f.upstreams[name] = &unreachable
		break
	}
	for i := range 20 {
		must.EqOp(t, 200, f.send("/once/", "Id", fmt.Sprint(i)).status)
	}
	must.EqOp(t, 0, f.Counters()["retries-over-budget"])
	must.LessEq(t, 22, f.Counters()["attempts"])
}

// Guards against a request that is answered after its deadline, and against a final refusal that is delayed until the deadline.
func TestTimeout(t *testing.T) {
	f := newFixture(t, 1, func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	begin := time.Now()
	must.EqOp(t, 504, f.send("/once/", "Deadline-Ms", "300").status)
	must.Less(t, 2*time.Second, time.Since(begin))
	f = newFixture(t, 0, respondOK)
	begin = time.Now()
	must.EqOp(t, 503, f.send("/once/", "Deadline-Ms", "3000").status)
	must.Less(t, 500*time.Millisecond, time.Since(begin))
}

// Guards against an upstream that goes on with a request after its caller has left.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, 1, func(_ http.ResponseWriter, r *http.Request, _ int) {
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	must.ErrorIs(t, f.sendContext(ctx, "/once/", strings.NewReader("b")).err, context.DeadlineExceeded)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream still works")
	}
}

// Guards against an entry without a configuration that answers anything but 503 with Retry-After, or sends a request on.
func TestNotReady(t *testing.T) {
	f := newFixture(t, 1, respondOK)
	f.table = nil
	x := f.send("/once/")
	must.EqOp(t, 503, x.status)
	must.NotEqOp(t, "", x.header.Get("Retry-After"))
	must.SliceLen(t, 0, f.requests())
}

// Guards against requests that a planned stop interrupts, such as a stream that waited three seconds at a busy engine (simulated
// day stop-while-store-is-out, seed 625655458988), and against refusing requests that end before the stop while no other entry is
// left: four entries that were stopped two seconds apart refused all requests for two seconds.
func TestStop(t *testing.T) {
	f := newFixture(t, 1, respondOK)
	now := time.Now()
	began, deadline := now, now.Add(7*time.Second)
	f.StopTimes = func() (time.Time, time.Time) { return began, deadline }
	must.EqOp(t, 200, f.send("/once/", "Deadline-Ms", "60000").status)
	shift := func(d time.Duration) { began, deadline = now.Add(-d), now.Add(7*time.Second-d) }
	shift(4 * time.Second)
	must.EqOp(t, 200, f.send("/once/", "Deadline-Ms", "1000").status)
	x := f.send("/once/", "Deadline-Ms", "3000")
	must.EqOp(t, 503, x.status)
	must.True(t, x.closesConnection)
	retry, err := strconv.ParseFloat(x.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 0.2, retry, 1)
	must.SliceLen(t, 2, f.requests())
}

// Guards against sending a request to an upstream that has left since it was chosen.
func TestUpstreamHasLeft(t *testing.T) {
	f := newFixture(t, 1, respondOK)
	f.upstreams = map[identifier.Upstream]*registrar.Upstream{}
	must.EqOp(t, 503, f.send("/once/").status)
	must.SliceLen(t, 0, f.requests())
}

// Guards against request bodies that still count as memory in use after their requests have ended, so that later requests are
// refused for lack of memory.
func TestBodiesAreReleased(t *testing.T) {
	f := newFixture(t, 1, respondOK)
	for i := range 20 {
		must.EqOp(t, 200, f.send("/once/", "Id", fmt.Sprint(i)).status)
	}
	must.StrContains(t, f.stateText(), "BodyBytes:0")
}
