package runner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/broadcaster"
	"github.com/siskinfront/siskinfront/buffer"
	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/quarantiner"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/throttler"
)

const (
	// renewInterval is the mean time between two writes of an entry's row, and entryLifetime the time without one after which the
	// entry counts as gone.
	renewInterval = time.Minute
	entryLifetime = 3 * time.Minute
	// sharedWait and sharedPause are the pace of the shared table, whose news also comes in datagrams. Each entry changes its row each
	// renewInterval, so that of a large fleet the table changes all the time.
	sharedWait  = 10 * time.Second
	sharedPause = time.Second
	// acquaintanceTime is how long after its start, or after another one has come, an entry reads the table with the shortest pause: without
	// the addresses of the others it neither gets nor sends datagrams.
	acquaintanceTime = 2 * time.Second
	// minShareBackoff and maxShareBackoff bound the pause after a failed write of a shared row, which doubles with each failure.
	minShareBackoff = 100 * time.Millisecond
	maxShareBackoff = 5 * time.Second
	// blockSpread is the time over which the entries that decide on the same block write it; most find it written already.
	blockSpread = time.Second
	// maxPendingBlocks bounds the blocks that wait to be written.
	maxPendingBlocks = 256
	// removeEntryTimeout bounds the removal of the entry's row when it stops.
	removeEntryTimeout = 200 * time.Millisecond
)

// SharedChange is a change of the table in which the entries keep what all of them must know: of the row of an entry if Entry is set,
// otherwise of that of a block.
type SharedChange struct {
	Entry identifier.Instance
	// Address is where the entry receives datagrams; it is invalid if its row was removed.
	Address netip.AddrPort
	Block   *quarantiner.Block
	Removed bool
	// At is the position at which the row was written, but in the era in which it was read.
	At storer.Position
}

// SharedStore holds the functions with which an entry uses the shared table.
type SharedStore struct {
	Source follower.Source[SharedChange]
	// PutEntry writes the row of an entry, and RemoveEntry removes it if it was written at a position, or in any case if that is zero.
	PutEntry    func(ctx context.Context, name identifier.Instance, address netip.AddrPort, renewal int64) error
	RemoveEntry func(ctx context.Context, name identifier.Instance, at storer.Position) error
	// PutBlock writes a block if its row was written at a position, the zero position for a row that does not exist.
	PutBlock func(ctx context.Context, b quarantiner.Block, at storer.Position) error
}

// message is what entries send each other; one of its fields is set.
type message struct {
	Fact  *quarantiner.Fact    `json:"fact,omitempty"`
	Limit *throttler.Statement `json:"limit,omitempty"`
	Ask   *throttler.Ask       `json:"ask,omitempty"`
	Grant *throttler.Grant     `json:"grant,omitempty"`
	// Cold is what an answer of an upstream said about the time that it stays cold.
	Cold *throttler.ColdReport `json:"cold,omitempty"`
	// Question is sent by an entry that starts, and Statement answers it.
	Question  *question  `json:"question,omitempty"`
	Statement *statement `json:"statement,omitempty"`
}

// entryRecord is another entry.
type entryRecord struct {
	address netip.AddrPort
	// at is the position of its row.
	at        storer.Position
	expiresAt time.Time
	// askedAt is when the first ask was sent that the entry has not answered, and silentUntil the time until which it owns no limits
	// because of that.
	askedAt, silentUntil time.Time
}

// pendingBlock is a decision that waits to be written to the store.
type pendingBlock struct {
	quarantiner.Block
	// objectsTo is the position of the row with which the decision disagrees, or nil if it is this entry's own.
	objectsTo *storer.Position
}

type storedBlock struct {
	quarantiner.Block
	at storer.Position
}

// sharing keeps this entry and the others informed about each other and about blocked parts of prompts.
type sharing struct {
	store       SharedStore
	self        identifier.Instance
	address     netip.AddrPort
	quarantine  *quarantiner.Quarantine
	throttler   *throttler.Throttler
	owner       *throttler.Owner
	broadcaster *broadcaster.Broadcaster[message]
	follower    *follower.Follower[SharedChange]
	pending     *buffer.Ring[pendingBlock]
	// rowMissing receives a value when the row of this entry is not in the store.
	rowMissing chan struct{}
	now        func() time.Time
	log        *slog.Logger
	// onQuestion and onStatement receive the questions and the statements of other entries, and onPeers is called when the table of the
	// entries was read.
	onQuestion  func(netip.AddrPort, question)
	onStatement func(netip.AddrPort, *statement)
	onPeers     func()
	// onCold receives what another entry read about the cold time of an upstream.
	onCold func(throttler.ColdReport)

	mu      sync.Mutex
	entries map[identifier.Instance]entryRecord
	blocks  map[quarantiner.Part]storedBlock
	// acquaintedAt is the time from which the entries probably know each other.
	acquaintedAt time.Time
	// settledAt is the time from which this entry asks for slots of cold upstreams and grants them.
	settledAt time.Time
	// peers holds the addresses of entries.
	peers []netip.AddrPort
	// peersKnown is set once the table was read.
	peersKnown bool
}

func newSharing(store SharedStore, self identifier.Instance, address netip.AddrPort, log *slog.Logger) *sharing {
	s := &sharing{
		store: store, self: self, address: address, log: log, now: time.Now, entries: map[identifier.Instance]entryRecord{},
		blocks: map[quarantiner.Part]storedBlock{}, owner: throttler.NewOwner(), pending: buffer.NewRing[pendingBlock](maxPendingBlocks),
		rowMissing:  make(chan struct{}, 1),
		onQuestion:  func(netip.AddrPort, question) {},
		onStatement: func(netip.AddrPort, *statement) {},
		onPeers:     func() {},
		onCold:      func(throttler.ColdReport) {},
		broadcaster: broadcaster.New[message](self, log),
	}
	s.quarantine = quarantiner.New(quarantiner.WithShare(s.sendFact), quarantiner.WithOnBlock(s.recordBlock),
		quarantiner.WithOnObjection(s.recordObjection))
	s.throttler = throttler.New(
		throttler.WithShare(func(x throttler.Statement) { s.broadcaster.Send(message{Limit: &x}) }), throttler.WithSend(s.sendAsk),
		throttler.WithNumEntries(s.numEntries), throttler.WithOnChange(s.logLimit),
		throttler.WithOnCold(s.logCold), throttler.WithPeersKnown(s.knowsPeers), throttler.WithOwner(s.coldOwner))
	s.broadcaster.Receive = s.receive
	s.follower = follower.New(store.Source, s.apply, log)
	s.follower.Pace = s.pace
	s.acquaintedAt = s.now().Add(acquaintanceTime)
	s.settledAt = s.acquaintedAt
	return s
}

// pace returns the pace of the shared table.
func (s *sharing) pace() pacer.Pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pacer.Pace{Wait: sharedWait, Pause: sharedPause}
	if s.now().Before(s.acquaintedAt) {
		p.Pause = pacer.MinPause
	}
	return p
}

// run shares until ctx ends, and then removes the row of this entry.
func (s *sharing) run(ctx context.Context) error {
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { s.renew(ctx) })
	duties.Go(func() { s.writeBlocks(ctx) })
	duties.Go(func() { _ = s.follower.Run(ctx) })
	if !s.address.IsValid() {
		<-ctx.Done()
		return nil
	}
	for ctx.Err() == nil {
		if err := s.broadcaster.Run(ctx, s.address); err != nil {
			// Without datagrams the entry still serves, and learns of blocks from the store.
			s.log.Error("datagrams of other entries cannot be received", "address", s.address, "error", err.Error())
			_ = storer.Sleep(ctx, maxShareBackoff)
		}
	}
	return nil
}

// apply applies rows of the shared table. A store that has come back from an older copy may have lost rows, whose contents hold on: those
// of entries until they expire, and those of blocks, which are written again.
func (s *sharing) apply(batch follower.Batch[SharedChange]) {
	s.mu.Lock()
	now := s.now()
	var before map[quarantiner.Part]storedBlock
	if batch.All {
		before = s.blocks
		s.blocks = map[quarantiner.Part]storedBlock{}
		if !batch.Returned {
			clear(s.entries)
		}
	}
	var blocks []quarantiner.Block
	hasOwn := !batch.All
	for _, c := range batch.Rows {
		switch {
		case c.Block != nil && c.Removed:
			delete(s.blocks, c.Block.Part)
		case c.Block != nil:
			s.blocks[c.Block.Part] = storedBlock{*c.Block, c.At}
			blocks = append(blocks, *c.Block)
		case c.Entry == s.self:
			hasOwn = c.Address.IsValid()
		case !c.Address.IsValid():
			delete(s.entries, c.Entry)
		default:
			if s.entries[c.Entry].address != c.Address {
				s.acquaintedAt = now.Add(acquaintanceTime)
			}
			s.entries[c.Entry] = entryRecord{address: c.Address, at: c.At, expiresAt: now.Add(entryLifetime)}
		}
	}
	s.peersKnown = true
	s.updatePeers()
	if !hasOwn {
		// A removal by the process before this one came late, or the store has come back without the row.
		select {
		case s.rowMissing <- struct{}{}:
		default:
		}
	}
	for part, b := range before {
		stored, ok := s.blocks[part]
		if !ok && !b.Cleared || batch.Returned && ok && saysMore(&b.Block, &stored.Block) {
			// Rows of blocks are not removed, so the store has come back without it.
			s.enqueue(pendingBlock{Block: b.Block})
		}
	}
	if batch.Returned {
		s.enqueueUnknown(before)
		blocks = slices.DeleteFunc(blocks, func(b quarantiner.Block) bool { return before[b.Part].Cleared })
	}
	s.mu.Unlock()
	for _, b := range blocks {
		s.quarantine.ApplyBlock(b)
	}
	s.onPeers()
}

// somePeers returns the addresses of at most n other entries, drawn at random, and whether the others are known.
func (s *sharing) somePeers(n int) ([]netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e.address)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))], s.peersKnown
}

func (s *sharing) updatePeers() {
	peers := make([]netip.AddrPort, 0, len(s.entries))
	for _, e := range s.entries {
		peers = append(peers, e.address)
	}
	s.peers = peers
	s.broadcaster.SetPeers(peers)
}

// numEntries returns the number of entries, this one included.
func (s *sharing) numEntries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries) + 1
}

// renew writes the row of this entry at the start and every renewInterval, and drops the entries that have not.
func (s *sharing) renew(ctx context.Context) {
	if !s.address.IsValid() {
		return
	}
	backoff := minShareBackoff
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := s.store.PutEntry(callCtx, s.self, s.address, s.now().UnixNano())
		cancel()
		wait := renewInterval*9/10 + rand.N(renewInterval/5)
		if err != nil {
			wait = backoff/2 + rand.N(backoff/2)
			backoff = min(2*backoff, maxShareBackoff)
		} else {
			backoff = minShareBackoff
			s.dropExpired(ctx)
		}
		s.awaitRenewal(ctx, wait)
	}
	removeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeEntryTimeout)
	defer cancel()
	if err := s.store.RemoveEntry(removeCtx, s.self, storer.Position{}); err != nil {
		s.log.Info("row of this entry was not removed", "error", err.Error())
	}
}

// awaitRenewal waits until the row of this entry is to be written again.
func (s *sharing) awaitRenewal(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.rowMissing:
		// The row may be missing because the last write has not arrived here yet.
		_ = storer.Sleep(ctx, rand.N(blockSpread))
	}
}

// dropExpired drops the entries whose rows have expired, and removes the rows.
func (s *sharing) dropExpired(ctx context.Context) {
	s.mu.Lock()
	now := s.now()
	expired := map[identifier.Instance]storer.Position{}
	for name, e := range s.entries {
		if !now.Before(e.expiresAt) {
			expired[name] = e.at
			delete(s.entries, name)
		}
	}
	s.updatePeers()
	s.mu.Unlock()
	for name, at := range expired {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := s.store.RemoveEntry(callCtx, name, at)
		cancel()
		s.log.Info("entry is gone", "entry", name, "removed", err == nil)
	}
}
