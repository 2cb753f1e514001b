package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/authenticator"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/claimer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/describer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/explainer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/pinstorer"
	"github.com/siskinfront/siskinfront/placer"
	"github.com/siskinfront/siskinfront/redirector"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/spender"
	"github.com/siskinfront/siskinfront/streamer"
)

// BillFlushInterval is the mean time between two batches of bills of an entry. With 330 entries it costs the table 66 writes/s.
// It also bounds the bills that are lost when an entry and an agent crash together.
const BillFlushInterval = 5 * time.Second

// Entry is an entry process.
type Entry struct {
	*process
	settings  configurer.EntrySettings
	listeners entryListeners

	server *entryserver.Server
	admin  *administrator.Server
	// adminTLS is nil while the administration API is served without TLS.
	adminTLS   *authenticator.TLS
	balancer   *balancer.Balancer
	directory  *describer.Directory
	estimator  *estimator.Estimator
	selector   *selector.Selector
	spender    *spender.Spender
	witness    *spender.Witness
	claimer    *claimer.Claimer
	biller     *biller.Biller
	holders    *billHolders
	pinner     *pinner.Pinner
	pinRows    *pinstorer.Storer
	explainer  *explainer.Explainer
	accounts   *limiter.ClientAccounts
	lender     *limiter.Lender
	borrower   *limiter.Borrower
	retries    *limiter.Budget
	redirector *redirector.Redirector
	quality    *qualityTracker
	rollouts   *rollouts
	usage      *placer.UsageTracker
	// listedEntries is the number of entries in the deployment's member list, cached so that requests need not count them.
	listedEntries atomic.Int64
}

type entryListeners struct {
	caller, admin, control, debug net.Listener
}

// EntryAddresses are the addresses on which an entry serves.
type EntryAddresses struct {
	Caller, Admin, Control, Debug netip.AddrPort
}

// NewEntry opens the listeners of the settings and builds the process; the system chooses the port where the settings have 0.
func NewEntry(ctx context.Context, s configurer.EntrySettings, opts ...Option) (*Entry, error) {
	e := &Entry{holders: newBillHolders()}
	o := options{log: slog.Default(), dataCentres: s.DataCentres}
	for _, opt := range opts {
		opt(&o)
	}
	if err := e.loadAdminTLS(&s); err != nil {
		return nil, err
	}
	if err := e.listen(ctx, &s); err != nil {
		return nil, errors.Join(err, e.Close())
	}
	e.settings = s
	self := detector.Member{
		Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region, Role: detector.RoleEntry,
		Control: s.ControlAddress, Data: s.CallerAddress,
	}
	p, err := newProcess(s.ProcessSettings, self, o, func(*configurer.Configuration) {}, e.membersChanged)
	if err != nil {
		return nil, errors.Join(err, e.Close())
	}
	e.process = p
	e.build()
	return e, nil
}

func (e *Entry) listen(ctx context.Context, s *configurer.EntrySettings) error {
	for _, listener := range []struct {
		l *net.Listener
		a *netip.AddrPort
	}{
		{&e.listeners.caller, &s.CallerAddress}, {&e.listeners.admin, &s.AdminAddress},
		{&e.listeners.control, &s.ControlAddress}, {&e.listeners.debug, &s.DebugAddress},
	} {
		l, err := listen(ctx, *listener.a)
		if err != nil {
			return err
		}
		*listener.l, *listener.a = l, addressOf(l)
	}
	return nil
}

// Close closes the listeners of an entry on which Run was not called.
func (e *Entry) Close() error {
	var errs []error
	for _, l := range []net.Listener{e.listeners.caller, e.listeners.admin, e.listeners.control, e.listeners.debug} {
		if l != nil {
			errs = append(errs, l.Close())
		}
	}
	return errors.Join(errs...)
}

// Addresses returns where the entry serves.
func (e *Entry) Addresses() EntryAddresses {
	s := &e.settings
	return EntryAddresses{Caller: s.CallerAddress, Admin: s.AdminAddress, Control: s.ControlAddress, Debug: s.DebugAddress}
}

func (e *Entry) build() {
	e.buildRouting()
	e.buildRecords()
	e.quality = newQualityTracker(e)
	e.rollouts = newRollouts(e)
	e.usage = placer.NewUsageTracker(time.Now)
	e.redirector = redirector.New()
	e.admin = administrator.New(e.adminStore(), administrator.WithLog(e.log))
	e.buildServer()
	e.handleEntryCalls()
	e.registerComponents()
}

// buildRouting builds the components that choose the version and the upstream of a request.
func (e *Entry) buildRouting() {
	s := &e.settings
	current := e.distributor.Current
	e.buildLimits()
	e.balancer = balancer.New(s.DataCentre, balancer.WithRegion(s.Region), balancer.WithSelf(s.Instance),
		balancer.WithProbe(func(ctx context.Context, u balancer.Upstream) (streamer.Load, error) {
			return e.directory.Probe(ctx, u)
		}))
	e.directory = describer.New(detector.Member{Instance: s.Instance, DataCentre: s.DataCentre}, e.detector,
		describer.WithUpdate(e.balancer.Update),
		describer.WithDescribe(func(ctx context.Context, agent identifier.Instance) (describer.Description, error) {
			return callPeer[Empty, describer.Description](ctx, e.peers, agent, methodDescribe, Empty{})
		}),
		describer.WithProbe(func(ctx context.Context, agent identifier.Instance) (streamer.Load, error) {
			return callPeer[Empty, streamer.Load](ctx, e.peers, agent, methodProbe, Empty{})
		}))
	e.estimator = estimator.New(estimator.WithSelf(s.Instance), estimator.WithPrior(e.prior))
	e.spender, e.witness = spender.NewWithWitness(current, e.spendTable(), s.DataCentre, s.DataCentres,
		spender.Witnesses{Pick: e.pickWitness, SendCeiling: e.sendCeiling}, nil)
	e.selector = selector.New(selector.WithEstimator(e.estimator), selector.WithPriceFactor(e.spender.PriceFactor))
	e.pinRows = pinstorer.New(e.table, s.Region, s.Instance)
	e.pinner = pinner.New(pinner.WithInstances(s.Instance, e.regionEntries), pinner.WithConfiguration(current),
		pinner.WithAsk(func(ctx context.Context, owner identifier.Instance, q pinner.VersionRequest) (identifier.Target, error) {
			return callPeer[pinner.VersionRequest, identifier.Target](ctx, e.peers, owner, methodPin, q)
		}),
		pinner.WithWrite(e.pinRows.Write), pinner.WithRead(e.pinRows.Read))
}

// buildRecords builds the components that store claims, bills and decision records.
func (e *Entry) buildRecords() {
	s := &e.settings
	e.claimer = claimer.New(e.table)
	e.biller = biller.New(s.Instance, []biller.Sink{biller.TableSink(e.table), biller.ObjectSink(e.objects)},
		biller.WithMaxBytes(int(s.Limits.MaxBillBytes)), biller.WithInterval(BillFlushInterval))
	e.explainer = explainer.New(s.Limits.DecisionRecords)
}

// buildServer builds the server for callers and connects its hooks to the other components.
func (e *Entry) buildServer() {
	e.server = entryserver.New(
		entryserver.WithStreams(e.streamsClient()), entryserver.WithConfiguration(e.distributor.Current), entryserver.WithLog(e.log),
		entryserver.WithSelect(e.selector.Select), entryserver.WithPin(e.pinner.Pin),
		entryserver.WithChoose(e.choose), entryserver.WithClaim(e.claim), entryserver.WithRecordBill(e.recordBill),
		entryserver.WithRetry(e.retries.Allow, e.retries.AllowEarly, e.retries.Success), entryserver.WithExplain(e.addDecisionRecord),
		entryserver.WithAllowTokens(e.allowTokens), entryserver.WithReserve(e.reserve), entryserver.WithWaitRating(e.waitRating),
		entryserver.WithRedirect(e.selector.Alternatives, e.redirector.Allow, e.redirector.RecordRefusal),
		entryserver.WithOnAnswer(e.offerRating),
		entryserver.WithAttempts(e.balancer.Begin, e.attemptEnded, e.loadReported),
	)
}

// handleEntryCalls registers the handlers of the control calls that only entries receive.
func (e *Entry) handleEntryCalls() {
	messenger.Handle(e.mux, methodPin, func(ctx context.Context, _ messenger.Peer, q pinner.VersionRequest) (identifier.Target, error) {
		return e.pinner.Answer(ctx, q)
	})
	messenger.Handle(e.mux, methodLimitShare, func(_ context.Context, _ messenger.Peer, a limiter.Ask) (limiter.Grant, error) {
		return e.lender.Answer(a, time.Now()), nil
	})
	messenger.Handle(e.mux, methodObservations, func(_ context.Context, _ messenger.Peer, b observer.Batch) (Empty, error) {
		return Empty{}, e.rollouts.observer.Receive(b)
	})
	messenger.Handle(e.mux, methodSpendCeiling, func(_ context.Context, _ messenger.Peer, c spender.Ceiling) (Empty, error) {
		return Empty{}, e.witness.Accept(c)
	})
}

// registerComponents adds the components to the state dump and the metrics.
func (e *Entry) registerComponents() {
	for name, x := range map[string]component{
		"entry": e.server, "administrator": e.admin, "balancer": e.balancer, "estimator": e.estimator, "selector": e.selector,
		"spender": e.spender, "spend-witness": e.witness, "claimer": e.claimer, "biller": e.biller, "pinner": e.pinner, "explainer": e.explainer,
		"account-limits": e.accounts, "limit-lender": e.lender, "limit-borrower": e.borrower, "retry-budget": e.retries,
		"promoter": e.rollouts.promoter, "observer": e.rollouts.observer, "redirector": e.redirector,
	} {
		e.registerConfigured(name, x)
	}
	e.debug.Handle("GET "+explainer.PathPrefix, e.explainer)
}

// prior returns the configured quality of a version, which the estimator uses while the version has no ratings.
func (e *Entry) prior(t identifier.Target) float64 {
	if cfg := e.distributor.Current(); cfg != nil {
		if v := cfg.Version(t); v != nil {
			return v.PriorQuality
		}
	}
	return 0
}

// membersChanged is called by the detector when its members change, possibly before the entry is built.
func (e *Entry) membersChanged() {
	if e.directory == nil {
		return
	}
	e.updateLenderMembers()
	e.directory.Wake()
}

// regionEntries returns the live entries of this entry's region, over which the ownership of sessions is distributed.
func (e *Entry) regionEntries() []identifier.Instance {
	return e.liveEntriesOf(func(m *detector.Member) bool { return m.Region == e.settings.Region })
}

// liveEntriesOf returns the entries that are neither dead nor leaving and for which pass returns true.
func (e *Entry) liveEntriesOf(pass func(*detector.Member) bool) []identifier.Instance {
	members := e.detector.Members()
	names := make([]identifier.Instance, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.Role == detector.RoleEntry && m.State != detector.Dead && m.State != detector.Leaving && pass(m) {
			names = append(names, m.Instance)
		}
	}
	return names
}

// Run serves until ctx ends or a drain request arrives. It then finishes the requests in progress, writes the state that is
// not durable yet and returns. It calls ready when the entry serves callers.
func (e *Entry) Run(ctx context.Context, ready func(EntryAddresses)) error {
	// The background tasks outlive ctx, because requests in progress need them until they end.
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	g, tasksCtx := errgroup.WithContext(tasksCtx)
	e.startCommonTasks(tasksCtx, g, e.listeners.control, e.listeners.debug)
	if err := e.awaitConfiguration(ctx); err != nil {
		stopTasks()
		return errors.Join(ignoreCancellation(ctx, err), g.Wait(), e.listeners.caller.Close(), e.listeners.admin.Close())
	}
	// After an error the spender has no share yet; its background task repeats the step.
	_ = e.spender.Step(tasksCtx)
	e.startTasks(tasksCtx, g)
	servingCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	g.Go(func() error {
		e.awaitStop(tasksCtx, servingCtx)
		stopServing()
		return nil
	})
	if ready != nil {
		ready(e.Addresses())
	}
	e.log.InfoContext(ctx, "entry is serving", "caller-address", e.settings.CallerAddress)
	err := e.serveCallers(servingCtx)
	stopServing()
	e.log.InfoContext(tasksCtx, "entry has stopped serving")
	shutdownCtx, cancel := context.WithTimeout(tasksCtx, e.settings.Timings.Shutdown)
	defer cancel()
	err = errors.Join(err, e.flushState(shutdownCtx))
	stopTasks()
	err = errors.Join(err, g.Wait())
	e.pool.Close()
	return err
}

// awaitStop returns when a drain request arrives, a background task has failed or serving has ended.
func (e *Entry) awaitStop(tasksCtx, servingCtx context.Context) {
	select {
	case d := <-e.drain:
		e.log.InfoContext(tasksCtx, "draining", "deadline", d.Deadline)
	case <-tasksCtx.Done():
	case <-servingCtx.Done():
	}
}

// serveCallers serves callers until ctx ends. It then reports this entry as leaving and waits up to Timings.Shutdown for the
// requests in progress.
func (e *Entry) serveCallers(ctx context.Context) error {
	leave := context.AfterFunc(ctx, e.detector.Leave)
	defer leave()
	done := make(chan error, 1)
	go func() { done <- e.server.Serve(ctx, e.listeners.caller) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	deadline := time.NewTimer(e.settings.Timings.Shutdown)
	defer deadline.Stop()
	select {
	case err := <-done:
		return err
	case <-deadline.C:
		return fmt.Errorf("assembler: shut down %s: requests were still in progress", e.settings.Instance)
	}
}

func (e *Entry) startTasks(ctx context.Context, g *errgroup.Group) {
	for _, task := range []func(context.Context) error{
		e.directory.Run, e.balancer.Run, e.spender.Run, e.witness.Run, e.biller.Run, e.pinner.Run, e.removeOldPins, e.reportDurableBills,
		e.sweepClaims,
		e.quality.submit, e.quality.collect, e.quality.followCounts, e.rollouts.decide, e.rollouts.forwardObservations,
		e.runPlacement, e.exchangeShares,
	} {
		g.Go(func() error { return ignoreCancellation(ctx, task(ctx)) })
	}
	admin := e.listeners.admin
	if e.adminTLS != nil {
		admin = tls.NewListener(admin, e.adminTLS.ServerConfig())
		g.Go(func() error { return ignoreCancellation(ctx, e.adminTLS.Run(ctx, certificateCheckInterval)) })
	}
	g.Go(func() error { return serveHTTP(ctx, admin, e.admin) })
}

// flushState writes the bills, pins and spend that only this process holds to durable storage.
func (e *Entry) flushState(ctx context.Context) error {
	return errors.Join(e.biller.Flush(ctx), e.pinner.Flush(ctx), e.spender.Close(ctx))
}

// observeLatency records the latencies of an attempt that ended without an error code.
func (e *Entry) observeLatency(a *entryserver.Attempt) {
	latencies := meter.AllLatencies()
	if !a.FirstTokenAt.IsZero() {
		e.meter.Observe(latencies.FirstToken, string(a.Rank), a.FirstTokenAt.Sub(a.BeganAt))
		if n := a.Usage.CompletionTokens; n > 1 && a.Code == "" {
			// One mean per response, because an observation per token would burden the streaming path.
			e.meter.Observe(latencies.BetweenTokens, string(a.Rank), a.EndedAt.Sub(a.FirstTokenAt)/time.Duration(n-1))
		}
	}
	e.meter.Observe(latencies.Request, string(a.Rank), a.EndedAt.Sub(a.BeganAt))
}

// removeOldPins removes old rows of session pins from the table at an interval until ctx ends.
func (e *Entry) removeOldPins(ctx context.Context) error {
	return every(ctx, pinstorer.RemovalInterval, e.pinRows.Remove)
}

// Upstreams returns the number of upstreams in the entry's directory.
func (e *Entry) Upstreams() int {
	return e.directory.UpstreamCount()
}
