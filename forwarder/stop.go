package forwarder

import (
	"net/http"
	"time"
)

const (
	// DeregistrationDelay is how long the load balancer may send new connections after the entry says that it is not ready: it asks each
	// second and needs two misses.
	DeregistrationDelay = 2500 * time.Millisecond
	// stopMargin is left between the deadline of a request and the end of the entry.
	stopMargin = 300 * time.Millisecond
	// stopRetry is the time after which a request that this entry refuses is worth sending again: callers reach another entry
	// then, which may have to take over the work of this one.
	stopRetry = 300 * time.Millisecond
)

// stopRefusal refuses a request whose deadline is after the end of a planned stop, or returns nil. While the load balancer
// knows no other entry it still sends connections, so that requests which cannot be cut are served: when entries are stopped
// one after the other faster than they end, all of them may be stopping. How long a response usually takes does not count,
// because a stream may wait for seconds at a busy engine.
func (f *Forwarder) stopRefusal(deadline, now time.Time) *refusal {
	began, end := f.StopTimes()
	if began.IsZero() || now.Before(began.Add(DeregistrationDelay)) || deadline.Before(end.Add(-stopMargin)) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stopRetry, close: true}
}
