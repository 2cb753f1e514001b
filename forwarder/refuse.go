package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

const (
	// entryRetryAfter is when to retry at an entry that has just started or has no memory left for the request.
	entryRetryAfter = 500 * time.Millisecond
	// upstreamRetryAfter is when to retry a request that no upstream ran; by then the upstreams have turned to other requests.
	upstreamRetryAfter = 400 * time.Millisecond
	// retryAfterJitter is the largest random addition to Retry-After, as a fraction of it, so that requests which were refused
	// at the same time do not return at the same time.
	retryAfterJitter = 0.5
)

// refusal is a final response that the entry itself makes.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// isTurn is set if retryAfter has its random part already.
	isTurn bool
	// closeConnection is set if the caller's connection is to be closed, because the request was not read whole or the entry stops.
	closeConnection bool
	cause           error
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
		d := x.retryAfter.Seconds()
		if !x.isTurn {
			d *= 1 + retryAfterJitter*f.rand()
		}
		h.Set("Retry-After", strconv.FormatFloat(d, 'f', 3, 64))
	}
	if x.closeConnection {
		h.Set("Connection", "close")
	}
	if q.id != "" {
		h.Set(f.headers.RequestID, q.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := x.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(x.status)
	// The write fails only if the caller has left.
	_, _ = w.Write([]byte(body))
	f.record(q, x.reason, x.cause)
}

// failure returns the response to a request whose attempts failed. The status is 503 only if the request cannot have run.
func (f *Forwarder) failure(ctx context.Context, q *request, err error) *refusal {
	late := ctx.Err() != nil
	switch {
	case !q.mayHaveRun && late:
		return &refusal{status: http.StatusServiceUnavailable, reason: "deadline", retryAfter: upstreamRetryAfter, cause: err}
	case !q.mayHaveRun:
		x := &refusal{status: http.StatusServiceUnavailable, reason: "no-upstream", retryAfter: upstreamRetryAfter, cause: err}
		if end := f.pauseEnd(q); !end.IsZero() {
			x.retryAfter = max(x.retryAfter, end.Sub(f.Now()))
		}
		if turn := f.coldTurn(q); !turn.IsZero() {
			x.retryAfter, x.isTurn = turn.Sub(f.Now()), true
		}
		return x
	case late:
		f.counters.failed.Add(1)
		return &refusal{status: http.StatusGatewayTimeout, reason: "deadline", cause: err}
	default:
		f.counters.failed.Add(1)
		return &refusal{status: http.StatusBadGateway, reason: "upstream-failed", cause: err}
	}
}
