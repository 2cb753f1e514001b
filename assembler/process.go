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
	// configurationPoll is how often a starting process looks for its first configuration.
	configurationPoll = 20 * time.Millisecond
	// ageInterval is how often the age of the configuration is observed.
	ageInterval = time.Second
)

// part is a long-lived value that the state dump and the metrics show.
type part interface {
	Counters() map[string]int64
	State() any
}

// process is what entries and agents have in common.
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
	// drain is closed by the drain call of an operator or the platform.
	drain chan DrainRequest
}

func newProcess(
	s configurer.ProcessSettings, self detector.Member, o options, onChange func(*configurer.Configuration),
	onMembers func(),
) (*process, error) {
	p := &process{
		settings: s, log: o.log.With("instance", s.Instance), mux: messenger.NewMux(), drain: make(chan DrainRequest, 1),
		table:     storer.New(s.Platform.Table, storer.WithCallTimeout(s.Timings.PlatformCall)),
		objects:   storer.NewObjects(s.Platform.Objects, storer.WithCallTimeout(s.Timings.PlatformCall)),
		instances: storer.NewInstances(s.Platform.Instances, storer.WithCallTimeout(s.Timings.PlatformCall)),
		rater:     storer.NewRatings(s.Platform.Ratings, storer.WithCallTimeout(s.Timings.PlatformCall)),
		dumper:    dumper.New(s.Instance), meter: meter.New(), debug: http.NewServeMux(),
	}
	if err := p.loadTLS(); err != nil {
		return nil, err
	}
	p.pool = messenger.NewPool(p.messengerOptions((*authenticator.TLS).Client)...)
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
		distributor.WithMembers(p.neighbours), distributor.WithOnChange(onChange),
		distributor.WithPush(func(_ context.Context, peer identifier.Instance, u distributor.Update) error {
			return tell(p.peers, peer, methodConfigChanges, u)
		}),
		distributor.WithPull(func(ctx context.Context, peer identifier.Instance, revision uint64) (distributor.Update, error) {
			return ask[ConfigSinceRequest, distributor.Update](ctx, p.peers, peer, methodConfigSince, ConfigSinceRequest{From: s.Instance, Revision: revision})
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
			// A dropped heartbeat is counted and looks like a lost one.
			_ = tell(p.peers, peer, methodHeartbeat, m)
		}),
	)
}

// registerCommon shows the parts of every process in the state dump and the metrics.
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

// register shows a part in the state dump and in the metrics.
func (p *process) register(name string, x part) {
	p.dumper.Register(name, x.State)
	p.meter.Register(name, x.Counters)
}

// StartingState is the state of a part that waits for the first configuration.
type StartingState struct {
	Starting bool `json:"starting"`
}

// registerConfigured shows a part whose state needs a configuration, which a starting process does not have yet.
func (p *process) registerConfigured(name string, x part) {
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
		func(_ context.Context, _ messenger.Peer, m detector.Message) (None, error) {
			p.detector.Receive(m)
			p.distributor.ObserveRevision(m.From.Instance, m.Revision)
			return None{}, nil
		})
	messenger.Handle(p.mux, methodConfigChanges,
		func(ctx context.Context, _ messenger.Peer, u distributor.Update) (None, error) {
			p.distributor.Receive(ctx, u)
			return None{}, nil
		})
	messenger.Handle(p.mux, methodConfigSince,
		func(_ context.Context, _ messenger.Peer, c ConfigSinceRequest) (distributor.Update, error) {
			p.distributor.ObserveRevision(c.From, c.Revision)
			return p.distributor.Since(c.Revision), nil
		})
	messenger.Handle(p.mux, methodDrain,
		func(_ context.Context, _ messenger.Peer, d DrainRequest) (None, error) {
			select {
			case p.drain <- d:
			default:
			}
			return None{}, nil
		})
}

// controlAddress returns where the control connections of a member lead.
func (p *process) controlAddress(name identifier.Instance) (netip.AddrPort, bool) {
	m, ok := p.detector.Member(name)
	return m.Control, ok && m.Control.IsValid()
}

// neighbours returns the live instances of the own data centre, among which configuration is passed on.
func (p *process) neighbours() []identifier.Instance {
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

// awaitConfiguration returns once there is a first configuration.
func (p *process) awaitConfiguration(ctx context.Context) error {
	t := time.NewTicker(configurationPoll)
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

// run starts the duties of the process in g; they end with ctx.
func (p *process) run(ctx context.Context, g *errgroup.Group, control, debug net.Listener) {
	g.Go(func() error {
		return messenger.Serve(ctx, control, p.mux, p.messengerOptions((*authenticator.TLS).Server)...)
	})
	g.Go(func() error { return p.peers.run(ctx) })
	g.Go(func() error { return ignoreEnd(ctx, p.detector.Run(ctx)) })
	g.Go(func() error { return ignoreEnd(ctx, p.distributor.Run(ctx)) })
	g.Go(func() error { return serveHTTP(ctx, debug, p.debug) })
	g.Go(func() error { return every(ctx, ageInterval, p.observeAge) })
	if p.tls != nil {
		g.Go(func() error { return ignoreEnd(ctx, p.tls.Run(ctx, certificateCheck)) })
	}
}

// observeAge counts how long ago the configuration in force was last confirmed.
func (p *process) observeAge(context.Context) {
	if at := p.distributor.ConfirmedAt(); !at.IsZero() {
		p.meter.Observe(meter.AllLatencies().ConfigurationAge, string(p.settings.DataCentre), time.Since(at))
	}
}

// ignoreEnd hides the error of a duty that ended because ctx did.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}
