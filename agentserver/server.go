package agentserver

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// maxOrderBytes limits a request to POST /run: the order line together with the caller's body.
	maxOrderBytes = 8 << 20
	// maxRetainedRuns limits the runs kept in memory, finished ones included.
	maxRetainedRuns = 1 << 16
	// defaultResumeWindow is how long a run continues without a reader.
	defaultResumeWindow = 10 * time.Second
	// maxHeadBytes bounds the head of an upstream's response.
	maxHeadBytes = 256 << 10
)

// Server is the agent role; its function fields must be set before the first request and not be changed afterwards.
type Server struct {
	// Upstream names the upstream that the agent serves.
	Upstream identifier.Upstream
	// Now returns the current time.
	Now func() time.Time
	// Configuration returns the configuration in force, or nil while there is none.
	Configuration func() *configurer.Configuration
	// Admit waits for a slot. It returns a *RefusalError if the order was refused without being run, or the context's error.
	Admit func(ctx context.Context, queued QueuedOrder) (Ticket, error)
	// Load returns the load to report in frames.
	Load func() streamer.Load
	// Loaded reports whether the engine has a version loaded.
	Loaded func(identifier.Target) bool
	// HighestFencingToken returns the highest fencing token issued for the engine before this process started. It is called
	// before the first command, and commands are refused until it succeeds. The default returns 0.
	HighestFencingToken func(ctx context.Context) (uint64, error)
	// ResumeWindow is how long a run continues without a reader, and how long its frames are kept after it has ended.
	ResumeWindow time.Duration

	address netip.AddrPort
	// upstream opens a new connection for each request. Engines and plain services name no requests in their answers, so that a late copy of
	// an answer on a kept connection would be taken for that to the next request.
	upstream *http.Client
	mux      *http.ServeMux
	bills    billBuffer
	counters counters
	fencing  fencingState
	progress Progress

	mu       sync.Mutex
	runs     map[runKey]*run
	draining bool
	// drained is closed when the last run ends after Drain was called.
	drained chan struct{}
	// active counts the runs that have not ended.
	active int
	// activeByTarget counts the active runs of each version.
	activeByTarget map[identifier.Target]int
	// unloading holds the versions whose new orders are refused because an unload is in progress or done, each with a channel
	// that is closed when its last run ends.
	unloading  map[identifier.Target]chan struct{}
	unloadWait time.Duration
}

type counters struct {
	accepted, attached, refused, done, failed, cancelled, preempted, probes, probesFailed atomic.Int64
}

// Option configures a Server.
type Option func(*Server)

// New returns an agent for the engine or plain service at an address. Without WithAdmit, it admits orders first in, first out.
func New(name identifier.Upstream, upstream netip.AddrPort, opts ...Option) *Server {
	q := newQueue(defaultSlots, defaultQueuePlaces)
	s := &Server{
		Upstream: name, Now: time.Now, address: upstream,
		Configuration:       func() *configurer.Configuration { return nil },
		Admit:               q.admit,
		Loaded:              func(identifier.Target) bool { return true },
		HighestFencingToken: func(context.Context) (uint64, error) { return 0, nil },
		ResumeWindow:        defaultResumeWindow,
		upstream: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		}},
		mux:            http.NewServeMux(),
		runs:           map[runKey]*run{},
		drained:        make(chan struct{}),
		activeByTarget: map[identifier.Target]int{},
		unloading:      map[identifier.Target]chan struct{}{},
		unloadWait:     defaultUnloadWait,
	}
	s.Load = func() streamer.Load { return q.load(s.Now()) }
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("POST /run", s.handleRun)
	s.mux.HandleFunc("GET /run/{id}", s.handleResume)
	s.mux.HandleFunc("DELETE /run/{id}", s.handleCancel)
	s.mux.HandleFunc("POST /control/{command}", s.handleControl)
	return s
}

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option {
	return func(s *Server) { s.Now = now }
}

// WithConfiguration sets the source of the configuration in force.
func WithConfiguration(f func() *configurer.Configuration) Option {
	return func(s *Server) { s.Configuration = f }
}

// WithAdmit sets the function that admits orders and the function that returns the load.
func WithAdmit(admit func(context.Context, QueuedOrder) (Ticket, error), load func() streamer.Load) Option {
	return func(s *Server) { s.Admit, s.Load = admit, load }
}

// WithQueue sets the number of slots of the built-in queue and how many orders may wait for one.
func WithQueue(slots, maxWaiting int) Option {
	return func(s *Server) {
		q := newQueue(slots, maxWaiting)
		s.Admit = q.admit
		s.Load = func() streamer.Load { return q.load(s.Now()) }
	}
}

// WithLoaded sets the function that reports whether the engine has a version loaded.
func WithLoaded(f func(identifier.Target) bool) Option {
	return func(s *Server) { s.Loaded = f }
}

// WithHighestFencingToken sets the function that returns the highest fencing token issued before this process started.
func WithHighestFencingToken(f func(context.Context) (uint64, error)) Option {
	return func(s *Server) { s.HighestFencingToken = f }
}

// WithResumeWindow sets how long a run continues without a reader.
func WithResumeWindow(d time.Duration) Option {
	return func(s *Server) { s.ResumeWindow = d }
}

// WithTransport sets the HTTP transport to the upstream.
func WithTransport(t http.RoundTripper) Option {
	return func(s *Server) { s.upstream.Transport = t }
}

// ServeHTTP serves the agent's side of the response protocol and the commands to the engine.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Drain refuses new orders from now on and returns when all active runs have ended, or with the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	done := s.active == 0
	s.mu.Unlock()
	if done {
		return nil
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Counters returns the totals since the start.
func (s *Server) Counters() map[string]int64 {
	c := &s.counters
	return map[string]int64{
		"orders-accepted": c.accepted.Load(), "orders-attached": c.attached.Load(), "orders-refused": c.refused.Load(),
		"runs-done": c.done.Load(), "runs-failed": c.failed.Load(), "runs-cancelled": c.cancelled.Load(),
		"runs-preempted": c.preempted.Load(), "trials": c.probes.Load(), "trials-failed": c.probesFailed.Load(),
	}
}

// State is the part of the agent that the state dump shows.
type State struct {
	Upstream     identifier.Upstream `json:"upstream"`
	Active       int                 `json:"active"`
	RetainedRuns int                 `json:"remembered"`
	Draining     bool                `json:"draining"`
	BillsPending int                 `json:"bills-pending"`
	FencingToken uint64              `json:"fencing-token"`
	Load         streamer.Load       `json:"load"`
}

// State returns a State.
func (s *Server) State() any {
	s.mu.Lock()
	st := State{Upstream: s.Upstream, Active: s.active, RetainedRuns: len(s.runs), Draining: s.draining}
	s.mu.Unlock()
	st.BillsPending, st.FencingToken, st.Load = s.bills.len(), s.fencing.token(), s.CurrentLoad()
	return st
}

// CurrentLoad returns Load with the draining state, the stall state and the token interval of the engine filled in.
func (s *Server) CurrentLoad() streamer.Load {
	l := s.Load()
	s.mu.Lock()
	l.Draining = l.Draining || s.draining
	s.mu.Unlock()
	now := s.Now()
	l.Stalled, l.TokenInterval = s.progress.Stalled(now), s.progress.TokenInterval(now)
	return l
}
