package administrator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/inspector"
)

// maxBodyBytes limits a request body; a configuration at the target size is about 1 MB.
const maxBodyBytes = 8 << 20

// Server serves the administration API and is safe for concurrent use; make one with New.
type Server struct {
	store  Store
	now    func() time.Time
	random io.Reader
	log    *slog.Logger
	mux    *http.ServeMux

	mu       sync.Mutex
	counters map[string]int64
}

// Option configures a Server.
type Option func(*Server)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithRandom sets the source of randomness for key secrets; it must be cryptographically secure outside of tests.
func WithRandom(r io.Reader) Option { return func(s *Server) { s.random = r } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(s *Server) { s.log = l } }

// New returns a server that reads and writes the configuration through store.
func New(store Store, opts ...Option) *Server {
	s := &Server{
		store: store, now: time.Now, random: rand.Reader, log: slog.Default(),
		mux: http.NewServeMux(), counters: map[string]int64{},
	}
	for _, opt := range opts {
		opt(s)
	}
	for _, r := range s.routes() {
		s.mux.HandleFunc(r.Method+" "+r.Path, s.handle(r))
	}
	// The catch-all route also requires a key before it answers 404, so that callers without one cannot find out which paths exist.
	s.mux.HandleFunc("/", s.handle(Route{MinRole: configurer.RoleViewer, handler: func(c *call) (reply, error) {
		return reply{}, newAPIError(http.StatusNotFound, "not-found", "there is no %s %s", c.Method, c.URL.Path)
	}}))
	return s
}

// ServeHTTP serves the API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Counters returns the number of requests, of changes, and of errors by code.
func (s *Server) Counters() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int64, len(s.counters))
	for k, n := range s.counters {
		m[k] = n
	}
	return m
}

// State is the section of the state dump for the administration API.
type State struct {
	Counters map[string]int64 `json:"counters"`
}

// State returns the counters.
func (s *Server) State() any {
	return State{Counters: s.Counters()}
}

func (s *Server) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[name]++
}

// HeaderWarning carries one warning that a change has added, as field: message.
const HeaderWarning = "Siskinfront-Warning"

// maxWarningHeaders bounds the header of one reply, because one withdrawn version can add a warning for each client account.
const maxWarningHeaders = 16

// call is one authenticated request.
type call struct {
	*http.Request
	operator *configurer.Operator
	current  *configurer.Configuration
	// warnings are those that the committed change has added.
	warnings []inspector.Warning
}

// reply is the result of a handler; without a body it becomes a 204.
type reply struct {
	status int
	etag   string
	body   any
	// warnings are those that a change has added.
	warnings []inspector.Warning
}

// Route is one operation of the API.
type Route struct {
	Method, Path string
	// MinRole is the lowest role that may call the operation.
	MinRole configurer.Role
	// RequiresIfMatch reports whether the request must have an If-Match header.
	RequiresIfMatch bool
	// Summary describes the operation in one sentence.
	Summary string
	handler func(c *call) (reply, error)
}

// handle returns the HTTP handler of a route, which limits the request body and writes the reply with its ETag, or the error.
func (s *Server) handle(route Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count("requests")
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		result, err := s.serve(route, r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		if result.etag != "" {
			w.Header().Set("ETag", result.etag)
		}
		w.Header().Set("Cache-Control", "no-store")
		addWarnings(w.Header(), result.warnings)
		if result.body == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		writeJSON(w, max(result.status, http.StatusOK), result.body)
	}
}

// addWarnings adds a header for each warning, up to maxWarningHeaders. A reply to a change of one item has the item as its
// body, so the warnings are in the header.
func addWarnings(h http.Header, warnings []inspector.Warning) {
	for i, warning := range warnings {
		if i == maxWarningHeaders {
			h.Add(HeaderWarning, fmt.Sprintf("%d more warnings", len(warnings)-i))
			return
		}
		h.Add(HeaderWarning, warning.Field+": "+warning.Message)
	}
}

// serve authenticates the operator, checks its role and that a required If-Match is present, and calls the route's handler.
func (s *Server) serve(route Route, r *http.Request) (reply, error) {
	current, err := s.store.Load(r.Context())
	if err != nil {
		return reply{}, err
	}
	operator := authenticate(current, r)
	if operator == nil {
		return reply{}, newAPIError(http.StatusUnauthorized, "invalid-key", "the operator key is missing or unknown")
	}
	if roleLevel(operator.Role) < roleLevel(route.MinRole) {
		return reply{}, newAPIError(http.StatusForbidden, "role-too-low", "operator %q has the role %s; %s is needed", operator.Name, operator.Role, route.MinRole)
	}
	if route.RequiresIfMatch && r.Header.Get("If-Match") == "" {
		return reply{}, newAPIError(http.StatusPreconditionRequired, "if-match-required", "send If-Match with the ETag of what you read, or * for something new")
	}
	c := &call{Request: r, operator: operator, current: current}
	result, err := route.handler(c)
	result.warnings = c.warnings
	return result, err
}

// roleLevel orders the roles by what they may do; an unknown role may do nothing.
func roleLevel(r configurer.Role) int {
	switch r {
	case configurer.RoleViewer:
		return 1
	case configurer.RoleOperator:
		return 2
	case configurer.RoleAdministrator:
		return 3
	default:
		return 0
	}
}

// authenticate returns the operator whose key the request carries, or nil. It compares the key with every hash in constant
// time, so that response times do not reveal which operators exist.
func authenticate(c *configurer.Configuration, r *http.Request) *configurer.Operator {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" || len(r.Header.Values("Authorization")) > 1 {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	keyHash := []byte(hex.EncodeToString(sum[:]))
	var found *configurer.Operator
	for i := range c.Operators {
		for _, k := range c.Operators[i].Keys {
			if subtle.ConstantTimeCompare(keyHash, []byte(k.SHA256)) == 1 {
				found = &c.Operators[i]
			}
		}
	}
	return found
}
