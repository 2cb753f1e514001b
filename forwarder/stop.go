package forwarder

import (
	"net/http"
	"time"
)

const (
	// DeregistrationDelay is how long the load balancer may send new connections after the entry reports that it is not ready: it
	// checks each second and needs two failed checks.
	DeregistrationDelay = 2500 * time.Millisecond
	// stopMargin is the least time between the deadline of a request that is still served and the end of the planned stop.
	stopMargin = 300 * time.Millisecond
	// stopRetryAfter is when to retry a request that a stopping entry refused. It then reaches another entry, which may first have
	// to take over the work of this one.
	stopRetryAfter = 300 * time.Millisecond
)

// stopRefusal refuses a request whose deadline is after the end of a planned stop, or returns nil. Requests with an earlier
// deadline cannot be interrupted and are served, because the load balancer still sends connections to a stopping entry if it
// knows no other: when entries are stopped one after the other faster than they end, all of them may be stopping. How long a
// response usually takes is not considered, because a stream may wait for seconds at a busy engine.
func (f *Forwarder) stopRefusal(deadline, now time.Time) *refusal {
	began, end := f.StopTimes()
	if began.IsZero() || now.Before(began.Add(DeregistrationDelay)) || deadline.Before(end.Add(-stopMargin)) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stopRetryAfter, closeConnection: true}
}
