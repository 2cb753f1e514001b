package detector

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// MonitorsPerMember is the number of processes to which one process sends heartbeats.
	MonitorsPerMember = 3
	// HeartbeatInterval is the mean time between two heartbeats. At 1 s they take 1,174 B/s per process; the budget is 1,000 B/s.
	HeartbeatInterval = 1250 * time.Millisecond
	// defaultSilenceTimeout is how long a monitored member may send no heartbeat before it is suspected.
	defaultSilenceTimeout = 3 * HeartbeatInterval
	// defaultSuspicionTimeout is how long a suspicion that is neither refuted nor confirmed lasts before the member counts as
	// dead.
	defaultSuspicionTimeout = 3 * HeartbeatInterval
	// isolationFactor multiplies the suspicion timeout while most monitored members are silent at once.
	isolationFactor = 5
	// maxHealthScore bounds the local health score. A process that was delayed itself multiplies its timeouts by the score
	// plus one.
	maxHealthScore = 4
	// healthRecoveryInterval is the time without a delay of this process after which the local health score drops by one.
	healthRecoveryInterval = 5 * time.Second
	// relayFanout is the number of random members to which a new event is forwarded at once.
	relayFanout = 4
	// relayBurst is the capacity of the token bucket that bounds forwarded messages; relayFanout tokens are added per second.
	relayBurst = 8
	// eventTTL is how long heartbeats carry an event, at most maxEventsPerMessage of them in each message.
	eventTTL            = 5 * time.Second
	maxEventsPerMessage = 4
	// unlistedTimeout is the time after which a member that is missing in the platform's list and silent here is removed.
	unlistedTimeout = 60 * time.Second
	// listTimeout bounds one read of the platform's list.
	listTimeout = 2 * time.Second
	// heartbeatsPerFull is the number of heartbeats of which one carries the sender's addresses, which are two thirds of its
	// size. A monitor that does not know the sender ignores its heartbeats until it gets a full one or reads the list.
	heartbeatsPerFull = 10
	// listInterval is the mean time between two reads of the platform's list.
	listInterval = 5 * time.Second
)

// Detector holds the membership as one process sees it; it is safe for concurrent use.
type Detector struct {
	send      func(identifier.Instance, Message)
	fetchList func(context.Context) ([]storer.Instance, error)
	onChange  func()
	revision  func() uint64
	now       func() time.Time
	chart     *interpreter.Chart

	mu                               sync.Mutex
	rand                             *rand.Rand
	self                             Member
	members                          map[identifier.Instance]*record
	ring                             []ringPoint
	lastTickAt                       time.Time
	startedAt                        time.Time
	healthScore                      int
	tickCount                        uint64
	healthChangedAt                  time.Time
	recentEvents                     []recentEvent
	relayTokens                      float64
	ignoreLocalHealth                bool
	silenceTimeout, suspicionTimeout time.Duration

	sent, received, suspicions, deaths, refutations atomic.Int64
}

// New returns a detector for one process; its incarnation is its start time in milliseconds, so that a restart has a higher one.
func New(self Member, opts ...Option) *Detector {
	d := &Detector{
		self: self, members: map[identifier.Instance]*record{}, now: time.Now, chart: interpreter.MustParse(chartText),
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), relayTokens: relayBurst,
		silenceTimeout: defaultSilenceTimeout, suspicionTimeout: defaultSuspicionTimeout,
		send: func(identifier.Instance, Message) {}, onChange: func() {}, revision: func() uint64 { return 0 },
	}
	for _, o := range opts {
		o(d)
	}
	d.self.State = Live
	if d.self.Incarnation == 0 {
		d.self.Incarnation = uint64(d.now().UnixMilli())
	}
	d.startedAt = d.now()
	d.rebuildRing()
	return d
}

// Members returns all known members except dead ones, this process included, ordered by name.
func (d *Detector) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Member, 0, len(d.members)+1)
	list = append(list, d.self)
	for _, r := range d.members {
		if r.State != Dead {
			list = append(list, r.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Count returns the number of known members of a role, including this process and dead members that the platform still lists.
func (d *Detector) Count(role Role) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	if d.self.Role == role {
		n++
	}
	for _, r := range d.members {
		if r.Role == role {
			n++
		}
	}
	return n
}

// Member returns a member, which may be this process, and false if it is unknown.
func (d *Detector) Member(name identifier.Instance) (Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name == d.self.Instance {
		return d.self, true
	}
	if r, ok := d.members[name]; ok {
		return r.Member, true
	}
	return Member{}, false
}

// StateOf returns the state of a member, which may be this process; it is Dead for an unknown one.
func (d *Detector) StateOf(name identifier.Instance) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name == d.self.Instance {
		return d.self.State
	}
	if r, ok := d.members[name]; ok {
		return r.State
	}
	return Dead
}

// ApplyList applies the platform's list, which adds and removes members; because it lags, it overrules no state that messages have
// reported.
func (d *Detector) ApplyList(list []storer.Instance) {
	d.mu.Lock()
	now := d.now()
	listed := make(map[identifier.Instance]bool, len(list))
	for _, instance := range list {
		listed[instance.Instance] = true
		if instance.Instance == d.self.Instance {
			continue
		}
		r := d.upsert(Member{
			Instance: instance.Instance, DataCentre: instance.DataCentre, Region: instance.Region, Role: Role(instance.Role),
			Control: instance.ControlAddress, Data: instance.DataAddress,
		})
		r.unlistedSince = time.Time{}
		if instance.Leaving {
			r.fire(eventLeave)
		}
	}
	for name, r := range d.members {
		if listed[name] {
			continue
		}
		if r.unlistedSince.IsZero() {
			r.unlistedSince = now
		}
		isSilent := now.Sub(r.lastHeardAt) > unlistedTimeout
		if r.State == Listed || r.State == Dead || isSilent && now.Sub(r.unlistedSince) > unlistedTimeout {
			delete(d.members, name)
		}
	}
	d.rebuildRing()
	out := d.notifyDead(listed)
	d.mu.Unlock()
	d.deliver(out, true)
}

// notifyDead tells one listed member, chosen at random, that this process considers it dead. A live one refutes that. Otherwise
// two processes that consider each other dead would stay so: they exchange no heartbeats, and no other process sends an event
// about it.
func (d *Detector) notifyDead(listed map[identifier.Instance]bool) []outgoing {
	var dead []identifier.Instance
	for name, r := range d.members {
		if listed[name] && r.State == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	to := dead[d.rand.IntN(len(dead))]
	return []outgoing{{to, d.newMessage([]Event{{to, Dead, d.members[to].Incarnation}})}}
}

func (d *Detector) upsert(m Member) *record {
	r, ok := d.members[m.Instance]
	if ok {
		// An instance that was replaced keeps its name but may have other addresses.
		r.DataCentre, r.Region, r.Role, r.Control, r.Data = m.DataCentre, m.Region, m.Role, m.Control, m.Data
		return r
	}
	r = &record{Member: m, machine: interpreter.NewMachine(d.chart), suspectedBy: map[identifier.Instance]time.Time{}}
	r.State = r.machine.State()
	r.Incarnation = 0
	d.members[m.Instance] = r
	return r
}

// Run calls Tick once per HeartbeatInterval, with jitter, and reads the platform's list until ctx ends, and then calls Leave.
func (d *Detector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if d.fetchList != nil {
		wg.Go(func() { d.followList(ctx) })
	}
	for storer.Sleep(ctx, d.jitter(HeartbeatInterval)) == nil {
		d.Tick()
	}
	d.Leave()
	wg.Wait()
	return nil
}

func (d *Detector) followList(ctx context.Context) {
	for {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := d.fetchList(listCtx)
		cancel()
		if err == nil {
			d.ApplyList(list)
		}
		if storer.Sleep(ctx, d.jitter(listInterval)) != nil {
			return
		}
	}
}

// jitter returns a random duration between 0.9 and 1.1 times mean.
func (d *Detector) jitter(mean time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return mean*9/10 + time.Duration(d.rand.Int64N(int64(mean/5)))
}

// Counters returns the numbers of messages sent and received, suspicions, confirmed deaths and refutations.
func (d *Detector) Counters() map[string]int64 {
	return map[string]int64{
		"heartbeats-sent": d.sent.Load(), "heartbeats-received": d.received.Load(),
		"suspicions": d.suspicions.Load(), "deaths": d.deaths.Load(), "refutations": d.refutations.Load(),
	}
}

// MembershipState is the part of the state dump that a detector returns.
type MembershipState struct {
	Self    Member   `json:"self"`
	Health  int      `json:"health"`
	Members []Member `json:"members"`
}

// State returns the members and the local health score, which is 0 for a process without recent delays of its own.
func (d *Detector) State() any {
	members := d.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	return MembershipState{Self: d.self, Health: d.healthScore, Members: members}
}
