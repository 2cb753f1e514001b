package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/matcher"
)

const (
	// RoutedTime is how long the load balancer may send new connections after the entry says that it is not ready: it asks each
	// second and needs two misses.
	RoutedTime = 2500 * time.Millisecond
	// stopMargin is left between the expected end of a request and the end of the entry.
	stopMargin = time.Second
	// stopRetry is the time after which a request that this entry refuses is worth sending again: callers reach another entry
	// then, which may have to take over the work of this one.
	stopRetry = 300 * time.Millisecond
	// longestDecay is the part of the longest time that is kept with each shorter one, so that it fades in some 200 requests.
	longestDecay = 0.995
)

// longest holds the longest recent time of the responses of each route; it is safe for concurrent use.
type longest struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func (l *longest) add(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = map[string]time.Duration{}
	}
	l.routes[route] = max(took, time.Duration(longestDecay*float64(l.routes[route])))
}

// of returns the longest time of a route, or false if nothing is known.
func (l *longest) of(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.routes[route]
	return d, ok
}

// stopRefusal refuses a request that would not end before a planned stop, or returns nil. While the load balancer knows no
// other entry it still sends connections, so that requests which end in time are served until the deadline: when entries are stopped
// one after the other faster than they end, all of them may be stopping.
func (f *Forwarder) stopRefusal(r *matcher.Route, now time.Time) *refusal {
	began, deadline := f.StopsAt()
	if began.IsZero() || now.Before(began.Add(RoutedTime)) {
		return nil
	}
	left := deadline.Sub(now)
	took, known := f.longest.of(r.Name)
	if !known {
		took = r.Timeout
	}
	if left > stopMargin && took < left-stopMargin {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stopRetry, close: true}
}
