package entryserver

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// Upstream is an upstream as the entry reaches it, through its agent.
type Upstream struct {
	Name       identifier.Upstream
	DataCentre identifier.DataCentre
	Agent      netip.AddrPort
}

// Bill is the record of one answered request.
type Bill struct {
	Request       identifier.Request
	ClientAccount identifier.ClientAccount
	WorkKind      identifier.WorkKind
	Rank          identifier.Rank
	Target        identifier.Target
	Usage         streamer.Usage
	At            time.Time
}

// Server is the entry role; its function fields are set before the first request and not changed afterwards.
type Server struct {
	// Now returns the current time.
	Now func() time.Time
	// Configuration returns the configuration in force.
	Configuration func() *configurer.Configuration
	// Select chooses the version that answers.
	Select func(*configurer.Configuration, selector.Query) (identifier.Target, error)
	// Choose picks an upstream that serves the target.
	Choose func(ctx context.Context, t identifier.Target, q selector.Query) (Upstream, error)
	// Record takes the bill of an answered request.
	Record func(Bill)

	client *http.Client
	mux    *http.ServeMux
}

// ErrNoUpstream is returned by Choose when no live upstream serves the target.
var ErrNoUpstream = errors.New("entryserver: no upstream serves the target")

// New returns a server whose routes are ready to serve.
func New(opts ...Option) *Server {
	s := &Server{
		Now:    time.Now,
		Select: selector.Cheapest,
		Record: func(Bill) {},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		mux:    http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	s.mux.HandleFunc("GET /v1/models", s.handleModels)
	return s
}

// maxIdleConnections bounds the idle connections kept to one agent.
const maxIdleConnections = 64

// Option configures a Server.
type Option func(*Server)

// WithConfiguration sets the source of the configuration in force.
func WithConfiguration(f func() *configurer.Configuration) Option {
	return func(s *Server) { s.Configuration = f }
}

// WithChoose sets the choice of upstream.
func WithChoose(f func(context.Context, identifier.Target, selector.Query) (Upstream, error)) Option {
	return func(s *Server) { s.Choose = f }
}

// WithRecord sets the receiver of bills.
func WithRecord(f func(Bill)) Option {
	return func(s *Server) { s.Record = f }
}

// ServeHTTP serves the caller API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// authenticate returns the client account of the request's key; it compares every key in constant time.
func (s *Server) authenticate(cfg *configurer.Configuration, r *http.Request) (*configurer.ClientAccount, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, unauthorized()
	}
	sum := sha256.Sum256([]byte(key))
	got := []byte(hex.EncodeToString(sum[:]))
	var found *configurer.ClientAccount
	for i := range cfg.ClientAccounts {
		a := &cfg.ClientAccounts[i]
		for _, k := range a.Keys {
			if subtle.ConstantTimeCompare(got, []byte(k.SHA256)) == 1 {
				found = a
			}
		}
	}
	if found == nil {
		return nil, unauthorized()
	}
	return found, nil
}

func unauthorized() error {
	return &decoder.Error{
		Status: http.StatusUnauthorized, Code: "invalid-key", Type: decoder.TypeAuthentication,
		Message: "the key is missing or unknown",
	}
}
