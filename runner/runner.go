package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/reaper"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// heapShare is the part of the memory that the collector keeps the heap below; the rest is for stacks and the program.
	heapShare = 0.6
	// bodyShare is the part of the memory that request bodies may take.
	bodyShare = 0.2
	// sweepTime is the time between two looks for connections that are over.
	sweepTime = time.Second
	// repeatShare and cascadeShare are the parts of the ratio of repeats that failed attempts and cascades may use. A sixth is
	// left, so that a window that cuts off the requests but not their repeats stays within the bound. Half of the answers of a
	// smallest model lack confidence.
	repeatShare  = 0.28
	cascadeShare = 0.55
	// repeatBurst and cascadeBurst are what an entry saves up: repeats for the streams of a crashed engine, cascades for some
	// requests at once. The part of the ratio that is left covers the bursts of all entries, which do not know their number.
	repeatBurst  = 20
	cascadeBurst = 10
	// stopCheck is the time between two looks at the requests of an entry that stops, closeTime what its listener is closed before
	// the deadline.
	stopCheck = 100 * time.Millisecond
	closeTime = time.Second
	// endTime is left of the shutdown time for the end of the process.
	endTime = 400 * time.Millisecond
	// contactMargin is what detecting a silent connection takes beyond the wait of a call: the answer time and a new connection.
	contactMargin = time.Second
	// maxHeaderTime and maxIdleTime bound connections of callers before there is a configuration, and above its limits.
	maxHeaderTime = time.Minute
	maxIdleTime   = 10 * time.Minute
	// maxReport bounds a report in bytes; one with 64 requests takes some 3 KB.
	maxReport = 256 << 10
	// minWait bounds the calls of the store, which are priced.
	minWait = 500 * time.Millisecond
	// subset bounds the upstreams of a service that an entry sends to.
	subset = 64
	// waitingLoad is the number of running requests that a waiting one counts as: with 1 the choice missed engines that read long
	// prompts, with 12 too few requests found the prompts that their engine had read.
	waitingLoad = 4
)

// Platform is what the entry runs on.
type Platform struct {
	Headers   forwarder.Headers
	ReadyPath string
	// ReportPath is where an engine tells its state without a slot, and Report reads what it says.
	ReportPath string
	Report     func(io.Reader) (forwarder.Report, error)
	// SetStore changes the address of the store.
	SetStore  func(netip.AddrPort)
	Upstreams follower.Source[registrar.Change]
	// FollowOperator gives the routes and orders; apply is called for each row in order.
	FollowOperator func(wait time.Duration, log *slog.Logger, table func(*matcher.Table, error), order func(promoter.RolloutOrder)) Follower
	Rollouts       RolloutStore
	Counters       func() map[string]int64
}

// Follower is a follower of unknown type.
type Follower struct {
	Run         func(context.Context) error
	ConfirmedAt func() time.Time
	Counters    func() map[string]int64
}

// Runner is an entry process.
type Runner struct {
	settings  atomic.Pointer[Settings]
	platform  Platform
	log       *slog.Logger
	meter     *meter.Meter
	table     atomic.Pointer[matcher.Table]
	balancer  *balancer.Balancer
	pool      *connector.Pool
	registrar *registrar.Registrar
	directory *directory
	rollouts  *rollouts
	forwarder *forwarder.Forwarder
	reaper    *reaper.Reaper
	upstreams *follower.Follower[registrar.Change]
	operator  Follower
	leaving   atomic.Bool
	stopping  atomic.Pointer[stopping]
	ready     atomic.Bool
}

// New builds an entry.
func New(s Settings, p Platform, log *slog.Logger) *Runner {
	r := &Runner{platform: p, log: log, meter: meter.New()}
	r.settings.Store(&s)
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryBytes)))
	r.balancer = balancer.New(s.DataCentre, balancer.WithRegion(s.Region), balancer.WithSelf(s.Instance),
		balancer.WithSubset(subset), balancer.WithWaitingWeight(waitingLoad))
	r.pool = connector.New(connector.WithEcho(p.Headers.RequestID))
	r.rollouts = &rollouts{
		store: p.Rollouts, entry: s.Instance, share: s.MaxExposure, sessionTime: s.SessionTime, now: time.Now, log: log, services: map[identifier.Service]*rollout{}, active: map[versionOf]int64{}, rejected: map[versionOf]bool{},
		recent: pinner.NewRecentSessions(s.SessionTime),
	}
	r.directory = &directory{regions: s.regions(), group: r.rollouts.group, update: r.balancer.Update}
	r.rollouts.regroup, r.rollouts.sizeOf = r.directory.regroup, r.directory.size
	r.registrar = registrar.New(registrar.WithUpdate(r.listed))
	r.buildForwarder()
	r.reaper = reaper.New(r.connectionLimits)
	wait := max(s.ReconnectTime-contactMargin, minWait)
	r.upstreams = follower.New(p.Upstreams, r.registrar.Apply, log)
	r.upstreams.Wait = wait
	r.upstreams.OnOutage = r.registrar.MarkStoreLost
	r.operator = p.FollowOperator(wait, log, r.configured, r.rollouts.ordered)
	for name, counters := range map[string]func() map[string]int64{
		"forwarder": r.forwarder.Counters, "balancer": r.balancer.Counters, "connector": r.pool.Counters, "reaper": r.reaper.Counters,
		"registrar": r.registrar.Counters, "follower": r.upstreams.Counters, "operator": r.operator.Counters, "store": p.Counters,
	} {
		r.meter.Register(name, counters)
	}
	return r
}

// Register adds the counters of a part to the metrics, before Run.
func (r *Runner) Register(name string, counters func() map[string]int64) {
	r.meter.Register(name, counters)
}

func (r *Runner) buildForwarder() {
	s := r.settings.Load()
	budgets := &forwarder.Budgets{New: func() *forwarder.Budget {
		ratio := r.settings.Load().Retries.Ratio
		return &forwarder.Budget{
			Retries:  limiter.NewBudget(limiter.WithRatio(repeatShare*ratio), limiter.WithBurst(repeatBurst), limiter.WithFloor(0)),
			Cascades: limiter.NewBudget(limiter.WithRatio(cascadeShare*ratio), limiter.WithBurst(cascadeBurst), limiter.WithFloor(0)),
		}
	}}
	r.forwarder = forwarder.New(forwarder.WithHeaders(r.platform.Headers), forwarder.WithBalancer(r.balancer),
		forwarder.WithPool(r.pool), forwarder.WithLog(r.log), forwarder.WithMeter(r.meter), forwarder.WithBudgets(budgets),
		forwarder.WithMaxBodies(int64(bodyShare*float64(s.MemoryBytes))))
	r.forwarder.Table = r.table.Load
	r.forwarder.Upstream = r.directory.upstream
	r.forwarder.Group = r.rollouts.pool
	r.forwarder.Started, r.forwarder.Ended, r.forwarder.Observe = r.rollouts.started, r.rollouts.ended, r.rollouts.observe
	r.forwarder.Probe = r.probe
	r.forwarder.StopTimes = func() (time.Time, time.Time) {
		if x := r.stopping.Load(); x != nil {
			return x.began, x.deadline
		}
		return time.Time{}, time.Time{}
	}
}

// probe asks an upstream for a report.
func (r *Runner) probe(ctx context.Context, u *registrar.Upstream, name identifier.Upstream) (forwarder.Report, error) {
	w, err := r.pool.Send(ctx, connector.Peer{Name: name, Address: u.Address}, &connector.Request{
		Method: http.MethodGet, URI: r.platform.ReportPath, Host: u.Address.String(), Header: http.Header{},
	})
	if err != nil {
		return forwarder.Report{}, err
	}
	defer w.Close()
	report, err := r.platform.Report(io.LimitReader(w, maxReport))
	if err != nil {
		// The head was the sign of life, but the upstream may have any request.
		r.log.Warn("report cannot be read", "upstream", name, "error", err.Error())
		return forwarder.Report{Others: 1}, nil
	}
	return report, nil
}

// configured takes a configuration; one that is older than that in force is ignored.
func (r *Runner) configured(t *matcher.Table, err error) {
	if err != nil {
		r.log.Error("configuration is not usable", "error", err.Error())
		return
	}
	if old := r.table.Load(); old != nil && t.Revision <= old.Revision {
		if t.Revision < old.Revision {
			r.log.Warn("older configuration ignored", "revision", t.Revision, "in-force", old.Revision)
		}
		return
	}
	r.table.Store(t)
	r.log.Info("configuration in force", "revision", t.Revision, "routes", t.Routes())
}

// connectionLimits returns how long callers may take for headers and keep a connection without a request.
func (r *Runner) connectionLimits() (header, idle time.Duration) {
	if t := r.table.Load(); t != nil {
		return t.Limits.HeaderTime, t.Limits.IdleTime
	}
	return 0, 0
}

// listed takes a new list of upstreams.
func (r *Runner) listed(list []registrar.Upstream) {
	r.directory.set(list)
	leaving := 0
	for i := range list {
		if list[i].Leaving {
			leaving++
		}
	}
	r.log.Info("upstreams changed", "upstreams", len(list), "leaving", leaving, "version", r.upstreams.Version())
}

// isReady reports whether the entry should get new connections.
func (r *Runner) isReady() bool {
	if r.leaving.Load() || r.table.Load() == nil || !r.registrar.Synced() || !r.rollouts.known() {
		return false
	}
	if !r.ready.Swap(true) {
		r.log.Info("entry is ready", "revision", r.table.Load().Revision)
	}
	return true
}

// Run serves until ctx ends; it then says that it is not ready, finishes the requests in progress, and returns.
func (r *Runner) Run(ctx context.Context) error {
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	g, duties := errgroup.WithContext(duties)
	r.log.Info("entry starts", "data-centre", r.settings.Load().DataCentre, "store", r.settings.Load().Store)
	callers := &http.Server{
		Handler: r.handler(), ReadHeaderTimeout: maxHeaderTime, IdleTimeout: maxIdleTime, MaxHeaderBytes: 64 << 10,
	}
	r.reaper.Attach(callers)
	l, err := listen(ctx, r.settings.Load().CallerAddress)
	if err != nil {
		return err
	}
	for _, x := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{r.settings.Load().ReadyAddress, r.readyHandler()}, {r.settings.Load().DebugAddress, r.debugHandler()}} {
		side, err := listen(ctx, x.address)
		if err != nil {
			return errors.Join(err, l.Close())
		}
		g.Go(func() error { return serve(duties, side, x.handler) })
	}
	g.Go(func() error { return r.upstreams.Run(duties) })
	g.Go(func() error { return r.operator.Run(duties) })
	g.Go(func() error { return r.rollouts.run(duties) })
	g.Go(func() error { return r.sweep(duties) })
	failed := make(chan error, 1)
	go func() { failed <- callers.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("runner: serve %s: %w", l.Addr(), err)
	case <-duties.Done():
		err = context.Cause(duties)
	case <-ctx.Done():
		err = r.stop(callers)
	}
	stopDuties()
	return errors.Join(err, g.Wait())
}

// stopping is a planned stop in progress.
type stopping struct {
	began, deadline time.Time
}

// stop ends serving within the shutdown time: the entry says that it is not ready, serves what it still gets until its streams
// have ended, and then closes its listener.
func (r *Runner) stop(callers *http.Server) error {
	now := time.Now()
	x := &stopping{began: now, deadline: now.Add(r.settings.Load().Shutdown - endTime)}
	r.stopping.Store(x)
	r.leaving.Store(true)
	r.log.Info("entry stops", "active", r.forwarder.Active(), "streams", r.forwarder.Streams(), "deadline", x.deadline)
	for {
		time.Sleep(stopCheck)
		now := time.Now()
		if now.After(x.deadline.Add(-closeTime)) || now.After(x.began.Add(forwarder.DeregistrationDelay)) && r.forwarder.Streams() == 0 {
			break
		}
	}
	last, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	err := callers.Shutdown(last)
	if err != nil {
		r.log.Warn("requests ended by the stop", "active", r.forwarder.Active())
		err = callers.Close()
	}
	r.log.Info("entry stopped")
	return err
}

// handler serves callers, and tells them to open another connection once the entry leaves.
func (r *Runner) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		r.forwarder.ServeHTTP(w, q)
	})
}

func (r *Runner) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (r *Runner) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		r.registrar.Tick()
		r.reaper.CloseExpired()
		r.pool.Sweep(func(p connector.Peer) bool { return r.directory.upstream(p.Name) != nil })
		r.forwarder.Retain(func(name identifier.Upstream) bool { return r.directory.upstream(name) != nil })
		if at := r.upstreams.ConfirmedAt(); !at.IsZero() {
			r.meter.Observe(meter.AllLatencies().ConfigurationAge, string(r.settings.Load().DataCentre), time.Since(r.operator.ConfirmedAt()))
		}
	}
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("runner: listen at %s: %w", address, err)
	}
	return l, nil
}

// serve serves HTTP until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("runner: serve %s: %w", l.Addr(), err)
	}
	return nil
}
