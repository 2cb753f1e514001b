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
	// defaultPollInterval makes the 30 readers of 10 data centres read the head 60 times a second.
	defaultPollInterval = 500 * time.Millisecond
	// MaxConcurrentReads is the number of table reads that a reader may have in flight, so that one lost reply does not
	// block it.
	MaxConcurrentReads = 2
	// MaxConcurrentPulls is the number of pulls that a process may have in flight, so that lost replies, each of which
	// blocks its pull until the call timeout, do not stop a process that knows it is behind.
	MaxConcurrentPulls = 3
	// defaultPullInterval lets a process that missed a push learn of the change within two pulls and, if one of them is
	// lost, still within the 7 s in which every process must apply a change.
	defaultPullInterval = 2 * time.Second
	// defaultCallTimeout limits one call to a peer; a read of the table may take twice as long.
	defaultCallTimeout = 1500 * time.Millisecond
	// staleAfter is the time without confirmation of the revision after which a process that is not a reader may be
	// chosen at random to read the table.
	staleAfter = 4 * time.Second
	// fallbackReadPolls is the number of poll intervals over which the reads of such fallback readers are spread, which
	// limits them to 15 reads/s in 10 data centres.
	fallbackReadPolls = 4
	// maxCatchUpRevisions is the largest number of revisions that a reader reads one by one; if it is further behind, it
	// reads all items.
	maxCatchUpRevisions = 16
)

// Distributor holds the configuration in force at one process; it is safe for concurrent use.
type Distributor struct {
	self                       identifier.Instance
	table                      *storer.Table
	objects                    *storer.Objects
	members                    func() []identifier.Instance
	remotes                    func() []identifier.Instance
	push                       func(context.Context, identifier.Instance, Update) error
	pull                       func(context.Context, identifier.Instance, uint64) (Update, error)
	onChange                   func(*configurer.Configuration)
	now                        func() time.Time
	sleep                      func(context.Context, time.Duration) error
	pollInterval, pullInterval time.Duration
	callTimeout                time.Duration
	accept                     func(have uint64, u Update) bool

	current     atomic.Pointer[configurer.Configuration]
	mu          sync.Mutex
	rand        *rand.Rand
	items       map[string]committer.Item
	treeMembers []identifier.Instance
	cachedTree  Tree
	// highestKnown is the highest revision that the table or any peer has reported.
	highestKnown uint64
	peerAnswered bool
	confirmedAt  time.Time
	// peerChoices counts the choices of a peer to pull from, which alternate between the parent and a random member.
	peerChoices int
	// peerAhead is a peer that is known to have a later revision, or empty.
	peerAhead  identifier.Instance
	nextPullAt time.Time

	accepted, refused, reads, pushes, pulls, failures atomic.Int64
}

// New returns a distributor without a configuration.
func New(opts ...Option) *Distributor {
	d := &Distributor{
		now: time.Now, sleep: storer.Sleep,
		pollInterval: defaultPollInterval, pullInterval: defaultPullInterval, callTimeout: defaultCallTimeout,
		items:    map[string]committer.Item{},
		rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		onChange: func(*configurer.Configuration) {}, accept: newerWithoutGap,
	}
	d.members = func() []identifier.Instance { return []identifier.Instance{d.self} }
	d.remotes = func() []identifier.Instance { return nil }
	for _, o := range opts {
		o(d)
	}
	return d
}

// Current returns the configuration in force, or nil if there is none yet; the value is immutable.
func (d *Distributor) Current() *configurer.Configuration { return d.current.Load() }

// Revision returns the revision in force, or 0 if there is none yet.
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
	return d.confirmedAt
}

// Apply puts an update into force if it is newer than the revision in force and leaves no gap, and reports whether it did.
func (d *Distributor) Apply(u Update) bool {
	d.mu.Lock()
	c, ok := d.applyLocked(u)
	d.mu.Unlock()
	if ok {
		d.accepted.Add(1)
		d.onChange(c)
	}
	return ok
}

// applyLocked is Apply for a caller that holds d.mu; it returns the new configuration.
func (d *Distributor) applyLocked(u Update) (*configurer.Configuration, bool) {
	d.highestKnown = max(d.highestKnown, u.Revision)
	have := d.Revision()
	if u.Revision == have && u.ConfirmedAt.After(d.confirmedAt) {
		d.confirmedAt = u.ConfirmedAt
	}
	if !d.accept(have, u) {
		return nil, false
	}
	items := maps.Clone(d.items)
	for _, it := range u.Items {
		// An update with a base below the revision in force may contain items older than those of this process.
		if it.Revision > items[it.Key].Revision {
			items[it.Key] = it
		}
	}
	c, err := committer.DecodeItems(u.Revision, items)
	if err != nil {
		d.refused.Add(1)
		return nil, false
	}
	d.items = items
	if u.ConfirmedAt.After(d.confirmedAt) {
		d.confirmedAt = u.ConfirmedAt
	}
	d.current.Store(c)
	return c, true
}

// Since returns the items that changed after a revision; it is the reply to the method config-since.
func (d *Distributor) Since(revision uint64) Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Update{Revision: d.Revision(), Base: revision, ConfirmedAt: d.confirmedAt}
	for _, it := range d.items {
		if it.Revision > revision {
			u.Items = append(u.Items, it)
		}
	}
	sortItems(u.Items)
	return u
}

// ObserveRevision records the revision that a peer reported in a heartbeat; if the peer is ahead, the next step pulls from
// it, and snapshots below the revision are refused.
func (d *Distributor) ObserveRevision(peer identifier.Instance, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision > d.Revision() {
		d.peerAhead = peer
	}
	d.highestKnown = max(d.highestKnown, revision)
	d.peerAnswered = true
}

// Receive applies an update from a peer and, if it was newer, pushes it to the children; it reports whether it was applied.
func (d *Distributor) Receive(ctx context.Context, u Update) bool {
	base := d.Revision()
	if !d.Apply(u) {
		return false
	}
	d.pushToChildren(ctx, base)
	return true
}

// tree returns the distribution tree of the current members, which is recomputed only when they have changed.
func (d *Distributor) tree() Tree {
	members := d.members()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(members, d.treeMembers) {
		d.treeMembers, d.cachedTree = slices.Clone(members), NewTree(members)
	}
	return d.cachedTree
}

// pushToChildren pushes the items that changed after the revision base to the children of this process in the tree.
func (d *Distributor) pushToChildren(ctx context.Context, base uint64) {
	if d.push == nil {
		return
	}
	u := d.Since(base)
	for _, peer := range d.tree().Children(d.self) {
		d.pushes.Add(1)
		if err := d.push(ctx, peer, u); err != nil {
			// There is no retry: the peer pulls what it missed.
			d.failures.Add(1)
		}
	}
}

// Run polls the table while this process is a reader and always pulls from peers, until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range MaxConcurrentReads {
		wg.Go(func() { d.runLoop(ctx, MaxConcurrentReads*d.pollInterval, d.ReadStep) })
	}
	for range MaxConcurrentPulls {
		wg.Go(func() { d.runLoop(ctx, d.pollInterval, d.PullStep) })
	}
	wg.Wait()
	return nil
}

// runLoop calls step at jittered intervals until ctx ends.
func (d *Distributor) runLoop(ctx context.Context, interval time.Duration, step func(context.Context)) {
	for d.sleep(ctx, d.jitter(interval)) == nil {
		step(ctx)
	}
}

// jitter returns a random wait between 0.8 and 1.2 times the interval, so that processes do not act in lockstep.
func (d *Distributor) jitter(interval time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return interval*4/5 + time.Duration(d.rand.Int64N(int64(interval*2/5)))
}

// Counters returns the numbers of updates accepted and refused, of reads, pushes and pulls, and of failures, those of
// snapshots included.
func (d *Distributor) Counters() map[string]int64 {
	return map[string]int64{
		"config-accepted": d.accepted.Load(), "config-refused": d.refused.Load(), "config-reads": d.reads.Load(),
		"config-pushes": d.pushes.Load(), "config-pulls": d.pulls.Load(), "config-failures": d.failures.Load(),
	}
}

// State is the state dump of a distributor.
type State struct {
	Revision             uint64    `json:"revision"`
	HighestKnownRevision uint64    `json:"heard"`
	ConfirmedAt          time.Time `json:"confirmed-at"`
	Reader               bool      `json:"reader"`
}

// State returns the State of the distributor: the revision in force, when it was last confirmed, and whether this
// process is a reader.
func (d *Distributor) State() any {
	reader := d.tree().IsReader(d.self)
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{Revision: d.Revision(), HighestKnownRevision: d.highestKnown, ConfirmedAt: d.confirmedAt, Reader: reader}
}
