package distributor

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// 30 readers of 10 data centres read the head 60 times a second at this interval.
	defaultPoll = 500 * time.Millisecond
	// MaxConcurrentReads is the number of reads that a reader may have under way, so that one lost reply does not stop it.
	MaxConcurrentReads = 2
	// MaxConcurrentPulls is the number of pulls that a process may have under way, so that lost replies, each waited for until
	// the call time ends, do not stop a process that knows it is behind.
	MaxConcurrentPulls = 3
	// A process that a push missed learns of the change within two pulls, under the 7 s bound with one of them lost.
	defaultPull = 2 * time.Second
	// defaultCallTime bounds one exchange with a peer; a read of the table may take twice as long.
	defaultCallTime = 1500 * time.Millisecond
	// staleAfter is the confirmed age from which a process may be drawn to read although it is no reader.
	staleAfter = 4 * time.Second
	// standInSteps spreads the reads of stand-ins over four polls: at most 15 reads/s in 10 data centres.
	standInSteps = 4
	// maxCatchUp is the number of revisions that a reader reads one by one before it reads all items instead.
	maxCatchUp = 16
)

// Distributor holds the configuration in force at one process, safe for concurrent use.
type Distributor struct {
	self       identifier.Instance
	table      *storer.Table
	objects    *storer.Objects
	members    func() []identifier.Instance
	remotes    func() []identifier.Instance
	push       func(context.Context, identifier.Instance, Update) error
	pull       func(context.Context, identifier.Instance, uint64) (Update, error)
	onChange   func(*configurer.Configuration)
	now        func() time.Time
	sleep      func(context.Context, time.Duration) error
	poll, pace time.Duration
	callTime   time.Duration
	accept     func(have uint64, u Update) bool

	current atomic.Pointer[configurer.Configuration]
	mu      sync.Mutex
	rand    *rand.Rand
	items   map[string]committer.Item
	treeOf  []identifier.Instance
	treeNow Tree
	// heard is the highest revision that the table or any peer has named.
	heard     uint64
	answered  bool
	confirmed time.Time
	turn      int
	// ahead is a peer that is known to have a later revision.
	ahead    identifier.Instance
	nextPull time.Time

	accepted, refused, reads, pushes, pulls, failures atomic.Int64
}

// New returns a distributor without a configuration.
func New(opts ...Option) *Distributor {
	d := &Distributor{
		now: time.Now, sleep: storer.Sleep, poll: defaultPoll, pace: defaultPull, callTime: defaultCallTime, items: map[string]committer.Item{},
		rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		onChange: func(*configurer.Configuration) {}, accept: forwardOnly,
	}
	d.members = func() []identifier.Instance { return []identifier.Instance{d.self} }
	d.remotes = func() []identifier.Instance { return nil }
	for _, o := range opts {
		o(d)
	}
	return d
}

// Current returns the configuration in force, or nil before the first; the value is immutable.
func (d *Distributor) Current() *configurer.Configuration { return d.current.Load() }

// Revision returns the revision in force, or 0.
func (d *Distributor) Revision() uint64 {
	if c := d.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// ConfirmedAt returns the latest time at which the revision in force is known to have been the table's head.
func (d *Distributor) ConfirmedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Apply puts an update into force if it leads forward without a gap, and reports whether it did.
func (d *Distributor) Apply(u Update) bool {
	d.mu.Lock()
	c, ok := d.offer(u)
	d.mu.Unlock()
	if ok {
		d.accepted.Add(1)
		d.onChange(c)
	}
	return ok
}

func (d *Distributor) offer(u Update) (*configurer.Configuration, bool) {
	d.heard = max(d.heard, u.Revision)
	have := d.Revision()
	if u.Revision == have && u.ConfirmedAt.After(d.confirmed) {
		d.confirmed = u.ConfirmedAt
	}
	if !d.accept(have, u) {
		return nil, false
	}
	items := maps.Clone(d.items)
	for _, it := range u.Items {
		// An item of the own state may be newer than that of an update with an older base.
		if it.Revision > items[it.Key].Revision {
			items[it.Key] = it
		}
	}
	c, err := committer.Join(u.Revision, items)
	if err != nil {
		d.refused.Add(1)
		return nil, false
	}
	d.items = items
	if u.ConfirmedAt.After(d.confirmed) {
		d.confirmed = u.ConfirmedAt
	}
	d.current.Store(c)
	return c, true
}

// Since returns what this process has beyond a revision; peers ask for it through config-since.
func (d *Distributor) Since(revision uint64) Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Update{Revision: d.Revision(), Base: revision, ConfirmedAt: d.confirmed}
	for _, it := range d.items {
		if it.Revision > revision {
			u.Items = append(u.Items, it)
		}
	}
	sortItems(u.Items)
	return u
}

// ObserveRevision notes that a peer has a revision, as heartbeats tell; the next step pulls from a peer that is ahead, and a
// snapshot below the revision is refused.
func (d *Distributor) ObserveRevision(peer identifier.Instance, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision > d.Revision() {
		d.ahead = peer
	}
	d.heard = max(d.heard, revision)
	d.answered = true
}

// Receive takes an update that a peer pushed and passes it on.
func (d *Distributor) Receive(ctx context.Context, u Update) bool {
	before := d.Revision()
	if !d.Apply(u) {
		return false
	}
	d.spread(ctx, before)
	return true
}

// tree returns the tree of the current members, computed anew only when they have changed.
func (d *Distributor) tree() Tree {
	members := d.members()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(members, d.treeOf) {
		d.treeOf, d.treeNow = slices.Clone(members), NewTree(members)
	}
	return d.treeNow
}

// spread pushes to the children of the own tree what came into force after a revision.
func (d *Distributor) spread(ctx context.Context, before uint64) {
	if d.push == nil {
		return
	}
	u := d.Since(before)
	for _, peer := range d.tree().Children(d.self) {
		d.pushes.Add(1)
		if err := d.push(ctx, peer, u); err != nil {
			// The peer pulls what it missed.
			d.failures.Add(1)
		}
	}
}

// Run reads as a reader while this process is one and pulls from peers always, until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range MaxConcurrentReads {
		wg.Go(func() { d.repeat(ctx, MaxConcurrentReads*d.poll, d.ReadStep) })
	}
	for range MaxConcurrentPulls {
		wg.Go(func() { d.repeat(ctx, d.poll, d.PullStep) })
	}
	wg.Wait()
	return nil
}

func (d *Distributor) repeat(ctx context.Context, pace time.Duration, step func(context.Context)) {
	for d.sleep(ctx, d.jitter(pace)) == nil {
		step(ctx)
	}
}

// jitter draws a wait between 0.8 and 1.2 of the pace, so that processes do not act in step.
func (d *Distributor) jitter(pace time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return pace*4/5 + time.Duration(d.rand.Int64N(int64(pace*2/5)))
}

// Counters returns the numbers of updates accepted and refused, of exchanges and of failed exchanges.
func (d *Distributor) Counters() map[string]int64 {
	return map[string]int64{
		"config-accepted": d.accepted.Load(), "config-refused": d.refused.Load(), "config-reads": d.reads.Load(),
		"config-pushes": d.pushes.Load(), "config-pulls": d.pulls.Load(), "config-failures": d.failures.Load(),
	}
}

// State is the state dump of a distributor.
type State struct {
	Revision            uint64    `json:"revision"`
	HighestPeerRevision uint64    `json:"heard"`
	ConfirmedAt         time.Time `json:"confirmed-at"`
	Reader              bool      `json:"reader"`
}

// State returns the revision in force and how fresh it is.
func (d *Distributor) State() any {
	reader := d.tree().IsReader(d.self)
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{Revision: d.Revision(), HighestPeerRevision: d.heard, ConfirmedAt: d.confirmed, Reader: reader}
}
