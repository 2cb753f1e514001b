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

// BillFlushInterval is the mean time between two batches of bills of an entry. At 330 entries it takes 66 writes/s of the table,
// and it bounds what is lost when an entry and an agent die together.
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
	quality    *quality
	rollouts   *rollouts
	use        *placer.UsageTracker
	// entries is the number of listed entries of the deployment, kept so that no request has to count them.
	entries atomic.Int64
}

type entryListeners struct {
	caller, admin, control, debug net.Listener
}

// EntryAddresses are the addresses on which an entry serves.
type EntryAddresses struct {
	Caller, Admin, Control, Debug netip.AddrPort
}

// NewEntry opens the listeners of the settings, where port 0 lets the system choose, and builds the process.
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
	for _, x := range []struct {
		l *net.Listener
		a *netip.AddrPort
	}{
		{&e.listeners.caller, &s.CallerAddress}, {&e.listeners.admin, &s.AdminAddress},
		{&e.listeners.control, &s.ControlAddress}, {&e.listeners.debug, &s.DebugAddress},
	} {
		l, err := listen(ctx, *x.a)
		if err != nil {
			return err
		}
		*x.l, *x.a = l, addressOf(l)
	}
	return nil
}

// Close closes the listeners of a process that was not run.
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
	e.buildChoice()
	e.buildRecords()
	e.quality = newQuality(e)
	e.rollouts = newRollouts(e)
	e.use = placer.NewUsageTracker(time.Now)
	e.redirector = redirector.New()
	e.admin = administrator.New(e.adminStore(), administrator.WithLog(e.log))
	e.buildServer()
	e.handleCalls()
	e.registerParts()
}

// buildChoice builds the parts that choose the version and the upstream of a request.
func (e *Entry) buildChoice() {
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
			return ask[None, describer.Description](ctx, e.peers, agent, methodDescribe, None{})
		}),
		describer.WithProbe(func(ctx context.Context, agent identifier.Instance) (streamer.Load, error) {
			return ask[None, streamer.Load](ctx, e.peers, agent, methodProbe, None{})
		}))
	e.estimator = estimator.New(estimator.WithSelf(s.Instance), estimator.WithPrior(e.prior))
	e.spender, e.witness = spender.NewWitnessed(current, e.spendTable(), s.DataCentre, s.DataCentres,
		spender.Witnesses{Pick: e.pickWitness, SendCeiling: e.tellCeiling}, nil)
	e.selector = selector.New(selector.WithEstimator(e.estimator), selector.WithPriceFactor(e.spender.PriceFactor))
	e.pinRows = pinstorer.New(e.table, s.Region, s.Instance)
	e.pinner = pinner.New(pinner.WithInstances(s.Instance, e.regionEntries), pinner.WithConfiguration(current),
		pinner.WithAsk(func(ctx context.Context, owner identifier.Instance, q pinner.Question) (identifier.Target, error) {
			return ask[pinner.Question, identifier.Target](ctx, e.peers, owner, methodPin, q)
		}),
		pinner.WithWrite(e.pinRows.Write), pinner.WithRead(e.pinRows.Read))
}

// buildRecords builds the parts that keep claims, bills and decision records.
func (e *Entry) buildRecords() {
	s := &e.settings
	e.claimer = claimer.New(e.table)
	e.biller = biller.New(s.Instance, []biller.Sink{biller.TableSink(e.table), biller.ObjectSink(e.objects)},
		biller.WithMaxBytes(int(s.Limits.MaxBillBytes)), biller.WithInterval(BillFlushInterval))
	e.explainer = explainer.New(s.Limits.DecisionRecords)
}

// buildServer builds the server for callers.
func (e *Entry) buildServer() {
	e.server = entryserver.New(
		entryserver.WithStreams(e.streamsClient()), entryserver.WithConfiguration(e.distributor.Current),
		entryserver.WithSelect(e.selector.Select), entryserver.WithPin(e.pinner.Pin),
		entryserver.WithChoose(e.choose), entryserver.WithClaim(e.claim), entryserver.WithRecordBill(e.record),
		entryserver.WithRetry(e.retries.Allow, e.retries.AllowEarly, e.retries.Success), entryserver.WithExplain(e.explain),
		entryserver.WithAllowTokens(e.allow), entryserver.WithReserve(e.reserve), entryserver.WithWaitRating(e.rate),
		entryserver.WithRedirect(e.selector.Alternatives, e.redirector.Allow, e.redirector.RecordRefusal),
		entryserver.WithOnAnswer(e.answered),
		entryserver.WithAttempts(e.balancer.Begin, e.attemptEnded, e.loadReported),
	)
}

// handleCalls takes the control calls that only entries receive.
func (e *Entry) handleCalls() {
	messenger.Handle(e.mux, methodPin, func(ctx context.Context, _ messenger.Peer, q pinner.Question) (identifier.Target, error) {
		return e.pinner.Answer(ctx, q)
	})
	messenger.Handle(e.mux, methodLimitShare, func(_ context.Context, _ messenger.Peer, a limiter.Ask) (limiter.Grant, error) {
		return e.lender.Answer(a, time.Now()), nil
	})
	messenger.Handle(e.mux, methodObservations, func(_ context.Context, _ messenger.Peer, b observer.Batch) (None, error) {
		return None{}, e.rollouts.observer.Receive(b)
	})
	messenger.Handle(e.mux, methodSpendCeiling, func(_ context.Context, _ messenger.Peer, c spender.Ceiling) (None, error) {
		return None{}, e.witness.Accept(c)
	})
}

// registerParts shows the parts in the state dump and the metrics.
func (e *Entry) registerParts() {
	for name, x := range map[string]part{
		"entry": e.server, "administrator": e.admin, "balancer": e.balancer, "estimator": e.estimator, "selector": e.selector,
		"spender": e.spender, "spend-witness": e.witness, "claimer": e.claimer, "biller": e.biller, "pinner": e.pinner, "explainer": e.explainer,
		"account-limits": e.accounts, "limit-lender": e.lender, "limit-borrower": e.borrower, "retry-budget": e.retries,
		"promoter": e.rollouts.promoter, "observer": e.rollouts.observer, "redirector": e.redirector,
	} {
		e.registerConfigured(name, x)
	}
	e.debug.Handle("GET "+explainer.PathPrefix, e.explainer)
}

// prior returns the configured quality of a version without ratings.
func (e *Entry) prior(t identifier.Target) float64 {
	if cfg := e.distributor.Current(); cfg != nil {
		if v := cfg.Version(t); v != nil {
			return v.PriorQuality
		}
	}
	return 0
}

// membersChanged is called by the detector, also while the entry is still being built.
func (e *Entry) membersChanged() {
	if e.directory == nil {
		return
	}
	e.limitMembersChanged()
	e.directory.Wake()
}

// regionEntries returns the live entries of the own region, among which sessions are divided.
func (e *Entry) regionEntries() []identifier.Instance {
	return e.liveEntriesOf(func(m *detector.Member) bool { return m.Region == e.settings.Region })
}

// liveEntriesOf returns the entries among the members that are neither dead nor leaving and pass a filter.
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

// Run serves until ctx ends or a drain is asked for; it then finishes the requests in progress, hands over what is
// not durable yet, and returns. ready is called once callers are served.
func (e *Entry) Run(ctx context.Context, ready func(EntryAddresses)) error {
	// Duties outlive the caller listener, because requests in progress need them until they end.
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	g, duties := errgroup.WithContext(duties)
	e.run(duties, g, e.listeners.control, e.listeners.debug)
	if err := e.awaitConfiguration(ctx); err != nil {
		stopDuties()
		return errors.Join(ignoreEnd(ctx, err), g.Wait(), e.listeners.caller.Close(), e.listeners.admin.Close())
	}
	// A failed first step leaves the spender without a share; its duty repeats the step.
	_ = e.spender.Step(duties)
	e.startDuties(duties, g)
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	g.Go(func() error {
		e.awaitStop(duties, serving)
		stopServing()
		return nil
	})
	if ready != nil {
		ready(e.Addresses())
	}
	e.log.InfoContext(ctx, "entry is serving", "caller-address", e.settings.CallerAddress)
	err := e.serveCallers(serving)
	stopServing()
	e.log.InfoContext(duties, "entry has stopped serving")
	last, cancel := context.WithTimeout(duties, e.settings.Timings.Shutdown)
	defer cancel()
	err = errors.Join(err, e.handOver(last))
	stopDuties()
	err = errors.Join(err, g.Wait())
	e.pool.Close()
	return err
}

// awaitStop returns when a drain is asked for, a duty has failed or serving has ended.
func (e *Entry) awaitStop(duties, serving context.Context) {
	select {
	case d := <-e.drain:
		e.log.InfoContext(duties, "draining", "deadline", d.Deadline)
	case <-duties.Done():
	case <-serving.Done():
	}
}

// serveCallers returns when every request in progress has its response, or after the shutdown time.
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

func (e *Entry) startDuties(ctx context.Context, g *errgroup.Group) {
	for _, duty := range []func(context.Context) error{
		e.directory.Run, e.balancer.Run, e.spender.Run, e.witness.Run, e.biller.Run, e.pinner.Run, e.removePins, e.reportDurable,
		e.sweepClaims,
		e.quality.submit, e.quality.collect, e.quality.follow, e.rollouts.judge, e.rollouts.forward,
		e.place, e.exchangeShares,
	} {
		g.Go(func() error { return ignoreEnd(ctx, duty(ctx)) })
	}
	admin := e.listeners.admin
	if e.adminTLS != nil {
		admin = tls.NewListener(admin, e.adminTLS.Server())
		g.Go(func() error { return ignoreEnd(ctx, e.adminTLS.Run(ctx, certificateCheck)) })
	}
	g.Go(func() error { return serveHTTP(ctx, admin, e.admin) })
}

// handOver makes durable what only this process holds.
func (e *Entry) handOver(ctx context.Context) error {
	return errors.Join(e.biller.Flush(ctx), e.pinner.Flush(ctx), e.spender.Close(ctx))
}

// observeLatency records the latencies of an attempt with a complete response.
func (e *Entry) observeLatency(a *entryserver.Attempt) {
	l := meter.AllLatencies()
	if !a.FirstTokenAt.IsZero() {
		e.meter.Observe(l.FirstToken, string(a.Rank), a.FirstTokenAt.Sub(a.BeganAt))
		if n := a.Usage.CompletionTokens; n > 1 && a.Code == "" {
			// One mean per response keeps the cost off the path of single tokens.
			e.meter.Observe(l.BetweenTokens, string(a.Rank), a.EndedAt.Sub(a.FirstTokenAt)/time.Duration(n-1))
		}
	}
	e.meter.Observe(l.Request, string(a.Rank), a.EndedAt.Sub(a.BeganAt))
}

// removePins removes old rows of session pins until ctx ends.
func (e *Entry) removePins(ctx context.Context) error {
	return every(ctx, pinstorer.RemovalInterval, e.pinRows.Remove)
}

// Upstreams returns the number of upstreams that the entry knows.
func (e *Entry) Upstreams() int {
	return e.directory.Count()
}
