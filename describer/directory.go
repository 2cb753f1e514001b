package describer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/placer"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// remoteAgents is the number of agents that an entry knows in each other data centre, for when its own fails.
	remoteAgents = 8
	// describeAge is the age after which a description is asked for again although nothing has told of a change. Each
	// load report carries a hash of the loaded versions, and 292 descriptions a minute would take 2.2 KB/s.
	describeAge = 300 * time.Second
	// describePace bounds the descriptions asked for per second.
	describePace = 20
	// directoryStep is the time between two rounds.
	directoryStep = 100 * time.Millisecond
	// describeRetry is the wait after a description that failed or was not complete.
	describeRetry = time.Second
	// describeTimeout bounds one call, so that a silent agent does not hold up the round.
	describeTimeout = 2 * time.Second
)

// ErrUnknownUpstream is returned for an upstream that no agent has described.
var ErrUnknownUpstream = errors.New("describer: no agent has described the upstream")

// Description is what an agent says about its upstream.
type Description struct {
	Upstream identifier.Upstream `json:"upstream"`
	// Service is empty for a model engine.
	Service identifier.Service  `json:"service,omitempty"`
	Targets []identifier.Target `json:"targets,omitempty"`
	// Unloading lists loaded versions that take no new orders.
	Unloading []identifier.Target `json:"unloading,omitempty"`
	// MaxVersions is the number of versions that fit into the engine; it is 0 until the engine has answered.
	MaxVersions int           `json:"places,omitempty"`
	Load        streamer.Load `json:"load"`
}

// Directory keeps the descriptions of agents and gives the balancer its upstreams; it is safe for concurrent use.
type Directory struct {
	self     detector.Member
	detector *detector.Detector
	describe func(context.Context, identifier.Instance) (Description, error)
	probe    func(context.Context, identifier.Instance) (streamer.Load, error)
	update   func([]balancer.Upstream)
	woken    chan struct{}

	mu    sync.Mutex
	known map[identifier.Instance]*described
	byUp  map[identifier.Upstream]identifier.Instance
}

// Option configures a Directory.
type Option func(*Directory)

// WithDescribe sets the function that asks an agent for its description; its context has a deadline.
func WithDescribe(f func(context.Context, identifier.Instance) (Description, error)) Option {
	return func(d *Directory) { d.describe = f }
}

// WithProbe sets the function that asks an agent for its load.
func WithProbe(f func(context.Context, identifier.Instance) (streamer.Load, error)) Option {
	return func(d *Directory) { d.probe = f }
}

// WithUpdate sets the receiver of the upstreams; each round passes the whole list.
func WithUpdate(f func([]balancer.Upstream)) Option { return func(d *Directory) { d.update = f } }

// described is one agent with the description that it last gave.
type described struct {
	Description
	incarnation uint64
	// refreshAt is when the description is due again.
	refreshAt time.Time
	asking    bool
	valid     bool
}

// New returns an empty directory of the process self, whose agents are the members of det.
func New(self detector.Member, det *detector.Detector, opts ...Option) *Directory {
	d := &Directory{
		self: self, detector: det, woken: make(chan struct{}, 1), update: func([]balancer.Upstream) {},
		known: map[identifier.Instance]*described{}, byUp: map[identifier.Upstream]identifier.Instance{},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Wake makes the next round start at once; the detector calls it when members change.
func (d *Directory) Wake() {
	select {
	case d.woken <- struct{}{}:
	default:
	}
}

// Run asks for descriptions until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	t := time.NewTicker(directoryStep)
	defer t.Stop()
	for {
		d.round(ctx)
		select {
		case <-t.C:
		case <-d.woken:
		case <-ctx.Done():
			return nil
		}
	}
}

// round asks agents whose description is due and passes the upstreams on if anything changed.
func (d *Directory) round(ctx context.Context) {
	agents := d.agents()
	now := time.Now()
	var ask []detector.Member
	d.mu.Lock()
	for i := range agents {
		m := &agents[i]
		x := d.known[m.Instance]
		if x == nil {
			x = &described{}
			d.known[m.Instance] = x
		}
		if x.incarnation != m.Incarnation {
			// The balancer never lets a leaving upstream return, so a restarted one is left out once and starts afresh. The
			// first incarnation that is heard of is no restart.
			x.valid = x.valid && x.incarnation == 0
			x.incarnation, x.refreshAt = m.Incarnation, now
		}
		if !x.asking && !now.Before(x.refreshAt) && len(ask) < describePace/int(time.Second/directoryStep) {
			x.asking = true
			ask = append(ask, *m)
		}
	}
	d.forget(agents)
	d.mu.Unlock()
	// Upstreams of restarted agents are left out before they can be described again.
	d.publish(agents)
	for i := range ask {
		go d.ask(ctx, ask[i].Instance)
	}
}

// forget drops agents that are no longer members; the caller holds mu.
func (d *Directory) forget(agents []detector.Member) {
	for name, x := range d.known {
		i := slices.IndexFunc(agents, func(m detector.Member) bool { return m.Instance == name })
		if i < 0 && !x.asking {
			delete(d.known, name)
			delete(d.byUp, x.Upstream)
		}
	}
}

// ask asks one agent for its description and stores it.
func (d *Directory) ask(ctx context.Context, name identifier.Instance) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	desc, err := d.describe(ctx, name)
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.known[name]
	x.asking = false
	if err != nil {
		x.refreshAt = time.Now().Add(describeRetry)
		return
	}
	if !desc.Load.Leaving {
		d.heard(name)
	}
	if !x.valid && (desc.Load.Leaving || desc.Service == "" && desc.MaxVersions == 0) {
		// An agent that has just started says so until it has its configuration and its engine has answered.
		x.refreshAt = time.Now().Add(describeRetry)
		return
	}
	if !x.valid || !slices.Equal(x.Targets, desc.Targets) {
		defer d.Wake()
	}
	x.Description, x.valid, x.refreshAt = desc, true, time.Now().Add(describeAge)
	d.byUp[desc.Upstream] = name
}

// agents returns the agents of the own data centre, and a few of each other one by rendezvous hash.
func (d *Directory) agents() []detector.Member {
	var own []detector.Member
	others := map[identifier.DataCentre][]detector.Member{}
	for _, m := range d.detector.Members() {
		switch {
		case m.Role != detector.RoleAgent || m.State == detector.Dead:
		case m.DataCentre == d.self.DataCentre:
			own = append(own, m)
		default:
			others[m.DataCentre] = append(others[m.DataCentre], m)
		}
	}
	for _, list := range others {
		slices.SortFunc(list, func(a, b detector.Member) int {
			x, y := d.weight(a.Instance), d.weight(b.Instance)
			switch {
			case x < y:
				return -1
			case x > y:
				return 1
			}
			return 0
		})
		own = append(own, list[:min(len(list), remoteAgents)]...)
	}
	return own
}

func (d *Directory) weight(name identifier.Instance) uint64 {
	return xxhash.Sum64String(string(d.self.Instance) + "\x00" + string(name))
}

// publish gives the balancer the described upstreams with the state of their agents.
func (d *Directory) publish(agents []detector.Member) {
	d.mu.Lock()
	ups := make([]balancer.Upstream, 0, len(agents))
	for i := range agents {
		m := &agents[i]
		x := d.known[m.Instance]
		if x == nil || !x.valid {
			continue
		}
		ups = append(ups, balancer.Upstream{
			Name: x.Upstream, Region: m.Region, DataCentre: m.DataCentre, Agent: m.Data, Targets: x.Targets,
			Service: x.Service, Leaving: m.State == detector.Leaving || x.Load.Leaving,
		})
	}
	d.mu.Unlock()
	d.update(ups)
}

// Observe takes a load report; one with other versions than those described makes the description due.
func (d *Directory) Observe(u identifier.Upstream, l streamer.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x := d.known[d.byUp[u]]; x != nil && x.valid && x.Load.LoadedHash != l.LoadedHash {
		x.refreshAt = time.Time{}
	}
}

// AgentOf returns the agent that described an upstream.
func (d *Directory) AgentOf(u identifier.Upstream) (identifier.Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name, ok := d.byUp[u]
	return name, ok
}

// Probe asks the agent of an upstream for its load.
func (d *Directory) Probe(ctx context.Context, u balancer.Upstream) (streamer.Load, error) {
	name, ok := d.AgentOf(u.Name)
	if !ok {
		return streamer.Load{}, fmt.Errorf("%w: %s", ErrUnknownUpstream, u.Name)
	}
	l, err := d.probe(ctx, name)
	if err != nil {
		return l, err
	}
	d.Observe(u.Name, l)
	if !l.Leaving {
		d.heard(name)
	}
	return l, nil
}

// heard tells the detector that a member answered, which is evidence of life like a heartbeat.
func (d *Directory) heard(name identifier.Instance) {
	if m, ok := d.detector.Member(name); ok {
		d.detector.Observe(name, detector.Live, m.Incarnation)
	}
}

// Engines returns the described engines of the own data centre.
func (d *Directory) Engines() []placer.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []placer.Engine
	for name, x := range d.known {
		m, ok := d.detector.Member(name)
		if !ok || !x.valid || x.Service != "" || m.DataCentre != d.self.DataCentre {
			continue
		}
		list = append(list, placer.Engine{
			Upstream: x.Upstream, Loaded: slices.Concat(x.Targets, x.Unloading), MaxVersions: x.MaxVersions,
			Leaving: x.Load.Leaving || m.State != detector.Live,
		})
	}
	return list
}

// Refresh makes the description of an upstream due.
func (d *Directory) Refresh(u identifier.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x := d.known[d.byUp[u]]; x != nil {
		x.refreshAt = time.Time{}
	}
}

// Count returns the number of upstreams that were described at least once.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byUp)
}
