package platformfaker

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"golang.org/x/time/rate"
)

// ErrLost is the transport error of a call whose request or reply is lost.
var ErrLost = errors.New("platformfaker: connection lost")

// Faults are the functions with which a test injects faults; a nil function injects none.
type Faults struct {
	// Unavailable reports whether the service rejects the request with status 503 before it takes effect.
	Unavailable func(*http.Request) bool
	// Delay returns how long the service waits before it handles the request.
	Delay func(*http.Request) time.Duration
	// LoseReply reports whether the connection breaks after the request took effect.
	LoseReply func(*http.Request) bool
}

// faultInjector applies the faults and the rate limits before a service handles a request.
type faultInjector struct {
	faults        *Faults
	now           func() time.Time
	sleep         func(time.Duration)
	reads, writes *rate.Limiter
	next          http.Handler
}

// ServeHTTP delays the request, then rejects it, forwards it, or forwards it and aborts the connection without a reply.
func (fi *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f := fi.faults.Delay; f != nil {
		if d := f(r); d > 0 {
			fi.sleep(d)
		}
	}
	if f := fi.faults.Unavailable; f != nil && f(r) {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	l := fi.writes
	if r.Method == http.MethodGet {
		l = fi.reads
	}
	if l != nil && !l.AllowN(fi.now(), 1) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limited", http.StatusTooManyRequests)
		return
	}
	if f := fi.faults.LoseReply; f != nil && f(r) {
		fi.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	fi.next.ServeHTTP(w, r)
}

// RoundTripFunc runs requests against a handler in memory; an aborted reply is returned as ErrLost.
func RoundTripFunc(h http.Handler) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (w *http.Response, err error) {
		defer func() {
			if v := recover(); v != nil {
				if e, ok := v.(error); !ok || !errors.Is(e, http.ErrAbortHandler) {
					panic(v)
				}
				w, err = nil, ErrLost
			}
		}()
		if r.Body == nil {
			r.Body = io.NopCloser(bytes.NewReader(nil))
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		if err := r.Context().Err(); err != nil {
			return nil, err
		}
		return rec.Result(), nil
	}
}

// Option configures a fake service.
type Option func(*faultInjector)

// WithNow sets the clock of a fake.
func WithNow(now func() time.Time) Option {
	return func(fi *faultInjector) { fi.now = now }
}

// WithSleep sets how a fake waits for an injected delay.
func WithSleep(sleep func(time.Duration)) Option {
	return func(fi *faultInjector) { fi.sleep = sleep }
}

// WithRates limits the reads and writes per second; 0 means no limit.
func WithRates(reads, writes float64) Option {
	return func(fi *faultInjector) {
		fi.reads, fi.writes = newLimiter(reads), newLimiter(writes)
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func newFaultInjector(f *Faults, next http.Handler, opts []Option) *faultInjector {
	fi := &faultInjector{faults: f, now: time.Now, sleep: time.Sleep, next: next}
	for _, o := range opts {
		o(fi)
	}
	return fi
}
