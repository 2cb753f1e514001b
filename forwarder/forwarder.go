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
	"github.com/siskinfront/siskinfront/quarantiner"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/throttler"
)

// Budget bounds what is sent beyond the first attempt of each request of a service.
type Budget struct {
	// Retries bounds attempts after a failure, Cascades those that ask a larger model. They are separate so that cascades do not
	// use up the retries for failures, also at an entry with few requests.
	Retries, Cascades *limiter.Budget
}

// recordRequest credits both budgets with the first attempt of a request.
func (b *Budget) recordRequest() {
	b.Retries.Success()
	b.Cascades.Success()
}

// Budgets holds the budget of each service.
type Budgets struct {
	// New creates the budget of a service at its first request.
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

// Attempt is one send of a request to an upstream.
type Attempt struct {
	// ID is unique among the attempts of a forwarder.
	ID       uint64
	Service  identifier.Service
	Upstream *registrar.Upstream
	Route    string
	// Model is the model that the upstream was asked for, or empty if the request names none.
	Model string
}

// Result is what one attempt shows about the version of its upstream.
type Result struct {
	Attempt
	// Failed is set if the upstream may have run the request and reported a failure or sent no complete, valid response.
	Failed bool
}

// Forwarder serves callers; its function fields are set before the first request.
type Forwarder struct {
	// Now returns the current time.
	Now func() time.Time
	// Table returns the routes in force, or nil before they are known.
	Table func() *matcher.Table
	// Upstream returns the upstream that the balancer chose by name, or nil if it has left since.
	Upstream func(identifier.Upstream) *registrar.Upstream
	// Group returns the group of upstreams of a service that serves the requests of a session, bound to some regions, while versions change.
	Group func(service identifier.Service, session uint64, bound matcher.Regions) identifier.Service
	// OnAttemptStart and OnAttemptEnd are called at the start and the end of each attempt. OnResult receives the result of each
	// attempt in which the request may have run, unless it was canceled, before OnAttemptEnd.
	OnAttemptStart, OnAttemptEnd func(Attempt)
	OnResult                     func(Result)
	// OnResponse receives the time from sending a request to its response, or to the first event of a stream, and OnPace the time that PaceEvents events
	// of a stream take after the first one, scaled up if the stream ends before.
	OnResponse, OnPace func(Attempt, time.Duration)
	// OnPrompt receives the prompt of each attempt whose length is known, and OnPromptRead the same with the time from sending it to the first
	// event. OnPromptUnread receives it instead if the attempt ends without an event. All may be nil.
	OnPrompt       func(Prompt)
	OnPromptRead   func(Prompt, time.Duration)
	OnPromptUnread func(Prompt)
	// OnLeaving receives an upstream when its responses begin to say that it leaves.
	OnLeaving func(*registrar.Upstream)
	// OnCold receives an upstream with the end of the time in which it is cold, as each response says that names one.
	OnCold func(*registrar.Upstream, time.Time)
	// OnRefused receives an upstream at whose address no process listens.
	OnRefused func(*registrar.Upstream)
	// ClaimTrial reports whether this entry may send the next request with a part that is blocked.
	ClaimTrial func(context.Context, quarantiner.Block) bool
	// Probe asks an upstream for a report, which takes none of its slots; an answer shows that the upstream is responsive.
	Probe func(context.Context, *registrar.Upstream, identifier.Upstream) (Report, error)
	// StopTimes returns when a planned stop of the entry began and by when its requests must have ended, or zero times.
	StopTimes func() (began, deadline time.Time)
	// Region returns the region of a data centre, or "" if it is in no known one.
	Region func(identifier.DataCentre) identifier.Region
	// ConnectionEnd returns why the connection of a request with this context ended, or "", and whether the caller ended it.
	ConnectionEnd func(context.Context) (reason string, byCaller bool)

	headers      Headers
	notForwarded map[string]bool
	// leavingHeader, limitHeader and coldHeader are headers.Leaving, headers.Limit and headers.Cold in canonical form.
	leavingHeader, limitHeader, coldHeader string
	balancer                               *balancer.Balancer
	pool                                   *connector.Pool
	cascades                               *selector.ConfidenceCascades
	budgets                                *Budgets
	log                                    *slog.Logger
	meter                                  *meter.Meter
	rand                                   func() float64

	quarantine *quarantiner.Quarantine
	throttler  *throttler.Throttler
	losses     lossList

	queues       sync.Map // identifier.Service to *queueing
	liveness     sync.Map // identifier.Upstream to *liveness
	bodyBytes    atomic.Int64
	maxBodyBytes int64
	// backlogBytes is the memory of all backlogs, and slow holds the deliveries whose callers are behind.
	backlogBytes    atomic.Int64
	maxBacklogBytes int64
	slow            sync.Map // *delivery to struct{}
	active          atomic.Int64
	streams         atomic.Int64
	attempts        atomic.Uint64
	unresponsive    unresponsiveList
	slowdowns       *slowdownTracker
	evenLoad        bool
	counters        counters
}

// liveness is what is known of an upstream's responsiveness; its atomic times are in Unix nanoseconds.
type liveness struct {
	// lastReceivedAt is when the upstream last sent anything to this entry.
	lastReceivedAt atomic.Int64
	// silenceEndedAt is when the upstream last sent something after a time of at least silenceThreshold without anything.
	silenceEndedAt atomic.Int64
	// busyAt is when the upstream last stated that requests wait there.
	busyAt atomic.Int64

	// announcedLeaving is set once a response said that the upstream leaves, and invalidLeaving once one had an invalid value there.
	announcedLeaving, invalidLeaving atomic.Bool
	// invalidLimit is set once a response named an invalid limit, and invalidPause once one asked for an invalid pause.
	invalidLimit, invalidPause atomic.Bool
	// invalidLoad is set once a response had an invalid fourth figure in its load.
	invalidLoad atomic.Bool
	// invalidCold is set once a response named an invalid cold time.
	invalidCold atomic.Bool

	// probe is the last probe, or nil.
	probe atomic.Pointer[probe]

	// mu is held while the upstream is asked.
	mu sync.Mutex
	// report is the last one, received at reportedAt.
	report     Report
	reportedAt time.Time
}

// probe is the end of a probe of an upstream.
type probe struct {
	at     time.Time
	failed bool
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithHeaders sets the names of headers.
func WithHeaders(h Headers) Option {
	return func(f *Forwarder) { f.headers = h }
}

// WithBalancer sets the balancer that chooses upstreams.
func WithBalancer(b *balancer.Balancer) Option {
	return func(f *Forwarder) { f.balancer = b }
}

// WithPool sets the pool of connections to upstreams.
func WithPool(p *connector.Pool) Option {
	return func(f *Forwarder) { f.pool = p }
}

// WithLog sets the log of requests and their attempts.
func WithLog(log *slog.Logger) Option {
	return func(f *Forwarder) { f.log = log }
}

// WithMeter sets the meter of latencies.
func WithMeter(m *meter.Meter) Option {
	return func(f *Forwarder) { f.meter = m }
}

// WithBudgets sets the budgets of retries and cascades.
func WithBudgets(b *Budgets) Option {
	return func(f *Forwarder) { f.budgets = b }
}

// WithQuarantine sets what is known of parts of prompts on which upstreams crash.
func WithQuarantine(q *quarantiner.Quarantine) Option {
	return func(f *Forwarder) { f.quarantine = q }
}

// WithThrottler sets what is known of the limits that upstreams name.
func WithThrottler(t *throttler.Throttler) Option {
	return func(f *Forwarder) { f.throttler = t }
}

// WithMaxBodyBytes bounds the total size in bytes of the request bodies in memory.
func WithMaxBodyBytes(n int64) Option {
	return func(f *Forwarder) { f.maxBodyBytes = n }
}

// WithMaxBacklogBytes bounds the total size in bytes of what is read of responses ahead of callers that read slowly.
func WithMaxBacklogBytes(n int64) Option {
	return func(f *Forwarder) { f.maxBacklogBytes = n }
}

// New returns a forwarder; its fields Table, Upstream, Group and Probe must be set before the first request.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{
		Now: time.Now, OnResult: func(Result) {}, OnLeaving: func(*registrar.Upstream) {}, OnCold: func(*registrar.Upstream, time.Time) {},
		OnRefused:      func(*registrar.Upstream) {},
		OnAttemptStart: func(Attempt) {}, OnAttemptEnd: func(Attempt) {},
		OnResponse: func(Attempt, time.Duration) {}, OnPace: func(Attempt, time.Duration) {},
		StopTimes:     func() (time.Time, time.Time) { return time.Time{}, time.Time{} },
		ConnectionEnd: func(context.Context) (string, bool) { return "", false },
		Region:        func(identifier.DataCentre) identifier.Region { return "" },
		ClaimTrial:    func(context.Context, quarantiner.Block) bool { return false }, quarantine: quarantiner.New(), throttler: throttler.New(),
		cascades: selector.NewConfidenceCascades(), log: slog.Default(), meter: meter.New(), rand: rand.Float64, maxBodyBytes: 16 << 20, maxBacklogBytes: 8 << 20, slowdowns: newSlowdownTracker(),
	}
	for _, o := range opts {
		o(f)
	}
	f.leavingHeader, f.limitHeader = http.CanonicalHeaderKey(f.headers.Leaving), http.CanonicalHeaderKey(f.headers.Limit)
	f.coldHeader = http.CanonicalHeaderKey(f.headers.Cold)
	f.notForwarded = map[string]bool{}
	for _, h := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host", "Authorization",
		f.headers.Account, f.headers.ExpectUpstream, f.headers.Urgency, f.headers.Deadline,
	} {
		f.notForwarded[http.CanonicalHeaderKey(h)] = true
	}
	for _, h := range f.headers.Reserved {
		f.notForwarded[http.CanonicalHeaderKey(h)] = true
	}
	return f
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	f.counters.requests.Add(1)
	var q *request
	defer func() {
		if v := recover(); v != nil {
			f.answerPanic(w, r, q, v)
		}
	}()
	q, refusal := f.accept(w, r)
	defer f.releaseBody(q)
	if refusal != nil {
		f.refuse(w, q, refusal)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errDeadline)
	defer cancel()
	runCtx, cancelRun := context.WithCancelCause(ctx)
	defer cancelRun(nil)
	q.cancel = cancelRun
	var err error
	if q.route.Kind == matcher.Stream {
		f.streams.Add(1)
		defer f.streams.Add(-1)
		err = f.stream(runCtx, w, q)
	} else {
		err = f.unary(runCtx, w, q)
	}
	f.finish(ctx, w, q, err)
}

// errDeadline is the cause with which a request is canceled at its deadline.
var errDeadline = errors.New("forwarder: deadline exceeded")

// finish records the end of a request and, if it failed before any part of a response was sent, answers it. If it failed later,
// the connection is aborted.
func (f *Forwarder) finish(ctx context.Context, w http.ResponseWriter, q *request, err error) {
	if err == nil {
		f.counters.answered.Add(1)
		f.record(q, "answered", nil)
		return
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errDeadline) {
		f.recordCanceled(ctx, q, err)
		panic(http.ErrAbortHandler)
	}
	if q.responseStarted {
		f.counters.streamsBroken.Add(1)
		f.record(q, "broken", err)
		panic(http.ErrAbortHandler)
	}
	var x *refusal
	if !errors.As(err, &x) {
		x = f.failure(ctx, q, err)
	}
	f.refuse(w, q, x)
}

// recordActivity records that an upstream has just sent something.
func (f *Forwarder) recordActivity(name identifier.Upstream) {
	s := f.livenessOf(name)
	now := f.Now().UnixNano()
	if last := s.lastReceivedAt.Swap(now); now-last >= int64(silenceThreshold) {
		s.silenceEndedAt.Store(now)
	}
}

func (f *Forwarder) livenessOf(name identifier.Upstream) *liveness {
	if s, ok := f.liveness.Load(name); ok {
		return s.(*liveness)
	}
	s, _ := f.liveness.LoadOrStore(name, &liveness{})
	return s.(*liveness)
}

// Retain drops the state of upstreams for which live returns false.
func (f *Forwarder) Retain(live func(identifier.Upstream) bool) {
	f.slowdowns.retain(live)
	f.liveness.Range(func(k, _ any) bool {
		if !live(k.(identifier.Upstream)) {
			f.liveness.Delete(k)
		}
		return true
	})
}
