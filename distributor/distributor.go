package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// 30 readers of 10 data centres read the head 60 times a second at this interval.
	defaultPoll = 500 * time.Millisecond
	// ReadLoops is the number of reads that a reader may have under way, so that one lost reply does not stop it.
	ReadLoops = 2
	// PullLoops is the number of pulls that a process may have under way, so that lost replies, each waited for until
	// the call time ends, do not stop a process that knows it is behind.
	PullLoops = 3
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
	items   map[string]Item
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

// Option changes a distributor at construction.
type Option func(*Distributor)

// WithSelf names the own instance; it is required.
func WithSelf(self identifier.Instance) Option {
	return func(d *Distributor) { d.self = self }
}

// WithTable sets the table that readers read.
func WithTable(t *storer.Table) Option {
	return func(d *Distributor) { d.table = t }
}

// WithObjects sets the store of the snapshot.
func WithObjects(o *storer.Objects) Option {
	return func(d *Distributor) { d.objects = o }
}

// WithMembers sets the source of the live instances of the own data centre, self included.
func WithMembers(members func() []identifier.Instance) Option {
	return func(d *Distributor) { d.members = members }
}

// WithRemotes sets the source of live instances of other data centres, from which readers pull.
func WithRemotes(remotes func() []identifier.Instance) Option {
	return func(d *Distributor) { d.remotes = remotes }
}

// WithPush sets how an update is handed to the connection of a peer, the method config-changes; it must not wait for
// the reply, because one silent peer would then delay the others.
func WithPush(push func(context.Context, identifier.Instance, Update) error) Option {
	return func(d *Distributor) { d.push = push }
}

// WithPull sets how a peer is asked for what it has beyond a revision, the method config-since.
func WithPull(pull func(context.Context, identifier.Instance, uint64) (Update, error)) Option {
	return func(d *Distributor) { d.pull = pull }
}

// WithOnChange sets what is told of each configuration that comes into force; it must not block.
func WithOnChange(f func(*configurer.Configuration)) Option {
	return func(d *Distributor) { d.onChange = f }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(d *Distributor) { d.now = now }
}

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option {
	return func(d *Distributor) { d.rand = r }
}

// WithSleep replaces the wait between steps.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(d *Distributor) { d.sleep = sleep }
}

// WithPaces sets the times between two reads of a reader and between two pulls of any process.
func WithPaces(poll, pull time.Duration) Option {
	return func(d *Distributor) { d.poll, d.pace = poll, pull }
}

// WithCallTime sets the time that one exchange with a peer may take.
func WithCallTime(limit time.Duration) Option {
	return func(d *Distributor) { d.callTime = limit }
}

// WithAccept replaces the rule that decides which update may replace the revision in force.
func WithAccept(accept func(have uint64, u Update) bool) Option {
	return func(d *Distributor) { d.accept = accept }
}

// forwardOnly accepts what is newer and leaves no gap.
func forwardOnly(have uint64, u Update) bool {
	return u.Revision > have && u.Base <= have
}

// New returns a distributor without a configuration.
func New(opts ...Option) *Distributor {
	d := &Distributor{
		now: time.Now, sleep: storer.Sleep, poll: defaultPoll, pace: defaultPull, callTime: defaultCallTime, items: map[string]Item{},
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

// Offer puts an update into force if it leads forward without a gap, and reports whether it did.
func (d *Distributor) Offer(u Update) bool {
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
	c, err := Join(u.Revision, items)
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

// Hear notes that a peer has a revision, as heartbeats tell; the next step pulls from a peer that is ahead, and a
// snapshot below the revision is refused.
func (d *Distributor) Hear(peer identifier.Instance, revision uint64) {
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
	if !d.Offer(u) {
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

// Read brings this process to the head of the table, as its readers do, and passes on what is new.
func (d *Distributor) Read(ctx context.Context) error {
	at := d.now()
	d.reads.Add(1)
	head, _, err := readHead(ctx, d.table)
	if err != nil {
		return err
	}
	before := d.Revision()
	if head.Revision <= before {
		d.Offer(Update{Revision: head.Revision, Base: head.Revision, ConfirmedAt: at})
		return nil
	}
	u, err := d.fetch(ctx, head, before)
	if err != nil {
		return err
	}
	u.ConfirmedAt = at
	if d.Offer(u) {
		d.spread(ctx, before)
		d.saveSnapshot(ctx)
	}
	return nil
}

// fetch reads what leads from a revision to the head, with as few calls as that takes.
func (d *Distributor) fetch(ctx context.Context, head Head, before uint64) (Update, error) {
	u := Update{Revision: head.Revision, Base: before}
	switch {
	case head.Revision == before+1:
		u.Items = head.Items
	case before > 0 && head.Revision-before <= maxCatchUp:
		for r := before + 1; r < head.Revision; r++ {
			c, err := readChange(ctx, d.table, r)
			if err != nil {
				return Update{}, err
			}
			u.Items = append(u.Items, c.Items...)
		}
		u.Items = append(u.Items, head.Items...)
	default:
		items, whole, _, err := readAllSince(ctx, d.table, head)
		if err != nil {
			return Update{}, err
		}
		u = Update{Revision: whole.Revision}
		for _, it := range items {
			u.Items = append(u.Items, it)
		}
	}
	return u, nil
}

// saveSnapshot is best effort: a reader of a later revision writes the next one.
func (d *Distributor) saveSnapshot(ctx context.Context) {
	if d.objects == nil {
		return
	}
	b, err := json.Marshal(d.Since(0))
	if err == nil {
		err = d.objects.Put(ctx, snapshotKey, b)
	}
	if err != nil {
		d.failures.Add(1)
	}
}

// ErrStaleSnapshot is returned by LoadSnapshot for a snapshot below what is known to exist, or while no peer has
// said what it has although there are peers.
var ErrStaleSnapshot = errors.New("distributor: snapshot may be outdated")

// LoadSnapshot puts the snapshot of the object store into force, for a cold start with the table out.
func (d *Distributor) LoadSnapshot(ctx context.Context) error {
	b, err := d.objects.Get(ctx, snapshotKey)
	if err != nil {
		return fmt.Errorf("distributor: read snapshot: %w", err)
	}
	var u Update
	if err := json.Unmarshal(b, &u); err != nil {
		return fmt.Errorf("distributor: decode snapshot: %w", err)
	}
	d.mu.Lock()
	alone := len(d.members()) <= 1
	stale := u.Revision < d.heard || !d.answered && !alone
	heard := d.heard
	d.mu.Unlock()
	if stale {
		return fmt.Errorf("%w: revision %d, heard of %d", ErrStaleSnapshot, u.Revision, heard)
	}
	d.Offer(u)
	return nil
}

// Pull asks one peer for what it has beyond the own revision: one that is known to be ahead, for a reader an instance
// of another data centre, else in turn the parent and a random member.
func (d *Distributor) Pull(ctx context.Context) error {
	peer := d.nextPeer()
	if peer == "" || d.pull == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.callTime)
	defer cancel()
	d.pulls.Add(1)
	u, err := d.pull(ctx, peer, d.Revision())
	if err != nil {
		return fmt.Errorf("distributor: pull from %s: %w", peer, err)
	}
	d.mu.Lock()
	d.answered = true
	d.mu.Unlock()
	d.Receive(ctx, u)
	return nil
}

func (d *Distributor) nextPeer() identifier.Instance {
	members := d.members()
	tree := d.tree()
	parent := tree.Parent(d.self)
	remotes := []identifier.Instance(nil)
	if tree.Reads(d.self) {
		remotes = d.remotes()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer := d.ahead; peer != "" {
		// A peer that does not answer is not asked again until it is heard again.
		d.ahead = ""
		return peer
	}
	d.turn++
	if len(remotes) > 0 {
		return remotes[d.rand.IntN(len(remotes))]
	}
	if d.turn%2 == 1 || len(members) < 2 {
		return parent
	}
	peer := members[d.rand.IntN(len(members))]
	if peer == d.self {
		return parent
	}
	return peer
}

// Run reads as a reader while this process is one and pulls from peers always, until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range ReadLoops {
		wg.Go(func() { d.repeat(ctx, ReadLoops*d.poll, d.ReadStep) })
	}
	for range PullLoops {
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

// ReadStep is one step of a reader: it reads the table and, on a cold start with the table out, the snapshot.
func (d *Distributor) ReadStep(ctx context.Context) {
	if d.table == nil || !d.mayRead() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*d.callTime)
	defer cancel()
	err := d.Read(ctx)
	if err != nil {
		d.failures.Add(1)
	}
	if err != nil && d.Current() == nil && d.objects != nil {
		if err := d.LoadSnapshot(ctx); err != nil {
			d.failures.Add(1)
		}
	}
}

// mayRead reports whether this process is a reader, or is drawn to stand in because no reader seems to work: about
// Readers processes of a data centre read at each step, however many are stale.
func (d *Distributor) mayRead() bool {
	members := d.members()
	if d.tree().Reads(d.self) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Sub(d.confirmed) > staleAfter && d.rand.IntN(max(1, len(members))*standInSteps) < Readers
}

// PullStep is one step of any process: it asks one peer if that is due, or if a peer is known to be ahead.
func (d *Distributor) PullStep(ctx context.Context) {
	d.mu.Lock()
	now := d.now()
	due := d.ahead != "" || !now.Before(d.nextPull)
	if due {
		d.nextPull = now.Add(d.pace)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	if err := d.Pull(ctx); err != nil {
		d.failures.Add(1)
		d.mu.Lock()
		defer d.mu.Unlock()
		// Another peer is asked at the next step.
		d.nextPull = d.now()
	}
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
	Revision    uint64    `json:"revision"`
	Heard       uint64    `json:"heard"`
	ConfirmedAt time.Time `json:"confirmed-at"`
	Reader      bool      `json:"reader"`
}

// State returns the revision in force and how fresh it is.
func (d *Distributor) State() any {
	reader := d.tree().Reads(d.self)
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{Revision: d.Revision(), Heard: d.heard, ConfirmedAt: d.confirmed, Reader: reader}
}
