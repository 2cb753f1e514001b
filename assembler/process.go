package assembler

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/authenticator"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/dumper"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// configurationPollInterval is the time between two checks of a starting process for its first configuration.
	configurationPollInterval = 20 * time.Millisecond
	// configurationAgeInterval is the time between two observations of the configuration's age.
	configurationAgeInterval = time.Second
)

// component is a long-lived value that appears in the state dump and in the metrics.
type component interface {
	Counters() map[string]int64
	State() any
}

// process holds the components that entries and agents have in common.
type process struct {
	settings configurer.ProcessSettings
	log      *slog.Logger

	table     *storer.Table
	objects   *storer.Objects
	instances *storer.Instances
	rater     *storer.Ratings

	tls         *authenticator.TLS
	pool        *messenger.Pool
	mux         *messenger.Mux
	peers       *peers
	detector    *detector.Detector
	distributor *distributor.Distributor
	leaser      *leaser.Leaser
	dumper      *dumper.Dumper
	meter       *meter.Meter
	debug       *http.ServeMux
	// drain receives the first drain request of an operator or the platform.
	drain chan DrainRequest
}

func newProcess(
	s configurer.ProcessSettings, self detector.Member, o options, onChange func(*configurer.Configuration),
	onMembers func(),
) (*process, error) {
	p := &process{
		settings: s, log: o.log.With("instance", s.Instance), mux: messenger.NewMux(), drain: make(chan DrainRequest, 1),
		table:     storer.NewTable(s.Platform.Table, storer.WithCallTimeout(s.Timings.PlatformCall)),
		objects:   storer.NewObjects(s.Platform.Objects, storer.WithCallTimeout(s.Timings.PlatformCall)),
		instances: storer.NewInstances(s.Platform.Instances, storer.WithCallTimeout(s.Timings.PlatformCall)),
		rater:     storer.NewRatings(s.Platform.Ratings, storer.WithCallTimeout(s.Timings.PlatformCall)),
		dumper:    dumper.New(s.Instance), meter: meter.New(), debug: http.NewServeMux(),
	}
	if err := p.loadTLS(); err != nil {
		return nil, err
	}
	p.pool = messenger.NewPool(p.messengerOptions((*authenticator.TLS).ClientConfig)...)
	p.peers = newPeers(p.pool, p.controlAddress)
	p.leaser = leaser.New(p.table, s.Instance)
	p.distributor = p.newDistributor(onChange)
	p.detector = p.newDetector(self, o.dataCentres, onMembers)
	p.handleControl()
	p.registerCommon()
	return p, nil
}

func (p *process) newDistributor(onChange func(*configurer.Configuration)) *distributor.Distributor {
	s := &p.settings
	return distributor.New(
		distributor.WithSelf(s.Instance), distributor.WithTable(p.table), distributor.WithObjects(p.objects),
		distributor.WithMembers(p.configurationPeers), distributor.WithOnChange(onChange),
		distributor.WithPush(func(_ context.Context, peer identifier.Instance, u distributor.Update) error {
			return notifyPeer(p.peers, peer, methodConfigChanges, u)
		}),
		distributor.WithPull(func(ctx context.Context, peer identifier.Instance, revision uint64) (distributor.Update, error) {
			return callPeer[ConfigSinceRequest, distributor.Update](ctx, p.peers, peer, methodConfigSince,
				ConfigSinceRequest{From: s.Instance, Revision: revision})
		}),
	)
}

func (p *process) newDetector(
	self detector.Member, all []identifier.DataCentre, onMembers func(),
) *detector.Detector {
	return detector.New(self,
		detector.WithList(newMemberList(p.instances.ListIn, p.settings.DataCentre, all).read),
		detector.WithRevision(p.distributor.Revision),
		detector.WithOnChange(onMembers),
		detector.WithSend(func(peer identifier.Instance, m detector.Message) {
			// notifyPeer counts a dropped heartbeat; to the peer it looks like one lost on the network.
			_ = notifyPeer(p.peers, peer, methodHeartbeat, m)
		}),
	)
}

// registerCommon adds the components of every process to the state dump and the metrics.
func (p *process) registerCommon() {
	p.register("table", p.table)
	p.register("object-store", p.objects)
	p.register("detector", p.detector)
	p.register("distributor", p.distributor)
	p.register("leaser", p.leaser)
	p.register("connections", p.pool)
	p.meter.Register("peers", p.peers.Counters)
	p.meter.Register("dumper", p.dumper.Counters)
	p.debug.Handle("GET "+dumper.Path, p.dumper)
	p.debug.Handle("GET "+meter.Path, p.meter)
}

// register adds a component to the state dump and the metrics.
func (p *process) register(name string, x component) {
	p.dumper.Register(name, x.State)
	p.meter.Register(name, x.Counters)
}

// StartingState is the state of a component while the process waits for its first configuration.
type StartingState struct {
	Starting bool `json:"starting"`
}

// registerConfigured adds a component whose state can only be read once the process has a configuration.
func (p *process) registerConfigured(name string, x component) {
	p.dumper.Register(name, func() any {
		if p.distributor.Current() == nil {
			return StartingState{Starting: true}
		}
		return x.State()
	})
	p.meter.Register(name, x.Counters)
}

func (p *process) handleControl() {
	messenger.Handle(p.mux, methodHeartbeat,
		func(_ context.Context, _ messenger.Peer, m detector.Message) (Empty, error) {
			p.detector.Receive(m)
			p.distributor.ObserveRevision(m.From.Instance, m.Revision)
			return Empty{}, nil
		})
	messenger.Handle(p.mux, methodConfigChanges,
		func(ctx context.Context, _ messenger.Peer, u distributor.Update) (Empty, error) {
			p.distributor.Receive(ctx, u)
			return Empty{}, nil
		})
	messenger.Handle(p.mux, methodConfigSince,
		func(_ context.Context, _ messenger.Peer, c ConfigSinceRequest) (distributor.Update, error) {
			p.distributor.ObserveRevision(c.From, c.Revision)
			return p.distributor.Since(c.Revision), nil
		})
	messenger.Handle(p.mux, methodDrain,
		func(_ context.Context, _ messenger.Peer, d DrainRequest) (Empty, error) {
			select {
			case p.drain <- d:
			default:
			}
			return Empty{}, nil
		})
}

// controlAddress returns the control address of a member, and whether the member is known and has a valid one.
func (p *process) controlAddress(name identifier.Instance) (netip.AddrPort, bool) {
	m, ok := p.detector.Member(name)
	return m.Control, ok && m.Control.IsValid()
}

// configurationPeers returns the live instances of the local data centre, with which the distributor exchanges configuration.
func (p *process) configurationPeers() []identifier.Instance {
	members := p.detector.Members()
	names := make([]identifier.Instance, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.DataCentre == p.settings.DataCentre && m.State != detector.Dead {
			names = append(names, m.Instance)
		}
	}
	return names
}

// awaitConfiguration returns when the first configuration is in force, or with an error when ctx ends.
func (p *process) awaitConfiguration(ctx context.Context) error {
	t := time.NewTicker(configurationPollInterval)
	defer t.Stop()
	for p.distributor.Current() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	p.log.InfoContext(ctx, "configuration in force", "revision", p.distributor.Revision())
	return nil
}

// startCommonTasks starts the background tasks of every process in g; they end with ctx.
func (p *process) startCommonTasks(ctx context.Context, g *errgroup.Group, control, debug net.Listener) {
	g.Go(func() error {
		return messenger.Serve(ctx, control, p.mux, p.messengerOptions((*authenticator.TLS).ServerConfig)...)
	})
	g.Go(func() error { return p.peers.sendNotifications(ctx) })
	g.Go(func() error { return ignoreCancellation(ctx, p.detector.Run(ctx)) })
	g.Go(func() error { return ignoreCancellation(ctx, p.distributor.Run(ctx)) })
	g.Go(func() error { return serveHTTP(ctx, debug, p.debug) })
	g.Go(func() error { return every(ctx, configurationAgeInterval, p.observeConfigurationAge) })
	if p.tls != nil {
		g.Go(func() error { return ignoreCancellation(ctx, p.tls.Run(ctx, certificateCheckInterval)) })
	}
}

// observeConfigurationAge records the time since the configuration in force was last confirmed.
func (p *process) observeConfigurationAge(context.Context) {
	if at := p.distributor.ConfirmedAt(); !at.IsZero() {
		p.meter.Observe(meter.AllLatencies().ConfigurationAge, string(p.settings.DataCentre), time.Since(at))
	}
}

// ignoreCancellation returns nil instead of err once ctx has ended, because a task that ends with its context has not failed.
func ignoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}
