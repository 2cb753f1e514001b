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
	"github.com/siskinfront/siskinfront/reaper"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
	"github.com/siskinfront/siskinfront/watcher"
)

const (
	// agentBillDelay is the age at which an agent writes a bill itself; until then it is left to the entry that sent the order.
	agentBillDelay = 30 * time.Second
	// billMoveInterval is the time between two moves of bills from the server to the biller.
	billMoveInterval = time.Second
	// maxBillsMoved bounds the bills of one move.
	maxBillsMoved = 1000
	// listenerCloseDelay is the time for which a drained agent still answers new orders, with a refusal, before it closes its
	// listener. An entry that does not know of the drain yet then receives the outcome not-run instead of a failed dial.
	listenerCloseDelay = 2 * time.Second
)

// codeEngineSilent is the code of refusals while the engine does not answer. An entry counts it as a failure, which opens
// its circuit breaker for the upstream.
const codeEngineSilent = "engine-silent"

// Agent is an agent process.
type Agent struct {
	*process
	settings  configurer.AgentSettings
	listeners agentListeners

	server    *agentserver.Server
	admission *admission
	engine    *watcher.Watcher
	commands  *commandRunner
	biller    *biller.Biller
}

type agentListeners struct {
	data, control, debug net.Listener
}

// AgentAddresses are the addresses on which an agent serves.
type AgentAddresses struct {
	Data, Control, Debug netip.AddrPort
}

// NewAgent opens the listeners of the settings and builds the process; the system chooses the port where the settings have 0.
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
	for _, listener := range []struct {
		l *net.Listener
		a *netip.AddrPort
	}{
		{&a.listeners.data, &s.DataAddress}, {&a.listeners.control, &s.ControlAddress}, {&a.listeners.debug, &s.DebugAddress},
	} {
		l, err := listen(ctx, *listener.a)
		if err != nil {
			return err
		}
		*listener.l, *listener.a = l, addressOf(l)
	}
	return nil
}

// Close closes the listeners of an agent on which Run was not called.
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
	a.commands = newCommandRunner(a.runCommand)
	a.admission.observeWait = func(rank identifier.Rank, d time.Duration) {
		a.meter.Observe(meter.AllLatencies().QueueWait, string(rank), d)
	}
	a.engine = watcher.New(s.Upstream.Address, s.Upstream.Service)
	a.server = agentserver.New(s.Upstream.Name, s.Upstream.Address,
		agentserver.WithConfiguration(a.distributor.Current),
		agentserver.WithAdmit(a.admit, a.load), agentserver.WithLoaded(a.engine.HasLoaded),
		agentserver.WithHighestFencingToken(a.placementFencingToken),
	)
	a.biller = biller.New(s.Instance, []biller.Sink{biller.TableSink(a.table), biller.ObjectSink(a.objects)},
		biller.WithMinFlushAge(agentBillDelay))
	messenger.Handle(a.mux, methodProbe, func(context.Context, messenger.Peer, Empty) (streamer.Load, error) {
		return a.currentLoad(), nil
	})
	messenger.Handle(a.mux, methodDescribe, func(context.Context, messenger.Peer, Empty) (describer.Description, error) {
		return a.describe(), nil
	})
	messenger.Handle(a.mux, methodBillsDurable, func(ctx context.Context, _ messenger.Peer, b DurableBills) (Empty, error) {
		// Bills move first. Otherwise a final bill that is still in the server would be removed only there, and the biller
		// would keep the interim bill of the same run.
		a.moveBills(ctx)
		a.server.RemoveDurableBills(b.IDs)
		a.biller.MarkDurable(b.IDs)
		return Empty{}, nil
	})
	messenger.Handle(a.mux, methodCommand, func(ctx context.Context, _ messenger.Peer, c EngineCommand) (Empty, error) {
		return Empty{}, a.commands.run(ctx, c)
	})
	a.register("agent", a.server)
	a.register("biller", a.biller)
	a.register("admission", a.admission)
	a.register("engine", a.engine)
}

// currentLoad returns the load that response frames and probes report.
func (a *Agent) currentLoad() streamer.Load {
	return a.server.CurrentLoad()
}

// load returns the load of the queue with a hash of the versions that take orders.
func (a *Agent) load() streamer.Load {
	l := a.admission.load()
	serving, _ := a.targets()
	l.LoadedHash = watcher.HashTargets(serving)
	return l
}

// probeTarget returns the loaded version that a probe request to a stalled engine uses.
func (a *Agent) probeTarget() (identifier.Target, bool) {
	serving, _ := a.targets()
	if len(serving) == 0 {
		return identifier.Target{}, false
	}
	return serving[0], true
}

// admit waits for a slot. It refuses new orders while the engine does not answer. The agent does not report itself as
// leaving then, because an entry never uses a leaving upstream again.
func (a *Agent) admit(ctx context.Context, queued agentserver.QueuedOrder) (agentserver.Ticket, error) {
	if !a.engine.Healthy() {
		return agentserver.Ticket{}, &agentserver.RefusalError{Code: codeEngineSilent, RetryAt: time.Now().Add(leaseRetryDelay)}
	}
	return a.admission.admit(ctx, queued)
}

// Run serves until ctx ends or a drain request arrives. It then refuses new orders, waits for the runs in progress, makes
// the bills durable and returns. It calls ready when the agent serves orders.
func (a *Agent) Run(ctx context.Context, ready func(AgentAddresses)) error {
	// The background tasks outlive ctx, because runs in progress need them until they end.
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	g, tasksCtx := errgroup.WithContext(tasksCtx)
	a.startCommonTasks(tasksCtx, g, a.listeners.control, a.listeners.debug)
	if err := a.awaitConfiguration(ctx); err != nil {
		stopTasks()
		return errors.Join(ignoreCancellation(ctx, err), g.Wait(), a.listeners.data.Close())
	}
	a.engine.Poll(ctx)
	g.Go(func() error { return ignoreCancellation(tasksCtx, every(tasksCtx, watcher.Interval, a.engine.Poll)) })
	g.Go(func() error { return ignoreCancellation(tasksCtx, a.server.RunProbes(tasksCtx, a.probeTarget)) })
	g.Go(func() error { return ignoreCancellation(tasksCtx, a.biller.Run(tasksCtx)) })
	g.Go(func() error { return every(tasksCtx, billMoveInterval, a.moveBills) })
	data := &http.Server{Handler: a.server, ReadHeaderTimeout: readHeaderTimeout}
	connections := reaper.New(reaper.NoLimits)
	dataListener := a.dataListener(connections.Attach(data, a.listeners.data))
	g.Go(func() error {
		if err := data.Serve(dataListener); !errors.Is(err, http.ErrServerClosed) {
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
	case <-tasksCtx.Done():
	}
	return errors.Join(a.stop(tasksCtx, connections), func() error { stopTasks(); return g.Wait() }(), a.closePool())
}

func (a *Agent) closePool() error {
	a.pool.Close()
	return nil
}

// stop refuses new orders, waits for the runs in progress and makes the bills durable, all within Timings.Shutdown.
func (a *Agent) stop(ctx context.Context, connections *reaper.Reaper) error {
	a.detector.Leave()
	a.admission.drain()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.settings.Timings.Shutdown)
	defer cancel()
	err := drainHTTP(shutdownCtx, connections, a.server.Drain, listenerCloseDelay)
	a.moveBills(shutdownCtx)
	err = errors.Join(err, a.biller.Flush(shutdownCtx))
	a.log.InfoContext(ctx, "agent has stopped")
	return err
}

// moveBills moves pending bills from the server to the biller, which keeps them until they are durable.
func (a *Agent) moveBills(context.Context) {
	moved := []biller.Bill{}
	for _, b := range a.server.PendingBills(maxBillsMoved) {
		priced := b
		priced.Amount = a.price(&b)
		err := a.biller.Record(priced)
		if err != nil {
			// The server keeps the other bills. The agent refuses new orders when the server has no room for further bills.
			break
		}
		moved = append(moved, b)
	}
	a.server.RemoveMovedBills(moved)
}

func (a *Agent) price(b *biller.Bill) float64 {
	if v := a.distributor.Current().Version(b.Target); v != nil {
		return selector.ListPrice(v, b.Usage.PromptTokens, b.Usage.CompletionTokens)
	}
	return 0
}

// Instance returns the instance name of the agent.
func (a *Agent) Instance() identifier.Instance {
	return a.settings.Instance
}

// DataCentre returns the data centre of the agent.
func (a *Agent) DataCentre() identifier.DataCentre {
	return a.settings.DataCentre
}
