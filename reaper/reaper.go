package reaper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseHeader lasts from the opening of the connection, or from the first byte of a later request, until the handler is called.
	phaseHeader phase = iota
	// phaseHandled lasts from the call of the handler until the response is complete.
	phaseHandled
	// phaseIdle lasts from the end of a response until the first byte of the next request.
	phaseIdle
)

// connection holds the phase of a connection and the time since which it lasts.
type connection struct {
	phase phase
	since time.Time
}

// Reaper watches the connections of one server; it is safe for concurrent use.
type Reaper struct {
	// Now returns the current time.
	Now func() time.Time

	// limits returns the longest times for the headers of a request and without a request; 0 means no limit.
	limits func() (header, idle time.Duration)

	mu                           sync.Mutex
	connections                  map[net.Conn]*connection
	lateHeaders, idleConnections int64
}

// New returns a reaper with limits of the time for the headers of a request and of the time without one; 0 means no limit.
func New(limits func() (header, idle time.Duration)) *Reaper {
	return &Reaper{Now: time.Now, limits: limits, connections: map[net.Conn]*connection{}}
}

// Attach sets the hooks of a server, which must not serve yet, wraps its handler, and returns the listener at which to serve.
func (r *Reaper) Attach(s *http.Server, l net.Listener) net.Listener {
	s.ConnState = r.onConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, unwrap(c))
	}
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if c, ok := q.Context().Value(connectionKey{}).(*conn); ok {
			r.setPhase(c, phaseHandled)
		}
		h.ServeHTTP(w, q)
	})
	return &listener{Listener: l}
}

func (r *Reaper) onConnState(c net.Conn, s http.ConnState) {
	onRequestRead(c, s)
	switch s {
	case http.StateNew, http.StateActive:
		r.setPhase(c, phaseHeader)
	case http.StateIdle:
		r.setPhase(c, phaseIdle)
	case http.StateHijacked, http.StateClosed:
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connections, c)
	}
}

func (r *Reaper) setPhase(c net.Conn, p phase) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.connections[c]
	if x == nil {
		x = &connection{}
		r.connections[c] = x
	}
	x.phase, x.since = p, now
}

// CloseExpired ends the connections that are beyond a limit; it is called about once per second, as the limits are in seconds.
// It ends only the pending read of a connection, on which the server closes the connection. A request that has arrived meanwhile
// is still read, because the server sets a new read deadline for it; closing the connection here could interrupt it.
func (r *Reaper) CloseExpired() {
	header, idle := r.limits()
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, x := range r.connections {
		switch waited := now.Sub(x.since); {
		case x.phase == phaseHeader && header > 0 && waited > header:
			r.lateHeaders++
		case x.phase == phaseIdle && idle > 0 && waited > idle:
			r.idleConnections++
		default:
			continue
		}
		// Setting the deadline fails only if the connection has been closed meanwhile.
		_ = c.SetReadDeadline(now)
	}
}

// Counters returns the totals since the start.
func (r *Reaper) Counters() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]int64{"headers-late": r.lateHeaders, "connections-idle": r.idleConnections}
}
