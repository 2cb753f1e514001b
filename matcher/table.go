package matcher

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Kind says whether the requests of a route may run more than once and whether they are answered by a stream.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events; they may run more than once only if the route is resumable.
	Stream
)

// String returns the kind in kebab case.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non-idempotent"
	}
}

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service identifier.Service
	Weight  float64
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds a request from its arrival to its last byte.
	Timeout time.Duration
	// LatencyTarget is the time to the response, or to the first event, within which the response has its full value.
	LatencyTarget time.Duration
	// EventGap is the longest pause between two events with which a stream is still on time.
	EventGap time.Duration
	// MaxAttempts bounds the attempts in which a request is sent; attempts that could not reach an upstream do not count.
	MaxAttempts int
	// Rank is 0 for the most urgent requests.
	Rank int
	// KeyOptional is set if requests need no key.
	KeyOptional bool
	// HasSessions is set if requests have sessions, and prompts whose parts upstreams cache.
	HasSessions bool
	// Resumable is set if a stream may be resumed at another upstream after the last event that arrived.
	Resumable bool
	// Models lists the models that may answer, the smallest first; it is empty if the caller names the model.
	Models []identifier.Model
	// Regions are those to which the requests are bound.
	Regions Regions
	// Split divides the requests among services by weight; nothing is served if none has a positive one.
	Split []WeightedService
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request, or "" if none has a positive weight; numbers u that are uniform in [0, 1) divide requests by
// the weights. A service without a positive weight gets no requests.
func (r *Route) Service(u float64) identifier.Service {
	total := 0.0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	u *= total
	// The last service with a weight also takes what rounding leaves beyond the sum.
	var last identifier.Service
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		if last = s.Service; u < s.Weight {
			break
		}
		u -= s.Weight
	}
	return last
}

// Model is a model of an engine with its price.
type Model struct {
	Name identifier.Model
	// Cost is the price of 1,000 generated tokens.
	Cost float64
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name identifier.Service
	// MaxConnections is the number of connections that one upstream accepts from all entries.
	MaxConnections int
	// Slots is the number of requests that an engine runs at once; 0 for a plain service.
	Slots int
	// MemoryTokens is the memory of an engine in tokens.
	MemoryTokens int
	// ColdPerSecond is the requests per second that a cold upstream takes from all entries together, or 0 if that is not limited.
	ColdPerSecond float64
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration
	// Models lists the models of an engine.
	Models []Model
}

// Limits bound what a caller may send; 0 stands for no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account; its Rank replaces that of the route if HasRank is set.
type Account struct {
	Name    identifier.ClientAccount
	Rank    int
	HasRank bool
	// Regions are those to which its requests are bound, beside those of the route.
	Regions Regions
}

// Table is one revision of the routes, services, accounts and limits; it is immutable and safe for concurrent use.
type Table struct {
	Revision uint64
	Limits   Limits
	Services map[identifier.Service]*Service

	routesByHost      map[string][]*Route
	accountsByKeyHash map[[sha256.Size]byte]*Account
	// requiresKeys is kept apart from the keys, because the last key may have been withdrawn.
	requiresKeys bool
}

// Option adds to a Table.
type Option func(*Table)

// WithRoute adds a route.
func WithRoute(r *Route) Option {
	return func(t *Table) {
		host := normalizeHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
}

// WithService adds a service.
func WithService(s *Service) Option {
	return func(t *Table) { t.Services[s.Name] = s }
}

// WithRequiredKeys makes requests need a key, whether or not there is an account that has one.
func WithRequiredKeys() Option {
	return func(t *Table) { t.requiresKeys = true }
}

// WithAccount adds a client account with its keys, of which only hashes are kept. Requests need a key from then on, also if the account has
// none.
func WithAccount(a *Account, keys ...string) Option {
	return func(t *Table) {
		t.requiresKeys = true
		for _, k := range keys {
			t.accountsByKeyHash[sha256.Sum256([]byte(k))] = a
		}
	}
}

// NewTable returns the table of a revision.
func NewTable(revision uint64, l Limits, opts ...Option) *Table {
	t := &Table{
		Revision: revision, Limits: l, Services: map[identifier.Service]*Service{},
		routesByHost: map[string][]*Route{}, accountsByKeyHash: map[[sha256.Size]byte]*Account{},
	}
	for _, o := range opts {
		o(t)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds a key, or nil.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.accountsByKeyHash[sha256.Sum256([]byte(key))]
}

// RequiresKeys reports whether requests need a key unless their route is public. Without a key in the table, none of them is served then.
func (t *Table) RequiresKeys() bool {
	return t.requiresKeys
}

// NumRoutes returns the number of routes.
func (t *Table) NumRoutes() int {
	n := 0
	for _, routes := range t.routesByHost {
		n += len(routes)
	}
	return n
}

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
