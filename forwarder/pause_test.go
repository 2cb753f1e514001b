package forwarder_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// pausing is a responder that rejects requests with a value of Retry-After.
func pausing(value string) responder {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Retry-After", value)
		respondNotRun(w, r, n)
	}
}

// Guards against requests to an upstream that asked for a pause, and against a refusal that does not say when to return (issue 20).
func TestPauseIsKept(t *testing.T) {
	for _, path := range []string{"/once/", "/repeat/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, pausing("20"))
			for range 10 {
				began, allPause := time.Now(), len(f.requests()) == 2
				w := f.send(path)
				must.EqOp(t, http.StatusServiceUnavailable, w.status)
				if !allPause {
					continue
				}
				after, err := strconv.ParseFloat(w.header.Get("Retry-After"), 64)
				must.NoError(t, err)
				must.Between(t, 15, after, 50)
				must.Less(t, 500*time.Millisecond, time.Since(began))
			}
			must.SliceLen(t, 2, f.requests())
		})
	}
}

// Guards against an upstream that gets no requests after its pause, or because of values that ask for none (issue 20).
func TestPauseEnds(t *testing.T) {
	for name, x := range map[string]struct {
		value string
		// within is the time in which the upstream gets requests again.
		within time.Duration
	}{
		"short":        {"0.3", time.Second},
		"date":         {time.Now().Add(time.Second).UTC().Format(http.TimeFormat), 3 * time.Second},
		"date in past": {"Mon, 02 Jan 2006 15:04:05 GMT", 100 * time.Millisecond},
		"negative":     {"-5", 100 * time.Millisecond},
		"not a number": {"NaN", 100 * time.Millisecond},
		"words":        {"in a while", 100 * time.Millisecond},
		"zero":         {"0", 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					pausing(x.value)(w, r, n)
					return
				}
				respondOK(w, r, n)
			})
			f.send("/once/")
			began := time.Now()
			for f.send("/once/").status != http.StatusOK {
				time.Sleep(20 * time.Millisecond)
				must.Less(t, x.within, time.Since(began))
			}
		})
	}
}

// Guards against a pause that keeps requests from the upstreams that serve (issue 20).
func TestOthersServeInPause(t *testing.T) {
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
		if w.Header().Get("Stamp") == "b" {
			pausing("1e300")(w, r, n)
			return
		}
		respondOK(w, r, n)
	})
	for range 30 {
		must.EqOp(t, http.StatusOK, f.send("/repeat/").status)
	}
	n := 0
	for _, r := range f.requests() {
		if r.upstream == "b" {
			n++
		}
	}
	must.LessEq(t, 1, n)
}

// Guards against a service that is refused for an hour because its last upstream asked for a pause that it does not need (issue 20).
func TestLastUpstreamIsTriedInPause(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		if n <= 2 {
			pausing("86400")(w, r, n)
			return
		}
		respondOK(w, r, n)
	})
	for range 3 {
		w := f.send("/once/")
		must.EqOp(t, http.StatusServiceUnavailable, w.status)
	}
	must.SliceLen(t, 2, f.requests())
	f.Now = func() time.Time { return time.Now().Add(time.Duration(f.ahead.Load())) }
	f.ahead.Store(int64(50 * time.Second))
	w := f.send("/once/")
	must.EqOp(t, http.StatusServiceUnavailable, w.status)
	after, err := strconv.ParseFloat(w.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 8, after, 20)
	f.ahead.Store(int64(61 * time.Second))
	for range 5 {
		must.EqOp(t, http.StatusOK, f.send("/once/").status)
	}
	must.StrContains(t, f.log(), "upstream serves in the pause that it asked for")
}

// Guards against a trial of a pause while another upstream serves (issue 20).
func TestNoTrialWhileOthersServe(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		if w.Header().Get("Stamp") == "b" {
			pausing("86400")(w, r, n)
			return
		}
		respondOK(w, r, n)
	})
	for range 20 {
		must.EqOp(t, http.StatusOK, f.send("/repeat/").status)
	}
	n := len(f.requests())
	f.ahead.Store(int64(2 * time.Minute))
	for range 20 {
		must.EqOp(t, http.StatusOK, f.send("/repeat/").status)
	}
	must.SliceLen(t, n+20, f.requests())
}
