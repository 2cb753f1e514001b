package assembler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/describer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
	"github.com/siskinfront/siskinfront/watcher"
)

const (
	// ownBillWindow is the time for which an agent leaves a bill to the entry that asked for the run.
	ownBillWindow = 30 * time.Second
	// billStep is how often bills move from the runs to the biller.
	billStep = time.Second
	// billBatch bounds the bills moved at once.
	billBatch = 1000
	// noticeTime is the time for which a leaving agent refuses new orders before it looks whether it may stop, so that
	// entries that learn of it late are told not-run rather than find nobody.
	noticeTime = 2 * time.Second
)

// codeEngineSilent is the code of refusals while the engine does not answer; entries open their breaker on it.
const codeEngineSilent = "engine-silent"

// Agent is an agent process.
type Agent struct {
	*process
	settings  configurer.AgentSettings
	listeners agentListeners

	server    *agentserver.Server
	admission *admission
	engine    *watcher.Watcher
	commands  *commands
	biller    *biller.Biller
}

type agentListeners struct {
	data, control, debug net.Listener
}

// AgentAddresses are the addresses on which an agent serves.
type AgentAddresses struct {
	Data, Control, Debug netip.AddrPort
}

// NewAgent opens the listeners of the settings, where port 0 lets the system choose, and builds the process.
func NewAgent(ctx context.Context, s configurer.AgentSettings, opts ...Option) (*Agent, error) {
	a := &Agent{}
	o := options{log: slog.Default(), dataCentres: []identifier.DataCentre{s.DataCentre}}
	for _, opt := range opts {
		opt(&o)
	}
	if err := a.listen(ctx, &s); err != nil {
		return nil, errors.Join(err, a.Close())
	}
	a.settings = s
	a.admission = newAdmission(&s)
	self := detector.Member{
		Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region, Role: detector.RoleAgent,
		Control: s.ControlAddress, Data: s.DataAddress,
	}
	p, err := newProcess(s.ProcessSettings, self, o, a.admission.configure, func() {})
	if err != nil {
		return nil, errors.Join(err, a.Close())
	}
	a.process = p
	a.build()
	return a, nil
}

func (a *Agent) listen(ctx context.Context, s *configurer.AgentSettings) error {
	for _, x := range []struct {
		l *net.Listener
		a *netip.AddrPort
	}{
		{&a.listeners.data, &s.DataAddress}, {&a.listeners.control, &s.ControlAddress}, {&a.listeners.debug, &s.DebugAddress},
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
func (a *Agent) Close() error {
	var errs []error
	for _, l := range []net.Listener{a.listeners.data, a.listeners.control, a.listeners.debug} {
		if l != nil {
			errs = append(errs, l.Close())
		}
	}
	return errors.Join(errs...)
}

// Addresses returns where the agent serves.
func (a *Agent) Addresses() AgentAddresses {
	s := &a.settings
	return AgentAddresses{Data: s.DataAddress, Control: s.ControlAddress, Debug: s.DebugAddress}
}

func (a *Agent) build() {
	s := &a.settings
	a.commands = newCommands(a.command)
	a.admission.waited = func(rank identifier.Rank, d time.Duration) {
		a.meter.Observe(meter.AllLatencies().QueueWait, string(rank), d)
	}
	a.engine = watcher.New(s.Upstream.Address, s.Upstream.Service)
	a.server = agentserver.New(s.Upstream.Name, s.Upstream.Address,
		agentserver.WithConfiguration(a.distributor.Current),
		agentserver.WithAdmit(a.admit, a.load), agentserver.WithLoaded(a.engine.HasLoaded),
		agentserver.WithHighestFencingToken(a.commandMark),
	)
	a.biller = biller.New(s.Instance, []biller.Sink{biller.TableSink(a.table), biller.ObjectSink(a.objects)},
		biller.WithMinFlushAge(ownBillWindow))
	messenger.Handle(a.mux, methodProbe, func(context.Context, messenger.Peer, None) (streamer.Load, error) {
		return a.currentLoad(), nil
	})
	messenger.Handle(a.mux, methodDescribe, func(context.Context, messenger.Peer, None) (describer.Description, error) {
		return a.describe(), nil
	})
	messenger.Handle(a.mux, methodBillsDurable, func(ctx context.Context, _ messenger.Peer, b DurableBills) (None, error) {
		// A final bill that is still with the runs would leave its earlier part behind in the biller.
		a.moveBills(ctx)
		a.server.MarkBillsDurable(b.IDs)
		a.biller.MarkDurable(b.IDs)
		return None{}, nil
	})
	messenger.Handle(a.mux, methodCommand, func(ctx context.Context, _ messenger.Peer, c EngineCommand) (None, error) {
		return None{}, a.commands.run(ctx, c)
	})
	a.register("agent", a.server)
	a.register("biller", a.biller)
	a.register("admission", a.admission)
	a.register("engine", a.engine)
}

// currentLoad is the load that frames and probes report.
func (a *Agent) currentLoad() streamer.Load {
	return a.server.CurrentLoad()
}

// load is the load of the admission with a hash of the loaded versions.
func (a *Agent) load() streamer.Load {
	l := a.admission.load()
	serving, _ := a.targets()
	l.LoadedHash = watcher.HashTargets(serving)
	return l
}

// trialTarget returns a version with which a stalled engine is tried.
func (a *Agent) trialTarget() (identifier.Target, bool) {
	serving, _ := a.targets()
	if len(serving) == 0 {
		return identifier.Target{}, false
	}
	return serving[0], true
}

// admit waits for a slot; an engine that does not answer takes no new work. Such an agent is not leaving, because an
// entry never lets a leaving upstream return.
func (a *Agent) admit(ctx context.Context, it agentserver.QueuedOrder) (agentserver.Ticket, error) {
	if !a.engine.Healthy() {
		return agentserver.Ticket{}, &agentserver.RefusalError{Code: codeEngineSilent, RetryAt: time.Now().Add(leaseRetry)}
	}
	return a.admission.admit(ctx, it)
}

// Run serves until ctx ends or a drain is asked for; it then refuses new orders, finishes what runs, makes its bills
// durable, and returns. ready is called once orders are served.
func (a *Agent) Run(ctx context.Context, ready func(AgentAddresses)) error {
	// Duties outlive the request to stop, because runs in progress need them until they end.
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	g, duties := errgroup.WithContext(duties)
	a.run(duties, g, a.listeners.control, a.listeners.debug)
	if err := a.awaitConfiguration(ctx); err != nil {
		stopDuties()
		return errors.Join(ignoreEnd(ctx, err), g.Wait(), a.listeners.data.Close())
	}
	a.engine.Poll(ctx)
	g.Go(func() error { return ignoreEnd(duties, every(duties, watcher.Interval, a.engine.Poll)) })
	g.Go(func() error { return ignoreEnd(duties, a.server.RunProbes(duties, a.trialTarget)) })
	g.Go(func() error { return ignoreEnd(duties, a.biller.Run(duties)) })
	g.Go(func() error { return every(duties, billStep, a.moveBills) })
	data := &http.Server{Handler: a.server, ReadHeaderTimeout: readHeaderTime}
	g.Go(func() error {
		if err := data.Serve(a.dataListener(a.listeners.data)); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("assembler: serve orders on %s: %w", a.settings.DataAddress, err)
		}
		return nil
	})
	if ready != nil {
		ready(a.Addresses())
	}
	a.log.InfoContext(ctx, "agent is serving", "data-address", a.settings.DataAddress, "upstream", a.settings.Upstream.Name)
	select {
	case <-ctx.Done():
	case d := <-a.drain:
		a.log.InfoContext(ctx, "draining", "deadline", d.Deadline)
	case <-duties.Done():
	}
	return errors.Join(a.stop(duties, data), func() error { stopDuties(); return g.Wait() }(), a.closePool())
}

func (a *Agent) closePool() error {
	a.pool.Close()
	return nil
}

// stop refuses new orders, waits for the runs in progress and makes the bills durable, within the shutdown time.
func (a *Agent) stop(ctx context.Context, data *http.Server) error {
	a.detector.Leave()
	a.admission.drain()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.settings.Timings.Shutdown)
	defer cancel()
	err := drainHTTP(last, data, a.server.Drain, noticeTime)
	a.moveBills(last)
	err = errors.Join(err, a.biller.Flush(last))
	a.log.InfoContext(ctx, "agent has stopped")
	return err
}

// moveBills hands the bills of the runs to the biller, which keeps them until they are durable.
func (a *Agent) moveBills(context.Context) {
	moved := []biller.Bill{}
	for _, b := range a.server.PendingBills(billBatch) {
		priced := b
		priced.Amount = a.price(&b)
		err := a.biller.Record(priced)
		if err != nil {
			// The runs keep the rest; once they are full the agent refuses new orders.
			break
		}
		moved = append(moved, b)
	}
	a.server.MarkBillsMoved(moved)
}

func (a *Agent) price(b *biller.Bill) float64 {
	if v := a.distributor.Current().Version(b.Target); v != nil {
		return selector.ListPrice(v, b.Usage.PromptTokens, b.Usage.CompletionTokens)
	}
	return 0
}

// Instance returns the name of the process.
func (a *Agent) Instance() identifier.Instance {
	return a.settings.Instance
}

// DataCentre returns where the process runs.
func (a *Agent) DataCentre() identifier.DataCentre {
	return a.settings.DataCentre
}
