package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// Headers names the headers of requests and responses that the forwarder reads or sets.
type Headers struct {
	RequestID, Deadline, Account, ExpectUpstream, Urgency, Model, Tokens, Prefix, Session, LastEventID string
	// Stamp marks a response as that of an upstream, NotRun one that says that the request did not run.
	Stamp, NotRun, Confidence, Load string
	// AnyModel is what a caller sends as the model to leave the choice to the system.
	AnyModel string
	// Reserved lists headers that only the system sets.
	Reserved []string
}

// Budget bounds what is sent beyond the first attempt of each request of a service.
type Budget struct {
	// Retries is for attempts that failed, Cascades for answers of a larger model. They are apart so that cascades leave
	// repeats for failures, also at an entry with few requests.
	Retries, Cascades *limiter.Budget
}

// first notes the first attempt of a request.
func (b *Budget) first() {
	b.Retries.Success()
	b.Cascades.Success()
}

// Budgets gives the budget of each service.
type Budgets struct {
	New func() *Budget

	mu       sync.Mutex
	services map[identifier.Service]*Budget
}

// ForService returns the budget of a service.
func (b *Budgets) ForService(s identifier.Service) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[identifier.Service]*Budget{}
	}
	x := b.services[s]
	if x == nil {
		x = b.New()
		b.services[s] = x
	}
	return x
}

// Result is what one attempt tells about the version of its upstream.
type Result struct {
	Service  identifier.Service
	Upstream *registrar.Upstream
	Route    string
	// Failed is set if the upstream ran the request and failed it or broke off.
	Failed bool
	// TimeToFirstEvent is the time from the send to the response, or to the first event of a stream; 0 if there was none.
	TimeToFirstEvent time.Duration
}

// Forwarder serves callers; its function fields are set before the first request.
type Forwarder struct {
	// Now returns the current time.
	Now func() time.Time
	// Table returns the routes in force, or nil before they are known.
	Table func() *matcher.Table
	// Upstream returns the upstream of a choice, or nil if it has left since.
	Upstream func(identifier.Upstream) *registrar.Upstream
	// Group returns the group of upstreams of a service that serves a session while versions change.
	Group func(service identifier.Service, session uint64) identifier.Service
	// Started and Ended surround each attempt, and Observe takes the result of one that may have run.
	Started, Ended func(identifier.Service, *registrar.Upstream)
	Observe        func(Result)
	// Probe asks an upstream for a report, which needs no slot and is a sign of life.
	Probe func(context.Context, *registrar.Upstream, identifier.Upstream) (Report, error)
	// StopTimes returns when a planned stop of the entry began and by when its requests must have ended, or zero times.
	StopTimes func() (began, deadline time.Time)

	headers  Headers
	hop      map[string]bool
	balancer *balancer.Balancer
	pool     *connector.Pool
	ladders  *selector.ConfidenceCascades
	budgets  *Budgets
	log      *slog.Logger
	meter    *meter.Meter
	rand     func() float64

	pressures sync.Map // identifier.Service to *selector.Pressure
	seen      sync.Map // identifier.Upstream to *sign
	bodies    atomic.Int64
	maxBody   int64
	active    atomic.Int64
	streams   atomic.Int64
	silent    silentList
	paces     *paces
	counters  counters
}

type counters struct {
	requests, answered, refused, failed, broken, left, unmatched, unknownKey, invalid                             atomic.Int64
	attempts, notRun, lost, resumed, rescued, escalated, spoiled, upstreamErrors, budgetExceeded, silent, missing atomic.Int64
}

// sign is what is known of the life of an upstream; times of atomics are in Unix nanoseconds.
type sign struct {
	// at is when the upstream last sent anything to this entry.
	at atomic.Int64
	// busyAt is when the upstream last said that requests wait there.
	busyAt atomic.Int64

	mu sync.Mutex
	// deadUntil is how long the answer that the upstream is silent holds.
	deadUntil time.Time
	// report is the last one, asked for at askedAt.
	report  Report
	askedAt time.Time
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithHeaders sets the names of headers.
func WithHeaders(h Headers) Option {
	return func(f *Forwarder) { f.headers = h }
}

// WithBalancer sets the choice of upstreams.
func WithBalancer(b *balancer.Balancer) Option {
	return func(f *Forwarder) { f.balancer = b }
}

// WithPool sets the connections to upstreams.
func WithPool(p *connector.Pool) Option {
	return func(f *Forwarder) { f.pool = p }
}

// WithLog sets the log of decisions.
func WithLog(log *slog.Logger) Option {
	return func(f *Forwarder) { f.log = log }
}

// WithMeter sets the receiver of latencies.
func WithMeter(m *meter.Meter) Option {
	return func(f *Forwarder) { f.meter = m }
}

// WithBudgets sets the retry budgets.
func WithBudgets(b *Budgets) Option {
	return func(f *Forwarder) { f.budgets = b }
}

// WithMaxBodies bounds the bytes of request bodies in memory.
func WithMaxBodies(n int64) Option {
	return func(f *Forwarder) { f.maxBody = n }
}

// New returns a forwarder; Table, Upstream and Pool must be set.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{
		Now: time.Now, Observe: func(Result) {},
		Started: func(identifier.Service, *registrar.Upstream) {}, Ended: func(identifier.Service, *registrar.Upstream) {},
		StopTimes: func() (time.Time, time.Time) { return time.Time{}, time.Time{} },
		ladders:   selector.NewConfidenceCascades(), log: slog.Default(), meter: meter.New(), rand: rand.Float64, maxBody: 16 << 20, paces: newPaces(),
	}
	for _, o := range opts {
		o(f)
	}
	f.hop = map[string]bool{}
	for _, h := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host", "Authorization",
		f.headers.Account, f.headers.ExpectUpstream, f.headers.Urgency, f.headers.Deadline,
	} {
		f.hop[http.CanonicalHeaderKey(h)] = true
	}
	for _, h := range f.headers.Reserved {
		f.hop[http.CanonicalHeaderKey(h)] = true
	}
	return f
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	f.counters.requests.Add(1)
	q, refusal := f.accept(w, r)
	if refusal != nil {
		f.refuse(w, q, refusal)
		return
	}
	defer f.bodies.Add(-int64(len(q.body)))
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errDeadline)
	defer cancel()
	var err error
	if q.route.Kind == matcher.Stream {
		f.streams.Add(1)
		defer f.streams.Add(-1)
		err = f.stream(ctx, w, q)
	} else {
		err = f.unary(ctx, w, q)
	}
	f.finish(ctx, w, q, err)
}

// errDeadline ends a request whose time is over.
var errDeadline = errors.New("forwarder: deadline exceeded")

// finish answers a request that failed, and records its end.
func (f *Forwarder) finish(ctx context.Context, w http.ResponseWriter, q *request, err error) {
	if err == nil {
		f.counters.answered.Add(1)
		f.record(q, "answered", nil)
		return
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errDeadline) {
		f.counters.left.Add(1)
		f.record(q, "caller-left", err)
		panic(http.ErrAbortHandler)
	}
	if q.begun {
		f.counters.broken.Add(1)
		f.record(q, "broken", err)
		panic(http.ErrAbortHandler)
	}
	var x *refusal
	if !errors.As(err, &x) {
		x = f.failure(ctx, q, err)
	}
	f.refuse(w, q, x)
}

// Streams returns the number of streams in progress.
func (f *Forwarder) Streams() int64 {
	return f.streams.Load()
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 {
	return f.active.Load()
}

// pressure returns the pressure on the engines of a service.
func (f *Forwarder) pressure(s identifier.Service) *selector.Pressure {
	if p, ok := f.pressures.Load(s); ok {
		return p.(*selector.Pressure)
	}
	p, _ := f.pressures.LoadOrStore(s, &selector.Pressure{})
	return p.(*selector.Pressure)
}

// touch notes a sign of life of an upstream.
func (f *Forwarder) touch(name identifier.Upstream) {
	f.signOf(name).at.Store(f.Now().UnixNano())
}

func (f *Forwarder) signOf(name identifier.Upstream) *sign {
	if s, ok := f.seen.Load(name); ok {
		return s.(*sign)
	}
	s, _ := f.seen.LoadOrStore(name, &sign{})
	return s.(*sign)
}

// Retain drops what is kept about upstreams that are not in the list.
func (f *Forwarder) Retain(live func(identifier.Upstream) bool) {
	f.paces.forget(live)
	f.seen.Range(func(k, _ any) bool {
		if !live(k.(identifier.Upstream)) {
			f.seen.Delete(k)
		}
		return true
	})
}

// report passes the load in a response on to the balancer.
func (f *Forwarder) report(name identifier.Upstream, l streamer.Load) {
	f.balancer.Report(name, l)
}

// Counters returns the totals since the start.
func (f *Forwarder) Counters() map[string]int64 {
	c := &f.counters
	return map[string]int64{
		"requests": c.requests.Load(), "answered": c.answered.Load(), "refused": c.refused.Load(), "failed": c.failed.Load(),
		"streams-broken": c.broken.Load(), "callers-left": c.left.Load(), "unmatched": c.unmatched.Load(),
		"unknown-keys": c.unknownKey.Load(), "invalid": c.invalid.Load(), "attempts": c.attempts.Load(),
		"attempts-not-run": c.notRun.Load(), "attempts-lost": c.lost.Load(), "streams-resumed": c.resumed.Load(),
		"attempts-rescued": c.rescued.Load(), "cascade-steps": c.escalated.Load(), "responses-spoiled": c.spoiled.Load(),
		"upstreams-silent": c.silent.Load(), "requests-missing": c.missing.Load(), "upstream-errors": c.upstreamErrors.Load(), "retries-over-budget": c.budgetExceeded.Load(),
	}
}

// State is the part of the entry that the state dump shows.
type State struct {
	Active    int64 `json:"active"`
	BodyBytes int64 `json:"body-bytes"`
}

// State returns a State.
func (f *Forwarder) State() any {
	return State{Active: f.active.Load(), BodyBytes: f.bodies.Load()}
}
