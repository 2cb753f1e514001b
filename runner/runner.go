package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/arbiter"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/evacuator"
	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/prober"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/reaper"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/throttler"
)

const (
	// heapFraction is the fraction of the memory below which the garbage collector keeps the heap; the rest is for stacks and the
	// program itself.
	heapFraction = 0.6
	// bodyFraction is the fraction of the memory that request bodies may use.
	bodyFraction = 0.2
	// backlogFraction is the fraction of the memory that responses may use which callers read slowly.
	backlogFraction = 0.1
	// sweepInterval is the time between two searches for expired connections.
	sweepInterval = time.Second
	// retryShare and cascadeShare are the fractions of the configured retry ratio for retries after failed attempts and for
	// cascades. A sixth is left unused, so that the bound also holds in a window that contains retries but not the requests they
	// belong to. Cascades get the larger fraction because half of the answers of a smallest model lack confidence.
	retryShare   = 0.28
	cascadeShare = 0.55
	// retryBurst and cascadeBurst bound the unused retries and cascades that an entry accumulates: retries for the streams of a
	// crashed engine, cascades for some concurrent requests. The unused part of the ratio covers the bursts of all entries, which
	// do not know how many entries there are.
	retryBurst   = 20
	cascadeBurst = 10
	// followedTables is the number of tables of the store that an entry follows.
	followedTables = 3
	// maxHeaderTime and maxIdleTime bound the header and idle times of callers' connections, whatever the configuration sets and
	// while there is none.
	maxHeaderTime = time.Minute
	maxIdleTime   = 10 * time.Minute
	// maxReportBytes bounds the report of an upstream; one with 64 requests has some 3 KB.
	maxReportBytes = 256 << 10
	// maxSubset bounds the upstreams of a service to which one entry sends requests.
	maxSubset = 64
	// waitingWeight is the number of running requests that a waiting one counts as in the load. With 1 the load does not show
	// engines that are busy reading long prompts; with 12 too few requests go to the engine that has already read their prompt.
	waitingWeight = 4
)

// Platform holds the functions and names by which the entry uses the platform that it runs on.
type Platform struct {
	Headers   forwarder.Headers
	ReadyPath string
	// ReportPath is the path at which an upstream reports its requests without using a slot, and Report parses that report.
	ReportPath string
	Report     func(io.Reader) (forwarder.Report, error)
	// SetStore changes the address of the store.
	SetStore  func(netip.AddrPort)
	Upstreams follower.Source[registrar.Change]
	// FollowOperator returns a follower of the operator's routes and roll-out orders, which reports the rows in their order.
	FollowOperator func(pace func() pacer.Pace, log *slog.Logger, on OperatorEvents) Follower
	Rollouts       RolloutStore
	Shared         SharedStore
	Counters       func() map[string]int64
}

// OperatorEvents holds the functions that receive what the operator has written.
type OperatorEvents struct {
	// Configuration receives a configuration, or the error in one.
	Configuration func(arbiter.Candidate, error)
	// Order receives an order; mayBeOld is set if the store may have had it before it came back from an older copy.
	Order func(o promoter.RolloutOrder, mayBeOld bool)
	// Evacuations receives the changes of orders to evacuate data centres in each batch, before anything else of it.
	Evacuations func(evacuator.Batch)
	// Returned is called with the era that begins when the store has come back from an older copy.
	Returned func(era uint64)
}

// Follower is a follower whose type parameter is hidden.
type Follower struct {
	Run         func(context.Context) error
	ConfirmedAt func() time.Time
	Counters    func() map[string]int64
	// SetConfirmer sets what decides on the calls from what other entries tell; it must be called before Run, and may be nil.
	SetConfirmer func(*confirmer.Table)
	// SetProbe sets what decides on the calls while the store is out; it must be called before Run, and may be nil.
	SetProbe func(*prober.Member)
}

// Runner is an entry process.
type Runner struct {
	settings atomic.Pointer[Settings]
	platform Platform
	log      *slog.Logger
	meter    *meter.Meter
	table    atomic.Pointer[matcher.Table]
	// arbiter is guarded by arbiterMu.
	arbiterMu     sync.Mutex
	arbiter       *arbiter.Arbiter
	inquiry       *inquiry
	balancer      *balancer.Balancer
	pool          *connector.Pool
	registrar     *registrar.Registrar
	directory     *directory
	evacuator     *evacuator.Evacuator
	rollouts      *rollouts
	forwarder     *forwarder.Forwarder
	sharing       *sharing
	cold          *coldness
	confirmations *confirmations
	storeProbe    *prober.Group
	reaper        *reaper.Reaper
	upstreams     *follower.Follower[registrar.Change]
	operator      Follower
	stopping      atomic.Bool
	plannedStop   atomic.Pointer[plannedStop]
	wasReady      atomic.Bool
}

// New builds an entry.
func New(s Settings, p Platform, log *slog.Logger) *Runner {
	r := &Runner{platform: p, log: log, meter: meter.New()}
	r.settings.Store(&s)
	limitMemory(&s)
	balancing := []balancer.Option{
		balancer.WithRegion(s.Region), balancer.WithSelf(s.Instance), balancer.WithSubsetSize(maxSubset), balancer.WithWaitingWeight(waitingWeight),
	}
	if s.EvenLoad {
		balancing = append(balancing, balancer.WithEvenLoad())
	}
	r.balancer = balancer.New(s.DataCentre, balancing...)
	r.pool = connector.New(connector.WithEcho(p.Headers.RequestID))
	calls := &rolloutCalls{}
	r.rollouts = &rollouts{
		store: calls.count(p.Rollouts), entry: s.Instance, bound: s.exposureBound(), sessionTime: s.SessionTime, now: time.Now, log: log,
		services: map[identifier.Service]*rollout{}, orders: map[identifier.Service]*promoter.Orders{}, activeRequests: map[serviceVersion]int64{},
		rolledBack: map[serviceVersion]bool{}, learned: map[identifier.Service][]statedVerdict{}, wake: make(chan struct{}, 1),
		recentSessions: pinner.NewRecentSessions(s.SessionTime),
	}
	r.evacuator = evacuator.New(s.EvacuateTime, evacuator.WithOnEvent(r.applyEvacuation))
	r.directory = &directory{
		regions: s.regions(), group: r.rollouts.group, isEvacuated: r.evacuator.IsEvacuated, update: r.balancer.Update,
	}
	r.rollouts.regroup, r.rollouts.groupSize = r.directory.regroup, r.directory.size
	r.registrar = registrar.New(registrar.WithUpdate(r.updateUpstreams))
	r.registrar.OnLeaving = r.logLeaving
	r.sharing = newSharing(p.Shared, s.Instance, s.PeerAddress, log)
	r.sharing.throttler.SetColdBound(s.coldBound())
	r.cold = newColdness(r.sharing.throttler, func(x throttler.ColdReport) { r.sharing.broadcaster.Send(message{Cold: &x}) }, log)
	r.sharing.onCold, r.registrar.OnRegistered = r.cold.heard, r.cold.registered
	r.buildForwarder()
	r.reaper = reaper.New(r.connectionLimits)
	r.arbiter = &arbiter.Arbiter{Hold: s.ApplyTime / configurationHoldShare}
	r.inquiry = newInquiry(r.arbiter.Hold)
	r.sharing.onQuestion, r.sharing.onStatement, r.sharing.onPeers = r.answer, r.learn, r.inquiry.notify
	r.upstreams = follower.New(p.Upstreams, func(b follower.Batch[registrar.Change]) {
		if b.Returned {
			r.registrar.MarkStoreReturned()
		}
		r.cold.noteRegistrations(b.Rows)
		r.registrar.Apply(b.Rows, b.All)
	}, log)
	upstreamPace := r.paceWithin(s.LeaveTime)
	r.upstreams.Pace = func() pacer.Pace {
		p := upstreamPace()
		if r.registrar.IsRecovering() {
			p.Pause = pacer.MinPause
		}
		return p
	}
	r.upstreams.OnOutage = r.registrar.MarkStoreUnavailable
	r.operator = p.FollowOperator(r.paceWithin(s.operatorBound()), log, OperatorEvents{
		Configuration: r.applyConfiguration, Order: r.rollouts.addOrder, Evacuations: r.evacuator.Apply, Returned: r.rollouts.storeReturned,
	})
	r.shareConfirmations()
	r.shareProbe()
	for name, counters := range map[string]func() map[string]int64{
		"store-probe": r.storeProbe.Counters, "confirmations": r.confirmations.Counters, "follower-confirmer": r.confirmations.upstreams.Counters, "operator-confirmer": r.confirmations.operator.Counters,
		"forwarder": r.forwarder.Counters, "balancer": r.balancer.Counters, "connector": r.pool.Counters, "reaper": r.reaper.Counters,
		"quarantine": r.sharing.quarantine.Counters, "throttler": r.sharing.throttler.Counters, "limit-owner": r.sharing.owner.Counters, "broadcaster": r.sharing.broadcaster.Counters, "shared": r.sharing.follower.Counters,
		"evacuator": r.evacuator.Counters, "registrar": r.registrar.Counters, "follower": r.upstreams.Counters, "operator": r.operator.Counters, "store": p.Counters, "rollouts": calls.Counters,
	} {
		r.meter.Register(name, counters)
	}
	r.meter.RegisterGauges("forwarder", r.forwarder.Gauges)
	return r
}

// Register adds the counters of a component to the metrics; it must be called before Run.
func (r *Runner) Register(name string, counters func() map[string]int64) {
	r.meter.Register(name, counters)
}

func (r *Runner) buildForwarder() {
	s := r.settings.Load()
	budgets := &forwarder.Budgets{New: func() *forwarder.Budget {
		ratio := r.settings.Load().Retries.Ratio
		return &forwarder.Budget{
			Retries:  limiter.NewBudget(limiter.WithRatio(retryShare*ratio), limiter.WithBurst(retryBurst), limiter.WithFloor(0)),
			Cascades: limiter.NewBudget(limiter.WithRatio(cascadeShare*ratio), limiter.WithBurst(cascadeBurst), limiter.WithFloor(0)),
		}
	}}
	opts := []forwarder.Option{
		forwarder.WithHeaders(r.platform.Headers), forwarder.WithBalancer(r.balancer),
		forwarder.WithPool(r.pool), forwarder.WithLog(r.log), forwarder.WithMeter(r.meter), forwarder.WithBudgets(budgets),
		forwarder.WithMaxBodyBytes(int64(bodyFraction * float64(s.MemoryBytes))), forwarder.WithQuarantine(r.sharing.quarantine),
		forwarder.WithThrottler(r.sharing.throttler), forwarder.WithMaxBacklogBytes(int64(backlogFraction * float64(s.MemoryBytes))),
	}
	if s.EvenLoad {
		opts = append(opts, forwarder.WithEvenLoad())
	}
	r.forwarder = forwarder.New(opts...)
	r.forwarder.ClaimTrial = r.sharing.claimTrial
	r.forwarder.Table = r.table.Load
	r.forwarder.Upstream = r.directory.upstream
	r.forwarder.Region = func(d identifier.DataCentre) identifier.Region { return r.directory.regions[d] }
	r.forwarder.Group = r.rollouts.sessionGroup
	r.forwarder.OnAttemptStart, r.forwarder.OnAttemptEnd, r.forwarder.OnResult =
		r.rollouts.attemptStarted, r.rollouts.attemptEnded, r.rollouts.addAnswer
	r.forwarder.OnResponse, r.forwarder.OnPace = r.rollouts.addResponse, r.rollouts.addPace
	r.forwarder.OnLeaving = r.registrar.AnnounceLeaving
	r.forwarder.OnCold, r.forwarder.OnRefused = r.cold.answered, r.cold.refused
	r.forwarder.Probe = r.probe
	r.forwarder.ConnectionEnd = func(ctx context.Context) (string, bool) {
		end := reaper.EndOf(ctx)
		return string(end), end.ByCaller()
	}
	r.forwarder.StopTimes = func() (time.Time, time.Time) {
		if x := r.plannedStop.Load(); x != nil {
			return x.began, x.deadline
		}
		return time.Time{}, time.Time{}
	}
}

// probe requests the report of an upstream.
func (r *Runner) probe(ctx context.Context, u *registrar.Upstream, name identifier.Upstream) (forwarder.Report, error) {
	w, err := r.pool.Send(ctx, connector.Peer{Name: name, Address: u.Address}, &connector.Request{
		Method: http.MethodGet, URI: r.platform.ReportPath, Host: u.Address.String(), Header: http.Header{},
	})
	if err != nil {
		return forwarder.Report{}, err
	}
	defer w.Close()
	r.forwarder.ObserveSignals(u, w.Response)
	report, err := r.platform.Report(io.LimitReader(w, maxReportBytes))
	if err != nil {
		// The response shows that the upstream is alive, but not which requests it has: it may have any.
		r.log.Warn("report cannot be read", "upstream", name, "error", err.Error())
		return forwarder.Report{WithoutID: 1}, nil
	}
	return report, nil
}

// connectionLimits returns the time that callers may take to send the headers, and the time for which their connections may be
// idle.
func (r *Runner) connectionLimits() (header, idle time.Duration) {
	if t := r.table.Load(); t != nil {
		return t.Limits.HeaderTimeout, t.Limits.IdleTimeout
	}
	return 0, 0
}

// updateUpstreams puts a new list of upstreams into use.
func (r *Runner) updateUpstreams(list []registrar.Upstream) {
	r.directory.setList(list)
	leaving := 0
	for i := range list {
		if list[i].Leaving {
			leaving++
		}
	}
	r.log.Info("upstreams changed", "upstreams", len(list), "leaving", leaving, "position", r.upstreams.Position().String())
}

// isReady reports whether the load balancer should send new connections to the entry.
func (r *Runner) isReady() bool {
	if r.stopping.Load() || r.table.Load() == nil || !r.registrar.Synced() || !r.rollouts.allKnown() {
		return false
	}
	if !r.wasReady.Swap(true) {
		r.rollouts.ready.Store(true)
		r.log.Info("entry is ready", "revision", r.table.Load().Revision)
	}
	return true
}

// Run serves until ctx ends; it then reports not ready, finishes the requests in flight, and returns.
func (r *Runner) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	g, background := errgroup.WithContext(background)
	r.log.Info("entry starts", "data-centre", r.settings.Load().DataCentre, "store", r.settings.Load().Store)
	callers := &http.Server{
		Handler: r.forwarder, ReadHeaderTimeout: maxHeaderTime, IdleTimeout: maxIdleTime, MaxHeaderBytes: 64 << 10,
	}
	callerListener, err := listen(ctx, r.settings.Load().CallerAddress)
	if err != nil {
		return err
	}
	callerListener = r.reaper.Attach(callers, callerListener)
	for _, server := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{r.settings.Load().ReadyAddress, r.readyHandler()}, {r.settings.Load().DebugAddress, r.debugHandler()}} {
		listener, err := listen(ctx, server.address)
		if err != nil {
			return errors.Join(err, callerListener.Close())
		}
		g.Go(func() error { return serve(background, listener, server.handler) })
	}
	g.Go(func() error { return r.upstreams.Run(background) })
	g.Go(func() error { return r.operator.Run(background) })
	g.Go(func() error { return r.rollouts.run(background) })
	g.Go(func() error { return r.sharing.run(background) })
	g.Go(func() error { return r.confirmations.run(background) })
	g.Go(func() error { return r.inquire(background) })
	g.Go(func() error { return r.sweepPeriodically(background) })
	serveErr := make(chan error, 1)
	go func() { serveErr <- callers.Serve(callerListener) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("runner: serve %s: %w", callerListener.Addr(), err)
	case <-background.Done():
		err = context.Cause(background)
	case <-ctx.Done():
		err = r.shutDown(callers)
	}
	stopBackground()
	return errors.Join(err, g.Wait())
}

// readyHandler returns the handler of the load balancer's health check.
func (r *Runner) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// sweepPeriodically removes expired connections and the state of upstreams that are gone, and records the age of the
// configuration, until ctx ends.
func (r *Runner) sweepPeriodically(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		r.registrar.RemoveExpired()
		r.evacuator.EndHolds(r.operator.ConfirmedAt())
		r.reaper.CloseExpired()
		r.sharing.quarantine.Sweep()
		r.cold.sweep()
		r.sharing.throttler.Sweep()
		r.sharing.owner.Sweep(time.Now())
		r.pool.CloseIdle(func(peer connector.Peer) bool { return r.directory.isAvailable(peer.Name) })
		r.forwarder.Retain(func(name identifier.Upstream) bool { return r.directory.upstream(name) != nil })
		if confirmedAt := r.upstreams.ConfirmedAt(); !confirmedAt.IsZero() {
			r.meter.Observe(meter.AllLatencies().ConfigurationAge, string(r.settings.Load().DataCentre),
				time.Since(r.operator.ConfirmedAt()))
		}
	}
}
