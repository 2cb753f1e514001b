package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

const (
	// startRetry is the time after which an entry that has just started, or is out of memory, is worth asking again.
	startRetry = 500 * time.Millisecond
	// fullRetry is the time after which a refused request finds the upstreams with other work.
	fullRetry = 400 * time.Millisecond
	// retrySpread spreads the returns of requests that were refused at the same time, as a part of the time.
	retrySpread = 0.5
)

// refusal is a final response of the entry's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// close ends the connection, because the request was not read to its end or the entry stops.
	close bool
	cause error
}

// Error returns the reason.
func (x *refusal) Error() string {
	return "forwarder: " + x.reason
}

// Unwrap returns the cause.
func (x *refusal) Unwrap() error {
	return x.cause
}

// refuse sends a refusal and records it.
func (f *Forwarder) refuse(w http.ResponseWriter, q *request, x *refusal) {
	f.counters.refused.Add(1)
	q.status = x.status
	h := w.Header()
	if x.retryAfter > 0 {
		d := x.retryAfter.Seconds() * (1 + retrySpread*f.rand())
		h.Set("Retry-After", strconv.FormatFloat(d, 'f', 3, 64))
	}
	if x.close {
		h.Set("Connection", "close")
	}
	if q.id != "" {
		h.Set(f.headers.RequestID, q.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := x.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(x.status)
	// A caller that has left gets no answer.
	_, _ = w.Write([]byte(body))
	f.record(q, x.reason, x.cause)
}

// failure returns the response to a request whose attempts failed: 503 only if it cannot have run.
func (f *Forwarder) failure(ctx context.Context, q *request, err error) *refusal {
	late := ctx.Err() != nil
	switch {
	case !q.mayHaveRun && late:
		return &refusal{status: http.StatusServiceUnavailable, reason: "deadline", retryAfter: fullRetry, cause: err}
	case !q.mayHaveRun:
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-upstream", retryAfter: fullRetry, cause: err}
	case late:
		f.counters.failed.Add(1)
		return &refusal{status: http.StatusGatewayTimeout, reason: "deadline", cause: err}
	default:
		f.counters.failed.Add(1)
		return &refusal{status: http.StatusBadGateway, reason: "upstream-failed", cause: err}
	}
}
