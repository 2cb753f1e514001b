package entryserver

import (
	"context"
	"errors"
	"fmt"
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

// readHeaderTime bounds the reading of a caller's headers.
const readHeaderTime = 10 * time.Second

// Server is the entry role; its function fields are set before the first request and not changed afterwards.
type Server struct {
	// Now returns the current time.
	Now func() time.Time
	// Configuration returns the configuration in force.
	Configuration func() *configurer.Configuration
	// Select chooses the version that answers, and the later steps of a cascade. Its query has a deadline only if a
	// cascade is possible: model auto, no session, unary and idempotent.
	Select func(*configurer.Configuration, selector.Query) (selector.Decision, error)
	// WaitRating returns the rating of an answer, from 0 to 1, as soon as it exists; nil rules out cascades.
	WaitRating func(context.Context, RatingInput) (float64, error)
	// Alternatives returns the versions that may answer while others refuse the request, in the order of preference. Offer
	// reports whether a pool may be offered a request, and Refused notes that it refused one.
	Alternatives  func(*configurer.Configuration, selector.Query) []identifier.Target
	AllowRedirect func(redirector.Pool) bool
	RecordRefusal func(redirector.Pool)
	// OnAnswer takes each complete answer of a model, which may be submitted for rating.
	OnAnswer func(RatingInput)
	// Pin returns the version of a session, which is the proposed one if the session is new.
	Pin func(ctx context.Context, acc identifier.ClientAccount, s identifier.Session, proposed identifier.Target,
		revision uint64) (identifier.Target, error)
	// Choose picks an upstream.
	Choose func(ctx context.Context, c ChoiceInput) (Upstream, error)
	// Claim claims a non-idempotent request that has an idempotency key.
	Claim func(ctx context.Context, acc identifier.ClientAccount, key string, fingerprint [32]byte,
		r identifier.Request) (Claim, error)
	// RecordBill takes the bill of a completed request.
	RecordBill func(biller.Bill)
	// AllowRetry reports whether the retry budget allows one more attempt, AllowEarlyRetry whether it does for one that has not failed yet,
	// and Succeeded adds to it.
	AllowRetry, AllowEarlyRetry func() bool
	RecordSuccess               func()
	// Explain takes the decisions about each request.
	Explain func(DecisionRecord)
	// AllowTokens reports whether the client account may use so many tokens now, and else when to try again.
	AllowTokens func(acc *configurer.ClientAccount, tokens int, now time.Time) (retryAt time.Time, ok bool)
	// Reserve sets aside the list price of an attempt with its maximum output before it is sent, in the currency of the
	// spend. settle is called once, with the list price of the real usage. An error refuses the attempt.
	Reserve func(amount float64) (settle func(actual float64), err error)
	// BeginAttempt and End surround each attempt at an upstream, and Report passes on the load in its frames.
	BeginAttempt func(identifier.Upstream)
	EndAttempt   func(Attempt)
	ReportLoad   func(identifier.Upstream, streamer.Load)

	streams  *streamer.Client
	accounts authenticator.ClientAccounts
	mux      *http.ServeMux
	counters counters
	active   atomic.Int64
	leaving  atomic.Bool
}

type counters struct {
	requests, answered, rejected, broken, retried, busy, repeated, left, claimsOpen, spendLimited, escalated, unrated, redirected atomic.Int64
}

// New returns a server whose routes are ready to serve. Without WithClaim, a non-idempotent request with a key is
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
	}
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.complete))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.models))
	s.mux.HandleFunc("GET /v1/models/{model}", s.handle(s.model))
	s.mux.HandleFunc("/services/{name}/{path...}", s.handle(s.service))
	s.mux.HandleFunc("/", s.handle(s.unknown))
	return s
}

// unknown refuses a path that does not exist, or one whose method does not.
func (s *Server) unknown(w http.ResponseWriter, r *http.Request, _ identifier.Request) error {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		other := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := s.mux.Handler(other); pattern != "/" {
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

// Serve serves the caller API on l until ctx ends. It then accepts no new connection and returns when every request in
// progress has its response; the deadlines of the requests bound that time.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTime}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
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

// handle wraps a route: it names the request, counts it, and writes its error if the response has not begun.
func (s *Server) handle(
	route func(http.ResponseWriter, *http.Request, identifier.Request) error,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		s.counters.requests.Add(1)
		id := identifier.NewRequest()
		w.Header().Set(decoder.HeaderRequestID, string(id))
		// The published client libraries show this header as the ID of the request.
		w.Header().Set("X-Request-Id", string(id))
		if s.leaving.Load() {
			// A caller with a kept connection moves to another entry.
			w.Header().Set("Connection", "close")
		}
		err := route(w, r, id)
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

// authenticate returns the client account of the request's key.
func (s *Server) authenticate(cfg *configurer.Configuration, r *http.Request) (*configurer.ClientAccount, error) {
	values := r.Header.Values("Authorization")
	if len(values) > 1 {
		return nil, decoder.Invalid("duplicate-header", "the header Authorization was sent twice")
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

// Counters returns the totals since the start.
func (s *Server) Counters() map[string]int64 {
	c := &s.counters
	m := map[string]int64{
		"requests": c.requests.Load(), "answered": c.answered.Load(), "rejected": c.rejected.Load(),
		"streams-broken": c.broken.Load(), "attempts-repeated": c.retried.Load(), "attempts-busy": c.busy.Load(),
		"results-repeated": c.repeated.Load(), "callers-left": c.left.Load(), "claims-left-open": c.claimsOpen.Load(),
		"spend-limited": c.spendLimited.Load(), "cascade-steps": c.escalated.Load(), "ratings-missed": c.unrated.Load(),
		"requests-redirected": c.redirected.Load(),
	}
	for name, n := range s.streams.Counters() {
		m[name] = n
	}
	return m
}

// State is the part of the entry that the state dump shows.
type State struct {
	Active   int64  `json:"active"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
}

// State returns a State.
func (s *Server) State() any {
	return State{Active: s.active.Load(), Leaving: s.leaving.Load(), Revision: s.Configuration().Revision}
}
