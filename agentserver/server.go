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
	// maxOrder bounds the order and the caller's body in bytes.
	maxOrder = 8 << 20
	// maxRuns bounds the runs that the agent remembers, finished ones included.
	maxRuns = 1 << 16
	// defaultResumeWindow is the time for which a run continues without a reader.
	defaultResumeWindow = 10 * time.Second
	// maxIdleConnections bounds the idle connections kept to the upstream.
	maxIdleConnections = 256
)

// Server is the agent role; its function fields are set before the first request and not changed afterwards.
type Server struct {
	// Upstream names the upstream that the agent stands beside.
	Upstream identifier.Upstream
	// Now returns the current time.
	Now func() time.Time
	// Configuration returns the configuration in force, or nil while there is none.
	Configuration func() *configurer.Configuration
	// Admit waits for a slot; its error is a *RefusalError, which is always not-run, or that of the context.
	Admit func(ctx context.Context, it QueuedOrder) (Ticket, error)
	// Load returns the load that frames report.
	Load func() streamer.Load
	// Loaded reports whether the engine has a version loaded.
	Loaded func(identifier.Target) bool
	// HighestFencingToken returns the highest fencing token issued for the engine before this process started; it is asked before the
	// first command, and commands are refused until it answers. The default is 0.
	HighestFencingToken func(ctx context.Context) (uint64, error)
	// ResumeWindow is the time for which a run continues without a reader, and for which its frames are kept after that.
	ResumeWindow time.Duration

	address  netip.AddrPort
	client   *http.Client
	fresh    *http.Client
	mux      *http.ServeMux
	bills    billBook
	counters counters
	fence    fence
	progress Progress

	mu       sync.Mutex
	runs     map[runKey]*run
	draining bool
	idle     chan struct{}
	active   int
	// activeOf counts the active runs of each version.
	activeOf map[identifier.Target]int
	// closed holds the versions that take no new orders before and after their unload, each with a channel that is closed
	// when its last run ends.
	closed     map[identifier.Target]chan struct{}
	unloadWait time.Duration
}

type counters struct {
	accepted, attached, refused, done, failed, cancelled, preempted, trials, trialsFailed atomic.Int64
}

// Option configures a Server.
type Option func(*Server)

// New returns an agent for the engine or plain service at an address. Without WithAdmit it admits in order of arrival.
func New(name identifier.Upstream, upstream netip.AddrPort, opts ...Option) *Server {
	q := newQueue(defaultSlots, defaultQueue)
	s := &Server{
		Upstream: name, Now: time.Now, address: upstream,
		Configuration:       func() *configurer.Configuration { return nil },
		Admit:               q.admit,
		Loaded:              func(identifier.Target) bool { return true },
		HighestFencingToken: func(context.Context) (uint64, error) { return 0, nil },
		ResumeWindow:        defaultResumeWindow,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
		}},
		fresh:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		mux:        http.NewServeMux(),
		runs:       map[runKey]*run{},
		idle:       make(chan struct{}),
		activeOf:   map[identifier.Target]int{},
		closed:     map[identifier.Target]chan struct{}{},
		unloadWait: defaultUnloadWait,
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

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(s *Server) { s.Now = now }
}

// WithConfiguration sets the source of the configuration in force.
func WithConfiguration(f func() *configurer.Configuration) Option {
	return func(s *Server) { s.Configuration = f }
}

// WithAdmit sets the admission and the load that it reports.
func WithAdmit(admit func(context.Context, QueuedOrder) (Ticket, error), load func() streamer.Load) Option {
	return func(s *Server) { s.Admit, s.Load = admit, load }
}

// WithQueue sets the slots and the places of the built-in queue.
func WithQueue(slots, places int) Option {
	return func(s *Server) {
		q := newQueue(slots, places)
		s.Admit = q.admit
		s.Load = func() streamer.Load { return q.load(s.Now()) }
	}
}

// WithLoaded sets the test for loaded versions.
func WithLoaded(f func(identifier.Target) bool) Option {
	return func(s *Server) { s.Loaded = f }
}

// WithHighestFencingToken sets the source of the fencing mark from before the start.
func WithHighestFencingToken(f func(context.Context) (uint64, error)) Option {
	return func(s *Server) { s.HighestFencingToken = f }
}

// WithResumeWindow sets the time for which a run continues without a reader.
func WithResumeWindow(d time.Duration) Option {
	return func(s *Server) { s.ResumeWindow = d }
}

// WithTransport sets the transport towards the upstream.
func WithTransport(t http.RoundTripper) Option {
	return func(s *Server) { s.client.Transport, s.fresh.Transport = t, t }
}

// ServeHTTP serves the agent's side of the response protocol and the commands to the engine.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Drain refuses new orders from now on and returns once all running ones have ended, or with the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	done := s.active == 0
	s.mu.Unlock()
	if done {
		return nil
	}
	select {
	case <-s.idle:
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
		"runs-preempted": c.preempted.Load(), "trials": c.trials.Load(), "trials-failed": c.trialsFailed.Load(),
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
	st.BillsPending, st.FencingToken, st.Load = s.bills.len(), s.fence.token(), s.CurrentLoad()
	return st
}

// CurrentLoad is Load with the draining state and the progress of the engine.
func (s *Server) CurrentLoad() streamer.Load {
	l := s.Load()
	s.mu.Lock()
	l.Leaving = l.Leaving || s.draining
	s.mu.Unlock()
	now := s.Now()
	l.Stalled, l.TokenInterval = s.progress.Stalled(now), s.progress.TokenInterval(now)
	return l
}
