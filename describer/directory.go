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
	// agentsPerRemoteDataCentre is the number of agents that an entry describes in each other data centre, as fallback for
	// a failure of its own.
	agentsPerRemoteDataCentre = 8
	// refreshInterval is the age after which a description is requested again without a sign of change. It can be long,
	// because each load report carries a hash of the loaded versions; 292 descriptions a minute would take 2.2 KB/s.
	refreshInterval = 300 * time.Second
	// maxDescribesPerSecond bounds the description requests per second.
	maxDescribesPerSecond = 20
	// roundInterval is the time between two rounds of description requests.
	roundInterval = 100 * time.Millisecond
	// describeRetryDelay is the wait after a description request that failed or gave an incomplete description.
	describeRetryDelay = time.Second
	// describeTimeout bounds one description request, so that an agent that does not answer cannot hold it up for long: no
	// other request goes to that agent meanwhile.
	describeTimeout = 2 * time.Second
)

// ErrUnknownUpstream is returned for an upstream that no known agent has described.
var ErrUnknownUpstream = errors.New("describer: no agent has described the upstream")

// Description is an agent's report on its upstream.
type Description struct {
	Upstream identifier.Upstream `json:"upstream"`
	// Service is empty for a model engine.
	Service identifier.Service  `json:"service,omitempty"`
	Targets []identifier.Target `json:"targets,omitempty"`
	// Unloading lists versions that are still loaded but accept no new orders.
	Unloading []identifier.Target `json:"unloading,omitempty"`
	// MaxVersions is the number of versions that the engine can load at once; it is 0 until the engine has answered.
	MaxVersions int           `json:"places,omitempty"`
	Load        streamer.Load `json:"load"`
}

// Directory keeps the descriptions of agents and passes the upstreams to the balancer; it is safe for concurrent use.
type Directory struct {
	self     detector.Member
	detector *detector.Detector
	describe func(context.Context, identifier.Instance) (Description, error)
	probe    func(context.Context, identifier.Instance) (streamer.Load, error)
	update   func([]balancer.Upstream)
	// wake starts a round before the next tick; it is buffered, so that Wake never blocks.
	wake chan struct{}

	mu              sync.Mutex
	byInstance      map[identifier.Instance]*describedAgent
	agentByUpstream map[identifier.Upstream]identifier.Instance
}

// Option configures a Directory.
type Option func(*Directory)

// WithDescribe sets the function that requests the description of an agent; its context has a deadline.
func WithDescribe(f func(context.Context, identifier.Instance) (Description, error)) Option {
	return func(d *Directory) { d.describe = f }
}

// WithProbe sets the function that requests the load of an agent.
func WithProbe(f func(context.Context, identifier.Instance) (streamer.Load, error)) Option {
	return func(d *Directory) { d.probe = f }
}

// WithUpdate sets the function that receives the upstreams; each round passes the whole list.
func WithUpdate(f func([]balancer.Upstream)) Option { return func(d *Directory) { d.update = f } }

// describedAgent is an agent with its last description.
type describedAgent struct {
	Description
	// incarnation is the agent's incarnation in the last round; it is 0 until the detector has heard of one.
	incarnation uint64
	// refreshAt is when the next description request is due.
	refreshAt time.Time
	// inFlight is set while a description request to the agent is in flight.
	inFlight bool
	// valid is set when a complete description has arrived, and cleared when the agent has restarted.
	valid bool
}

// New returns an empty directory of the process self, whose agents are the members of det.
func New(self detector.Member, det *detector.Detector, opts ...Option) *Directory {
	d := &Directory{
		self: self, detector: det, wake: make(chan struct{}, 1), update: func([]balancer.Upstream) {},
		byInstance: map[identifier.Instance]*describedAgent{}, agentByUpstream: map[identifier.Upstream]identifier.Instance{},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Wake makes the next round start at once; the detector calls it when members change.
func (d *Directory) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run requests descriptions and publishes upstreams until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		d.round(ctx)
		select {
		case <-t.C:
		case <-d.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// round publishes the upstreams and requests the descriptions that are due, up to the maximum rate.
func (d *Directory) round(ctx context.Context) {
	agents := d.selectAgents()
	now := time.Now()
	var due []detector.Member
	d.mu.Lock()
	for i := range agents {
		m := &agents[i]
		agent := d.byInstance[m.Instance]
		if agent == nil {
			agent = &describedAgent{}
			d.byInstance[m.Instance] = agent
		}
		if agent.incarnation != m.Incarnation {
			// The balancer never takes a leaving upstream back, so the upstream of a restarted agent is left out of one
			// update and then added as a new one. The first known incarnation of an agent is not a restart.
			agent.valid = agent.valid && agent.incarnation == 0
			agent.incarnation, agent.refreshAt = m.Incarnation, now
		}
		if !agent.inFlight && !now.Before(agent.refreshAt) && len(due) < maxDescribesPerSecond/int(time.Second/roundInterval) {
			agent.inFlight = true
			due = append(due, *m)
		}
	}
	d.removeDeparted(agents)
	d.mu.Unlock()
	// Publishing comes before the requests, so that upstreams of restarted agents are left out before a new description
	// can arrive.
	d.publish(agents)
	for i := range due {
		go d.describeAgent(ctx, due[i].Instance)
	}
}

// removeDeparted deletes the agents that are no longer selected, except those with a request in flight; the caller holds
// mu.
func (d *Directory) removeDeparted(agents []detector.Member) {
	for name, agent := range d.byInstance {
		i := slices.IndexFunc(agents, func(m detector.Member) bool { return m.Instance == name })
		if i < 0 && !agent.inFlight {
			delete(d.byInstance, name)
			delete(d.agentByUpstream, agent.Upstream)
		}
	}
}

// describeAgent requests the description of one agent and stores it.
func (d *Directory) describeAgent(ctx context.Context, name identifier.Instance) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	desc, err := d.describe(ctx, name)
	d.mu.Lock()
	defer d.mu.Unlock()
	agent := d.byInstance[name]
	agent.inFlight = false
	if err != nil {
		agent.refreshAt = time.Now().Add(describeRetryDelay)
		return
	}
	if !desc.Load.Draining {
		d.reportLive(name)
	}
	if !agent.valid && (desc.Load.Draining || desc.Service == "" && desc.MaxVersions == 0) {
		// An agent that has just started describes itself as leaving or without room for versions until it has its
		// configuration and its engine has answered.
		agent.refreshAt = time.Now().Add(describeRetryDelay)
		return
	}
	if !agent.valid || !slices.Equal(agent.Targets, desc.Targets) {
		defer d.Wake()
	}
	agent.Description, agent.valid, agent.refreshAt = desc, true, time.Now().Add(refreshInterval)
	d.agentByUpstream[desc.Upstream] = name
}

// selectAgents returns the agents of the own data centre and agentsPerRemoteDataCentre agents of each other one, chosen by
// rendezvous hashing.
func (d *Directory) selectAgents() []detector.Member {
	var selected []detector.Member
	remote := map[identifier.DataCentre][]detector.Member{}
	for _, m := range d.detector.Members() {
		switch {
		case m.Role != detector.RoleAgent || m.State == detector.Dead:
		case m.DataCentre == d.self.DataCentre:
			selected = append(selected, m)
		default:
			remote[m.DataCentre] = append(remote[m.DataCentre], m)
		}
	}
	for _, list := range remote {
		slices.SortFunc(list, func(a, b detector.Member) int {
			x, y := d.rendezvousHash(a.Instance), d.rendezvousHash(b.Instance)
			switch {
			case x < y:
				return -1
			case x > y:
				return 1
			}
			return 0
		})
		selected = append(selected, list[:min(len(list), agentsPerRemoteDataCentre)]...)
	}
	return selected
}

func (d *Directory) rendezvousHash(name identifier.Instance) uint64 {
	return xxhash.Sum64String(string(d.self.Instance) + "\x00" + string(name))
}

// publish passes the described upstreams to the balancer, with the state of their agents.
func (d *Directory) publish(agents []detector.Member) {
	d.mu.Lock()
	upstreams := make([]balancer.Upstream, 0, len(agents))
	for i := range agents {
		m := &agents[i]
		agent := d.byInstance[m.Instance]
		if agent == nil || !agent.valid {
			continue
		}
		upstreams = append(upstreams, balancer.Upstream{
			Name: agent.Upstream, Region: m.Region, DataCentre: m.DataCentre, Agent: m.Data, Targets: agent.Targets,
			Service: agent.Service, Leaving: m.State == detector.Leaving || agent.Load.Draining,
		})
	}
	d.mu.Unlock()
	d.update(upstreams)
}

// Observe handles a load report; if the hash of its loaded versions differs from the description's, the description is
// requested again in the next round.
func (d *Directory) Observe(u identifier.Upstream, l streamer.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if agent := d.byInstance[d.agentByUpstream[u]]; agent != nil && agent.valid && agent.Load.LoadedHash != l.LoadedHash {
		agent.refreshAt = time.Time{}
	}
}

// AgentOf returns the agent that described an upstream.
func (d *Directory) AgentOf(u identifier.Upstream) (identifier.Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name, ok := d.agentByUpstream[u]
	return name, ok
}

// Probe requests the load of an upstream from its agent.
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
	if !l.Draining {
		d.reportLive(name)
	}
	return l, nil
}

// reportLive reports to the detector that a member answered, which shows that it is live as a heartbeat does.
func (d *Directory) reportLive(name identifier.Instance) {
	if m, ok := d.detector.Member(name); ok {
		d.detector.Observe(name, detector.Live, m.Incarnation)
	}
}

// Engines returns the described engines of the own data centre.
func (d *Directory) Engines() []placer.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []placer.Engine
	for name, agent := range d.byInstance {
		m, ok := d.detector.Member(name)
		if !ok || !agent.valid || agent.Service != "" || m.DataCentre != d.self.DataCentre {
			continue
		}
		list = append(list, placer.Engine{
			Upstream: agent.Upstream, Loaded: slices.Concat(agent.Targets, agent.Unloading), MaxVersions: agent.MaxVersions,
			Leaving: agent.Load.Draining || m.State != detector.Live,
		})
	}
	return list
}

// Refresh makes the next round request the description of an upstream.
func (d *Directory) Refresh(u identifier.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if agent := d.byInstance[d.agentByUpstream[u]]; agent != nil {
		agent.refreshAt = time.Time{}
	}
}

// UpstreamCount returns the number of described upstreams whose agent is still selected.
func (d *Directory) UpstreamCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.agentByUpstream)
}
