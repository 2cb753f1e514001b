package assembler

import (
	"context"
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
	// describeTimeout bounds one call, so that a silent agent does not hold up the round.
	describeTimeout = 2 * time.Second
)

// directory keeps the descriptions of agents and gives the balancer its upstreams.
type directory struct {
	*process
	update func([]balancer.Upstream)
	woken  chan struct{}

	mu    sync.Mutex
	known map[identifier.Instance]*described
	byUp  map[identifier.Upstream]identifier.Instance
}

// described is one agent with the description that it last gave.
type described struct {
	Description
	incarnation uint64
	// refreshAt is when the description is due again.
	refreshAt time.Time
	asking    bool
	valid     bool
}

func newDirectory(p *process) *directory {
	return &directory{
		process: p, woken: make(chan struct{}, 1),
		known: map[identifier.Instance]*described{}, byUp: map[identifier.Upstream]identifier.Instance{},
	}
}

// wake makes the next round start at once; the detector calls it when members change.
func (d *directory) wake() {
	select {
	case d.woken <- struct{}{}:
	default:
	}
}

func (d *directory) run(ctx context.Context) error {
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
func (d *directory) round(ctx context.Context) {
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
		go d.describe(ctx, ask[i].Instance)
	}
}

// forget drops agents that are no longer members; the caller holds mu.
func (d *directory) forget(agents []detector.Member) {
	for name, x := range d.known {
		i := slices.IndexFunc(agents, func(m detector.Member) bool { return m.Instance == name })
		if i < 0 && !x.asking {
			delete(d.known, name)
			delete(d.byUp, x.Upstream)
		}
	}
}

func (d *directory) describe(ctx context.Context, name identifier.Instance) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	desc, err := ask[None, Description](ctx, d.peers, name, methodDescribe, None{})
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.known[name]
	x.asking = false
	if err != nil {
		x.refreshAt = time.Now().Add(leaseRetry)
		return
	}
	if !desc.Load.Leaving {
		d.heard(name)
	}
	if !x.valid && (desc.Load.Leaving || desc.Service == "" && desc.Places == 0) {
		// An agent that has just started says so until it has its configuration and its engine has answered.
		x.refreshAt = time.Now().Add(leaseRetry)
		return
	}
	if !x.valid || !slices.Equal(x.Targets, desc.Targets) {
		defer d.wake()
	}
	x.Description, x.valid, x.refreshAt = desc, true, time.Now().Add(describeAge)
	d.byUp[desc.Upstream] = name
}

// agents returns the agents of the own data centre, and a few of each other one by rendezvous hash.
func (d *directory) agents() []detector.Member {
	var own []detector.Member
	others := map[identifier.DataCentre][]detector.Member{}
	for _, m := range d.detector.Members() {
		switch {
		case m.Role != detector.RoleAgent || m.State == detector.Dead:
		case m.DataCentre == d.settings.DataCentre:
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

func (d *directory) weight(name identifier.Instance) uint64 {
	return xxhash.Sum64String(string(d.settings.Instance) + "\x00" + string(name))
}

// publish gives the balancer the described upstreams with the state of their agents.
func (d *directory) publish(agents []detector.Member) {
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

// observe takes a load report; one with other versions than those described makes the description due.
func (d *directory) observe(u identifier.Upstream, l streamer.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x := d.known[d.byUp[u]]; x != nil && x.valid && x.Load.Loaded != l.Loaded {
		x.refreshAt = time.Time{}
	}
}

// agentOf returns the agent of an upstream.
func (d *directory) agentOf(u identifier.Upstream) (identifier.Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name, ok := d.byUp[u]
	return name, ok
}

// probe asks the agent of an upstream for its load.
func (d *directory) probe(ctx context.Context, u balancer.Upstream) (streamer.Load, error) {
	name, ok := d.agentOf(u.Name)
	if !ok {
		return streamer.Load{}, fmt.Errorf("%w: agent of %s", errUnknownPeer, u.Name)
	}
	l, err := ask[None, streamer.Load](ctx, d.peers, name, methodProbe, None{})
	if err != nil {
		return l, err
	}
	d.observe(u.Name, l)
	if !l.Leaving {
		d.heard(name)
	}
	return l, nil
}

// heard tells the detector that a member answered, which is evidence of life like a heartbeat.
func (d *directory) heard(name identifier.Instance) {
	if m, ok := d.detector.Member(name); ok {
		d.detector.Heard(name, detector.Live, m.Incarnation)
	}
}

// engines returns the described engines of the own data centre.
func (d *directory) engines() []placer.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []placer.Engine
	for name, x := range d.known {
		m, ok := d.detector.Member(name)
		if !ok || !x.valid || x.Service != "" || m.DataCentre != d.settings.DataCentre {
			continue
		}
		list = append(list, placer.Engine{
			Upstream: x.Upstream, Loaded: slices.Concat(x.Targets, x.Unloading), Places: x.Places,
			Leaving: x.Load.Leaving || m.State != detector.Live,
		})
	}
	return list
}

// refresh makes the description of an upstream due.
func (d *directory) refresh(u identifier.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x := d.known[d.byUp[u]]; x != nil {
		x.refreshAt = time.Time{}
	}
}

// count returns the number of upstreams that were described at least once.
func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byUp)
}
