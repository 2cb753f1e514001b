package detector

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// Monitors is the number of processes to which one process sends heartbeats.
	Monitors = 3
	// Period is the mean time between two heartbeats.
	Period = 1 * time.Second
	// A member is suspected after this time of silence.
	missedTime = 3 * Period
	// A suspicion that nobody refutes or confirms becomes final after this time.
	suspicionTime = 3 * Period
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

type point struct {
	hash uint64
	name identifier.Instance
}

type news struct {
	Event
	until time.Time
}

// outgoing is a message that is sent once the lock is released.
type outgoing struct {
	to identifier.Instance
	m  Message
}

// Option changes a detector at construction.
type Option func(*Detector)

// WithSend sets how a message is handed to the connection of a peer; it must not block.
func WithSend(send func(identifier.Instance, Message)) Option {
	return func(d *Detector) { d.send = send }
}

// WithList sets the source of the platform's instance list.
func WithList(list func(context.Context) ([]storer.Instance, error)) Option {
	return func(d *Detector) { d.list = list }
}

// WithOnChange sets what is told that the members changed; it must not block.
func WithOnChange(f func()) Option {
	return func(d *Detector) { d.onChange = f }
}

// WithRevision sets the configuration revision that heartbeats carry.
func WithRevision(f func() uint64) Option {
	return func(d *Detector) { d.revision = f }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(d *Detector) { d.now = now }
}

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option {
	return func(d *Detector) { d.rand = r }
}

// WithTimeouts sets after which silence a member is suspected and how long a suspicion lasts until it is final.
func WithTimeouts(missed, suspicion time.Duration) Option {
	return func(d *Detector) { d.missed, d.suspicion = missed, suspicion }
}

// WithoutLocalHealth ignores own delays when it judges others.
func WithoutLocalHealth() Option {
	return func(d *Detector) { d.ignore = true }
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

func hash(name identifier.Instance) uint64 {
	return xxhash.Sum64String("monitor/" + string(name))
}

// rebuild computes the ring of the own data centre, on which each member's successors are its monitors.
func (d *Detector) rebuild() {
	d.ring = append(d.ring[:0], point{hash(d.self.Instance), d.self.Instance})
	for name, r := range d.members {
		if r.DataCentre == d.self.DataCentre && r.State != Dead {
			d.ring = append(d.ring, point{hash(name), name})
		}
	}
	slices.SortFunc(d.ring, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
}

// monitors returns the members that follow name on the ring.
func (d *Detector) monitors(name identifier.Instance) []identifier.Instance {
	h := hash(name)
	i, found := slices.BinarySearchFunc(d.ring, h, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	if found {
		i++
	}
	list := make([]identifier.Instance, 0, Monitors)
	for k := 0; k < len(d.ring) && len(list) < Monitors; k++ {
		if p := d.ring[(i+k)%len(d.ring)]; p.name != name {
			list = append(list, p.name)
		}
	}
	return list
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
	d.mu.Unlock()
	d.onChange()
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

// Heard takes what another part of the process has seen of a member, for instance a reply on its connection.
func (d *Detector) Heard(name identifier.Instance, s State, incarnation uint64) {
	d.mu.Lock()
	out, changed := d.apply(Event{Instance: name, State: s, Incarnation: incarnation}, name)
	d.mu.Unlock()
	d.finish(out, changed)
}

// Receive takes a message of a peer.
func (d *Detector) Receive(m Message) {
	if m.From.Instance == d.self.Instance {
		return // An earlier process of the same name.
	}
	d.received.Add(1)
	d.mu.Lock()
	r, known := d.members[m.From.Instance]
	switch {
	case m.From.DataCentre != "":
		r = d.ensure(m.From)
	case !known:
		// The sender's addresses come with the list or with its next full heartbeat.
		d.mu.Unlock()
		return
	}
	changed := !known
	if r.State == Dead && m.From.Incarnation <= r.Incarnation {
		// The sender does not know that it was taken for dead and refutes it once told.
		out := []outgoing{{m.From.Instance, d.message([]Event{{m.From.Instance, Dead, r.Incarnation}})}}
		d.mu.Unlock()
		d.finish(out, false)
		return
	}
	r.heard = d.now()
	out, c := d.apply(Event{Instance: m.From.Instance, State: m.From.State, Incarnation: m.From.Incarnation}, m.From.Instance)
	changed = changed || c
	for _, e := range m.Events[:min(len(m.Events), maxEvents)] {
		o, c := d.apply(e, m.From.Instance)
		out, changed = append(out, o...), changed || c
	}
	if changed {
		d.rebuild()
	}
	d.mu.Unlock()
	d.finish(out, changed)
}

func (d *Detector) finish(out []outgoing, changed bool) {
	d.sent.Add(int64(len(out)))
	for _, o := range out {
		d.send(o.to, o.m)
	}
	if changed {
		d.onChange()
	}
}

func (d *Detector) message(events []Event) Message {
	return Message{From: d.self, Revision: d.revision(), Events: events}
}

// apply takes one event from a peer and returns what it makes this process send.
func (d *Detector) apply(e Event, from identifier.Instance) ([]outgoing, bool) {
	if e.Instance == d.self.Instance {
		return d.refute(e), false
	}
	r, ok := d.members[e.Instance]
	if !ok || e.Incarnation < r.Incarnation {
		return nil, false
	}
	restarted := e.Incarnation > r.Incarnation
	if restarted {
		first := r.Incarnation == 0 && r.State != Dead
		r.Incarnation = e.Incarnation
		r.clear()
		if e.State == Live || e.State == Leaving {
			changed := r.fire(eventRestart)
			if e.State == Leaving {
				changed = r.fire(eventLeave) || changed
			}
			if first && e.State == Live {
				return nil, changed
			}
			return d.spread(e), changed
		}
	}
	switch e.State {
	case Live:
		return nil, d.alive(r, from)
	case Leaving:
		if r.fire(eventLeave) {
			return d.spread(e), true
		}
	case Dead:
		if r.fire(eventConfirm) {
			return d.spread(e), true
		}
	case Suspect:
		return d.accused(r, from), false
	}
	return nil, false
}

// alive takes the word of the member itself, or of another monitor while this process suspects the member.
func (d *Detector) alive(r *record, from identifier.Instance) bool {
	if from != r.Instance {
		if r.suspected.IsZero() {
			return false
		}
		// The other monitor hears the member, so the silence is a matter of the own connection.
		d.worsen()
		r.heard = d.now()
	}
	r.clear()
	return r.fire(eventHear)
}

func (r *record) clear() {
	r.suspected = time.Time{}
	clear(r.accusers)
}

// accused answers an accusation by another monitor: with the truth if the member was heard lately, else it counts.
func (d *Detector) accused(r *record, from identifier.Instance) []outgoing {
	if d.now().Sub(r.heard) < 2*Period {
		return []outgoing{{from, d.message([]Event{{r.Instance, Live, r.Incarnation}})}}
	}
	r.accusers[from] = d.now()
	return nil
}

// refute answers news of the own death with a higher incarnation, and a mere suspicion with a heartbeat to all.
func (d *Detector) refute(e Event) []outgoing {
	if e.Incarnation < d.self.Incarnation || e.State == Live || e.State == d.self.State {
		return nil
	}
	d.self.Incarnation = e.Incarnation + 1
	d.refutations.Add(1)
	return d.spread(Event{d.self.Instance, d.self.State, d.self.Incarnation})
}

// spread notes news for the next heartbeats and forwards it at once to random members within the relay budget.
func (d *Detector) spread(e Event) []outgoing {
	now := d.now()
	d.news = slices.DeleteFunc(d.news, func(n news) bool { return n.Instance == e.Instance || !now.Before(n.until) })
	d.news = append(d.news, news{e, now.Add(newsTime)})
	out := make([]outgoing, 0, relays)
	for range relays {
		if len(d.ring) < 2 || d.tokens < 1 {
			break
		}
		to := d.ring[d.rand.IntN(len(d.ring))].name
		if to == d.self.Instance || to == e.Instance {
			continue
		}
		d.tokens--
		out = append(out, outgoing{to, d.message([]Event{e})})
	}
	return out
}

// Leave announces that this process is leaving.
func (d *Detector) Leave() {
	d.mu.Lock()
	d.self.State = Leaving
	out := d.spread(Event{d.self.Instance, Leaving, d.self.Incarnation})
	for _, to := range d.monitors(d.self.Instance) {
		out = append(out, outgoing{to, d.message(nil)})
	}
	d.mu.Unlock()
	d.finish(out, true)
}

func (d *Detector) worsen() {
	if !d.ignore {
		d.health = min(d.health+1, maxHealth)
		d.healed = d.now()
	}
}

// Tick sends heartbeats and judges the members that this process monitors; Run calls it once a period.
func (d *Detector) Tick() {
	d.mu.Lock()
	now := d.now()
	d.tokens = min(d.tokens+relays*max(0, now.Sub(d.ticked).Seconds()), relayBurst)
	if !d.ticked.IsZero() && now.Sub(d.ticked) > 2*Period && !d.ignore {
		// This process itself was paused or starved, so the silence of others in that time says nothing.
		d.worsen()
		for _, r := range d.members {
			if !r.heard.IsZero() {
				r.heard = now
			}
			r.clear()
		}
	}
	d.ticked = now
	if d.health > 0 && now.Sub(d.healed) > healthRecovery {
		d.health--
		d.healed = now
	}
	d.news = slices.DeleteFunc(d.news, func(n news) bool { return !now.Before(n.until) })
	events := make([]Event, 0, maxEvents)
	for i := len(d.news) - 1; i >= 0 && len(events) < maxEvents; i-- {
		events = append(events, d.news[i].Event)
	}
	out := make([]outgoing, 0, 2*Monitors)
	m := d.message(events)
	if d.ticks%fullHeartbeat != 0 {
		m.From = m.From.brief()
	}
	d.ticks++
	for _, to := range d.monitors(d.self.Instance) {
		out = append(out, outgoing{to, m})
	}
	judged, changed := d.judge(now)
	if changed {
		d.rebuild()
	}
	d.mu.Unlock()
	d.finish(append(out, judged...), changed)
}

// watched returns the members whose heartbeats this process should receive, by its own ring.
func (d *Detector) watched() []*record {
	i := slices.IndexFunc(d.ring, func(p point) bool { return p.name == d.self.Instance })
	list := make([]*record, 0, Monitors)
	for k := 1; k <= min(Monitors, len(d.ring)-1); k++ {
		if r, ok := d.members[d.ring[(i-k+len(d.ring))%len(d.ring)].name]; ok {
			list = append(list, r)
		}
	}
	return list
}

func (d *Detector) judge(now time.Time) ([]outgoing, bool) {
	factor := time.Duration(1 + d.health)
	silent := []*record{}
	watched := d.watched()
	for _, r := range watched {
		// A member that starts to send to this process has the time from now on.
		if r.heard.IsZero() {
			r.heard = now
		}
		if now.Sub(r.heard) > d.missed*factor {
			silent = append(silent, r)
		}
	}
	isolated := len(silent) > 1 && 2*len(silent) > len(watched)
	if isolated {
		// Most members at once are silent: the own connection is the likelier cause, so the timeouts grow.
		d.worsen()
		factor *= isolatedFactor
	}
	var out []outgoing
	changed := false
	for _, r := range silent {
		if r.suspected.IsZero() {
			r.suspected = now
			d.suspicions.Add(1)
			changed = r.fire(eventMiss) || changed
		}
		accusation := d.message([]Event{{r.Instance, Suspect, r.Incarnation}})
		for _, to := range append(d.monitors(r.Instance), r.Instance) {
			if to != d.self.Instance {
				out = append(out, outgoing{to, accusation})
			}
		}
		if d.confirmed(r, now, factor) && r.fire(eventConfirm) {
			changed = true
			d.deaths.Add(1)
			out = append(out, d.spread(Event{r.Instance, Dead, r.Incarnation})...)
		}
	}
	return out, changed
}

// confirmed reports whether another monitor is without heartbeats too, or nobody refuted the suspicion for long; a
// process that is cut off from all others has no second accuser.
func (d *Detector) confirmed(r *record, now time.Time, factor time.Duration) bool {
	since := now.Sub(r.suspected)
	for _, at := range r.accusers {
		if since >= Period && now.Sub(at) <= 2*Period {
			return true
		}
	}
	return since > d.suspicion*factor
}

// Run ticks once a period with jitter and reads the platform's list until ctx ends, and then announces the leaving.
func (d *Detector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if d.list != nil {
		wg.Go(func() { d.follow(ctx) })
	}
	for storer.Sleep(ctx, d.jitter(Period)) == nil {
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

// View is the state dump of a detector.
type View struct {
	Self    Member   `json:"self"`
	Health  int      `json:"health"`
	Members []Member `json:"members"`
}

// State returns the members and the local health score, 0 being healthy.
func (d *Detector) State() any {
	members := d.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	return View{Self: d.self, Health: d.health, Members: members}
}
