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

// Faults are the seams through which a test injects faults; nil fields inject none.
type Faults struct {
	// Unavailable reports whether the service refuses the request with status 503 before it acts.
	Unavailable func(*http.Request) bool
	// Delay returns how long the service waits before it acts.
	Delay func(*http.Request) time.Duration
	// LoseReply reports whether the connection breaks after the request took effect.
	LoseReply func(*http.Request) bool
}

// guard applies the faults and the rate limits in front of a service.
type guard struct {
	faults        *Faults
	now           func() time.Time
	sleep         func(time.Duration)
	reads, writes *rate.Limiter
	next          http.Handler
}

// ServeHTTP refuses, delays or forwards the request, or aborts the connection after it took effect.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f := g.faults.Delay; f != nil {
		if d := f(r); d > 0 {
			g.sleep(d)
		}
	}
	if f := g.faults.Unavailable; f != nil && f(r) {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	l := g.writes
	if r.Method == http.MethodGet {
		l = g.reads
	}
	if l != nil && !l.AllowN(g.now(), 1) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limited", http.StatusTooManyRequests)
		return
	}
	if f := g.faults.LoseReply; f != nil && f(r) {
		g.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	g.next.ServeHTTP(w, r)
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

// Option changes a fake at construction.
type Option func(*guard)

// WithNow sets the clock of a fake.
func WithNow(now func() time.Time) Option {
	return func(g *guard) { g.now = now }
}

// WithSleep sets how a fake waits for an injected delay.
func WithSleep(sleep func(time.Duration)) Option {
	return func(g *guard) { g.sleep = sleep }
}

// WithRates sets the reads and writes a second that the service sustains; 0 means no limit.
func WithRates(reads, writes float64) Option {
	return func(g *guard) {
		g.reads, g.writes = limiterOf(reads), limiterOf(writes)
	}
}

func limiterOf(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func newGuard(f *Faults, next http.Handler, opts []Option) *guard {
	g := &guard{faults: f, now: time.Now, sleep: time.Sleep, next: next}
	for _, o := range opts {
		o(g)
	}
	return g
}
