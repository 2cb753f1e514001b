package reaper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	// phaseHeader lasts from the connection, or the first byte of a request, until the request is handled.
	phaseHeader phase = iota
	phaseHandled
	phaseIdle
)

// connection is what is known of one connection.
type connection struct {
	phase phase
	since time.Time
}

// Reaper watches the connections of one server; it is safe for concurrent use.
type Reaper struct {
	// Now returns the current time.
	Now func() time.Time

	// limits returns the longest time for headers and without a request; 0 is none.
	limits func() (header, idle time.Duration)

	mu          sync.Mutex
	connections map[net.Conn]*connection
	late, idle  int64
}

// New returns a reaper with limits for the headers of a request and for the time without one, 0 for none.
func New(limits func() (header, idle time.Duration)) *Reaper {
	return &Reaper{Now: time.Now, limits: limits, connections: map[net.Conn]*connection{}}
}

// Attach sets the hooks of a server before it serves.
func (r *Reaper) Attach(s *http.Server) {
	s.ConnState = r.note
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, key{}, c)
	}
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if c, ok := q.Context().Value(key{}).(net.Conn); ok {
			r.set(c, phaseHandled)
		}
		h.ServeHTTP(w, q)
	})
}

// key is that of the connection in the context of a request.
type key struct{}

func (r *Reaper) note(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew, http.StateActive:
		r.set(c, phaseHeader)
	case http.StateIdle:
		r.set(c, phaseIdle)
	case http.StateHijacked, http.StateClosed:
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connections, c)
	}
}

func (r *Reaper) set(c net.Conn, p phase) {
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

// CloseExpired ends the connections beyond a limit; it is called about once per second, as the limits are seconds. The server closes a
// connection whose read ends. A request that has arrived meanwhile is still read, because the server sets a new deadline for it;
// closing the connection here could cut it.
func (r *Reaper) CloseExpired() {
	header, idle := r.limits()
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, x := range r.connections {
		switch waited := now.Sub(x.since); {
		case x.phase == phaseHeader && header > 0 && waited > header:
			r.late++
		case x.phase == phaseIdle && idle > 0 && waited > idle:
			r.idle++
		default:
			continue
		}
		// A connection that has ended meanwhile has no deadline.
		_ = c.SetReadDeadline(now)
	}
}

// Counters returns the totals since the start.
func (r *Reaper) Counters() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]int64{"headers-late": r.late, "connections-idle": r.idle}
}
