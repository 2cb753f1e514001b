package entryserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/authenticator"
	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// readHeaderTimeout limits how long a caller may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// Server serves the caller API of an entry. Its function fields are set before the first request and not changed afterwards.
type Server struct {
	// Now returns the current time.
	Now func() time.Time
	// Configuration returns the configuration in force.
	Configuration func() *configurer.Configuration
	// Select chooses the version that answers and the later steps of a cascade. The query has a deadline only if the
	// request may cascade: model auto, no session, unary and idempotent.
	Select func(*configurer.Configuration, selector.Query) (selector.Decision, error)
	// WaitRating waits for the rating of an answer, from 0 to 1. If WaitRating is nil, no request cascades.
	WaitRating func(context.Context, RatingInput) (float64, error)
	// Alternatives returns the versions that may answer while others refuse the request, in order of preference.
	// AllowRedirect reports whether a request may be sent to a pool, and RecordRefusal records that a pool refused or
	// failed a request.
	Alternatives  func(*configurer.Configuration, selector.Query) []identifier.Target
	AllowRedirect func(redirector.Pool) bool
	RecordRefusal func(redirector.Pool)
	// OnAnswer receives each complete answer of a model, so that it can be submitted for rating.
	OnAnswer func(RatingInput)
	// Pin returns the version that a session is pinned to; a new session is pinned to the proposed version.
	Pin func(ctx context.Context, acc identifier.ClientAccount, s identifier.Session, proposed identifier.Target,
		revision uint64) (identifier.Target, error)
	// Choose chooses the upstream of an attempt.
	Choose func(ctx context.Context, c ChoiceInput) (Upstream, error)
	// Claim claims a non-idempotent request that has an idempotency key.
	Claim func(ctx context.Context, acc identifier.ClientAccount, key string, fingerprint [32]byte,
		r identifier.Request) (Claim, error)
	// RecordBill records a bill of a request: one that is not final when a run starts or ends early, and the final one
	// when the response is complete.
	RecordBill func(biller.Bill)
	// AllowRetry reports whether the retry budget allows a retry, AllowEarlyRetry whether it allows the retry of an attempt
	// that has not failed yet, and RecordSuccess adds to the budget.
	AllowRetry, AllowEarlyRetry func() bool
	RecordSuccess               func()
	// Explain receives the decision record of each request.
	Explain func(DecisionRecord)
	// AllowTokens reports whether the client account may use this many tokens now and, if not, when to try again.
	AllowTokens func(acc *configurer.ClientAccount, tokens int, now time.Time) (retryAt time.Time, ok bool)
	// Reserve reserves the list price of an attempt with its maximum output before it is sent, in the currency of the
	// spend. settle is called once, with the list price of the actual usage, or with the whole amount if the usage is
	// unknown. An error refuses the attempt.
	Reserve func(amount float64) (settle func(actual float64), err error)
	// BeginAttempt and EndAttempt are called before and after each attempt at an upstream, and ReportLoad with each load
	// that its frames report.
	BeginAttempt func(identifier.Upstream)
	EndAttempt   func(Attempt)
	ReportLoad   func(identifier.Upstream, streamer.Load)

	streams        *streamer.Client
	accounts       authenticator.ClientAccounts
	mux            *http.ServeMux
	log            *slog.Logger
	counters       counters
	activeRequests atomic.Int64
	leaving        atomic.Bool
}

type counters struct {
	requests, answered, rejected, streamsBroken, attemptsRepeated, attemptsBusy, resultsRepeated, callersLeft,
	claimsLeftOpen, spendLimited, cascadeSteps, ratingsMissed, requestsRedirected, panics atomic.Int64
}

// New returns a server with its routes registered. Without WithClaim, a non-idempotent request with a key is
// rejected, because nothing could guarantee that it runs at most once.
func New(opts ...Option) *Server {
	s := &Server{
		Now: time.Now,
		Select: func(cfg *configurer.Configuration, q selector.Query) (selector.Decision, error) {
			t, err := selector.Cheapest(cfg, q)
			return selector.Decision{Target: t, Reason: selector.ReasonCheapest}, err
		},
		Pin: func(_ context.Context, _ identifier.ClientAccount, _ identifier.Session, proposed identifier.Target,
			_ uint64,
		) (identifier.Target, error) {
			return proposed, nil
		},
		Claim: func(context.Context, identifier.ClientAccount, string, [32]byte, identifier.Request) (Claim, error) {
			return Claim{}, ErrClaimUnavailable
		},
		Alternatives:  func(*configurer.Configuration, selector.Query) []identifier.Target { return nil },
		AllowRedirect: func(redirector.Pool) bool { return true },
		RecordRefusal: func(redirector.Pool) {},
		OnAnswer:      func(RatingInput) {},
		RecordBill:    func(biller.Bill) {},
		AllowRetry:    func() bool { return true },
		RecordSuccess: func() {},
		Explain:       func(DecisionRecord) {},
		AllowTokens: func(*configurer.ClientAccount, int, time.Time) (time.Time, bool) {
			return time.Time{}, true
		},
		Reserve:      func(float64) (func(float64), error) { return func(float64) {}, nil },
		BeginAttempt: func(identifier.Upstream) {},
		EndAttempt:   func(Attempt) {},
		ReportLoad:   func(identifier.Upstream, streamer.Load) {},
		streams:      streamer.NewClient(),
		mux:          http.NewServeMux(),
		log:          slog.Default(),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handler(s.serveCompletion))
	s.mux.HandleFunc("GET /v1/models", s.handler(s.serveModels))
	s.mux.HandleFunc("GET /v1/models/{model}", s.handler(s.serveModel))
	s.mux.HandleFunc("/services/{name}/{path...}", s.handler(s.servePlainService))
	s.mux.HandleFunc("/", s.handler(s.serveUnknownPath))
	return s
}

// serveUnknownPath rejects a request whose path does not exist, or whose path does not have its method.
func (s *Server) serveUnknownPath(w http.ResponseWriter, r *http.Request, _ identifier.Request) error {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		probe := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := s.mux.Handler(probe); pattern != "/" {
			allowed = append(allowed, method)
		}
	}
	if len(allowed) > 0 {
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		return &decoder.Error{
			Status: http.StatusMethodNotAllowed, Code: "method-not-allowed", Type: decoder.TypeInvalidRequest,
			Message: "the path does not have the method " + r.Method,
		}
	}
	return &decoder.Error{
		Status: http.StatusNotFound, Code: "unknown-path", Type: decoder.TypeInvalidRequest, Message: "the path does not exist",
	}
}

// ServeHTTP serves the caller API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Serve serves the caller API on l until ctx ends. It then accepts no new connections and returns when every request
// in progress has been answered; the deadlines of the requests bound that time.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("entryserver: serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	s.leaving.Store(true)
	if err := server.Shutdown(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("entryserver: shut down %s: %w", l.Addr(), err)
	}
	s.streams.Close()
	return nil
}

// handler wraps a route: it assigns the request ID, counts the request, and writes the error that the route returns, which
// it does only before the response has begun.
func (s *Server) handler(
	route func(http.ResponseWriter, *http.Request, identifier.Request) error,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		s.counters.requests.Add(1)
		id := identifier.NewRequest()
		w.Header().Set(decoder.HeaderRequestID, string(id))
		// The published client libraries read the request ID from this header.
		w.Header().Set("X-Request-Id", string(id))
		if s.leaving.Load() {
			// A caller on a keep-alive connection then reconnects to another entry.
			w.Header().Set("Connection", "close")
		}
		err := s.call(route, w, r, id)
		if err == nil {
			return
		}
		var e *decoder.Error
		if !errors.As(err, &e) {
			e = &decoder.Error{
				Status: http.StatusInternalServerError, Code: "internal", Type: decoder.TypeServer,
				Message: "the request failed", Outcome: streamer.OutcomeUnknown, Cause: err,
			}
		}
		s.counters.rejected.Add(1)
		e.Write(w, s.Now())
	}
}

// call calls a route and returns its error, also for a panic.
func (s *Server) call(
	route func(http.ResponseWriter, *http.Request, identifier.Request) error, w http.ResponseWriter, r *http.Request,
	id identifier.Request,
) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = s.panicError(r, id, v)
		}
	}()
	return route(w, r, id)
}

// authenticate returns the client account of the request's key.
func (s *Server) authenticate(cfg *configurer.Configuration, r *http.Request) (*configurer.ClientAccount, error) {
	values := r.Header.Values("Authorization")
	if len(values) > 1 {
		return nil, decoder.NewInvalidRequest("duplicate-header", "the header Authorization was sent twice")
	}
	account, err := s.accounts.Find(cfg, authenticator.BearerToken(r.Header.Get("Authorization")))
	if err != nil {
		return nil, &decoder.Error{
			Status: http.StatusUnauthorized, Code: "invalid-key", Type: decoder.TypeAuthentication,
			Message: "the key is missing or unknown", Cause: err,
		}
	}
	return account, nil
}

// Counters returns the counters since the start, by name.
func (s *Server) Counters() map[string]int64 {
	c := &s.counters
	m := map[string]int64{
		"requests": c.requests.Load(), "answered": c.answered.Load(), "rejected": c.rejected.Load(),
		"streams-broken": c.streamsBroken.Load(), "attempts-repeated": c.attemptsRepeated.Load(),
		"attempts-busy": c.attemptsBusy.Load(), "results-repeated": c.resultsRepeated.Load(),
		"callers-left": c.callersLeft.Load(), "claims-left-open": c.claimsLeftOpen.Load(),
		"spend-limited": c.spendLimited.Load(), "cascade-steps": c.cascadeSteps.Load(),
		"ratings-missed": c.ratingsMissed.Load(), "requests-redirected": c.requestsRedirected.Load(),
		"panics": c.panics.Load(),
	}
	for name, n := range s.streams.Counters() {
		m[name] = n
	}
	return m
}

// State is the entry's part of the state dump.
type State struct {
	Active   int64  `json:"active"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
}

// State returns the State of the entry.
func (s *Server) State() any {
	return State{Active: s.activeRequests.Load(), Leaving: s.leaving.Load(), Revision: s.Configuration().Revision}
}
