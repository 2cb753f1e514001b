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
	// HeartbeatInterval is the mean time between two heartbeats. At 1 s they took 1,174 B/s of each process, with a budget of 1,000.
	HeartbeatInterval = 1250 * time.Millisecond
	// A member is suspected after this time of silence.
	missedTime = 3 * HeartbeatInterval
	// A suspicion that nobody refutes or confirms becomes final after this time.
	suspicionTime = 3 * HeartbeatInterval
	// isolatedFactor stretches the suspicion while most monitored members are silent at once.
	isolatedFactor = 5
	// maxHealth bounds the factor by which a process with a record of own delays stretches its timeouts.
	maxHealth = 4
	// A clean time of this length takes one step off the local health score.
	healthRecovery = 5 * time.Second
	// relays is the number of random members to which news is forwarded at once.
	relays = 4
	// relayBurst bounds forwarded messages: this number at once and relays a second after that.
	relayBurst = 8
	// News travels with heartbeats for newsTime, at most maxEvents per message.
	newsTime  = 5 * time.Second
	maxEvents = 4
	// A member that the list lacks and that is silent here is forgotten after unlistedTime.
	unlistedTime = 60 * time.Second
	listTime     = 2 * time.Second
	// fullHeartbeat is the number of heartbeats of which one carries the addresses of the sender, which are two thirds of
	// its size; a monitor that lacks the sender waits for it or for the list.
	fullHeartbeat = 10
	listPeriod    = 5 * time.Second
)

// Detector holds the membership as one process sees it, safe for concurrent use.
type Detector struct {
	send     func(identifier.Instance, Message)
	list     func(context.Context) ([]storer.Instance, error)
	onChange func()
	revision func() uint64
	now      func() time.Time
	chart    *interpreter.Chart

	mu                sync.Mutex
	rand              *rand.Rand
	self              Member
	members           map[identifier.Instance]*record
	ring              []point
	ticked            time.Time
	started           time.Time
	health            int
	ticks             uint64
	healed            time.Time
	news              []news
	tokens            float64
	ignore            bool
	missed, suspicion time.Duration

	sent, received, suspicions, deaths, refutations atomic.Int64
}

// New returns a detector for one process; its incarnation is its start time in milliseconds, so a restart is higher.
func New(self Member, opts ...Option) *Detector {
	d := &Detector{
		self: self, members: map[identifier.Instance]*record{}, now: time.Now, chart: interpreter.MustParse(chartText),
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), tokens: relayBurst,
		missed: missedTime, suspicion: suspicionTime,
		send: func(identifier.Instance, Message) {}, onChange: func() {}, revision: func() uint64 { return 0 },
	}
	for _, o := range opts {
		o(d)
	}
	d.self.State = Live
	if d.self.Incarnation == 0 {
		d.self.Incarnation = uint64(d.now().UnixMilli())
	}
	d.started = d.now()
	d.rebuild()
	return d
}

// Members returns all known members but the dead, in the order of their names, self included.
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

// Count returns the number of known members of a role, self and the dead that the platform still lists included.
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

// Member returns what is known of one member, self included, and false for an unknown one.
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

// StateOf returns the state of one member; Dead for an unknown one.
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

// Merge takes the platform's list, which adds and removes members but overrules nothing that was heard since.
func (d *Detector) Merge(list []storer.Instance) {
	d.mu.Lock()
	now := d.now()
	listed := make(map[identifier.Instance]bool, len(list))
	for _, x := range list {
		listed[x.Instance] = true
		if x.Instance == d.self.Instance {
			continue
		}
		r := d.ensure(Member{
			Instance: x.Instance, DataCentre: x.DataCentre, Region: x.Region, Role: Role(x.Role),
			Control: x.Control, Data: x.Data,
		})
		r.unlisted = time.Time{}
		if x.Leaving {
			r.fire(eventLeave)
		}
	}
	for name, r := range d.members {
		if listed[name] {
			continue
		}
		if r.unlisted.IsZero() {
			r.unlisted = now
		}
		silent := now.Sub(r.heard) > unlistedTime
		if r.State == Listed || r.State == Dead || silent && now.Sub(r.unlisted) > unlistedTime {
			delete(d.members, name)
		}
	}
	d.rebuild()
	out := d.tellDead(listed)
	d.mu.Unlock()
	d.finish(out, true)
}

// tellDead tells one listed member that this process takes it for dead. A live one refutes that, which matters where both
// take each other for dead: no heartbeat passes between them, and nobody else has news of it.
func (d *Detector) tellDead(listed map[identifier.Instance]bool) []outgoing {
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
	return []outgoing{{to, d.message([]Event{{to, Dead, d.members[to].Incarnation}})}}
}

func (d *Detector) ensure(m Member) *record {
	r, ok := d.members[m.Instance]
	if ok {
		// A replaced instance keeps its name and may have other addresses.
		r.DataCentre, r.Region, r.Role, r.Control, r.Data = m.DataCentre, m.Region, m.Role, m.Control, m.Data
		return r
	}
	r = &record{Member: m, machine: interpreter.NewMachine(d.chart), accusers: map[identifier.Instance]time.Time{}}
	r.State = r.machine.State()
	r.Incarnation = 0
	d.members[m.Instance] = r
	return r
}

// Run ticks once a period with jitter and reads the platform's list until ctx ends, and then announces the leaving.
func (d *Detector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if d.list != nil {
		wg.Go(func() { d.follow(ctx) })
	}
	for storer.Sleep(ctx, d.jitter(HeartbeatInterval)) == nil {
		d.Tick()
	}
	d.Leave()
	wg.Wait()
	return nil
}

func (d *Detector) follow(ctx context.Context) {
	for {
		c, cancel := context.WithTimeout(ctx, listTime)
		list, err := d.list(c)
		cancel()
		if err == nil {
			d.Merge(list)
		}
		if storer.Sleep(ctx, d.jitter(listPeriod)) != nil {
			return
		}
	}
}

// jitter draws a wait between 0.9 and 1.1 of the mean.
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

// MembershipState is the state dump of a detector.
type MembershipState struct {
	Self    Member   `json:"self"`
	Health  int      `json:"health"`
	Members []Member `json:"members"`
}

// State returns the members and the local health score, 0 being healthy.
func (d *Detector) State() any {
	members := d.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	return MembershipState{Self: d.self, Health: d.health, Members: members}
}
