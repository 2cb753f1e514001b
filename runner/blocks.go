package runner

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/siskinfront/siskinfront/quarantiner"
	"github.com/siskinfront/siskinfront/storer"
)

// enqueueUnknown has the blocks in force written to the store that it neither holds nor is known to have held before: their rows may have
// been lost before this entry read them. s.mu is held.
func (s *sharing) enqueueUnknown(before map[quarantiner.Part]storedBlock) {
	for _, b := range s.quarantine.Blocks() {
		_, isStored := s.blocks[b.Part]
		_, wasStored := before[b.Part]
		if !isStored && !wasStored {
			s.enqueue(pendingBlock{Block: b})
		}
	}
}

// saysMore reports whether a block that the store held before tells more than the one that it holds now.
func saysMore(before, now *quarantiner.Block) bool {
	return before.Cleared && !now.Cleared || !now.Cleared && before.Trials > now.Trials ||
		!now.Cleared && before.Scope.Everyone && !now.Scope.Everyone
}

// recordBlock logs a block, or the end of one, and has it written to the store.
func (s *sharing) recordBlock(b quarantiner.Block) {
	message := "requests are refused"
	if b.Cleared {
		message = "requests are allowed again"
	}
	s.log.Warn(message, "part", b.Part.String(), "whole-request", b.Part.IsRequest(), "account", b.Scope.Account, "everyone", b.Scope.Everyone, "trials", b.Trials)
	s.enqueue(pendingBlock{Block: b})
}

// recordObjection has the end of another entry's block written to the store if its row is there. A row that comes later is another reason to object.
func (s *sharing) recordObjection(p quarantiner.Part) {
	s.mu.Lock()
	stored, ok := s.blocks[p]
	s.mu.Unlock()
	if !ok || stored.Cleared {
		return
	}
	s.log.Info("block of a part that was answered here is to end", "part", p.String(), "at", stored.at.String())
	s.enqueue(pendingBlock{quarantiner.Block{Part: p, Cleared: true}, &stored.at})
}

// enqueue has a block written to the store.
func (s *sharing) enqueue(b pendingBlock) {
	if err := s.pending.Offer(b); err != nil {
		s.log.Error("block is not written to the store", "part", b.Part.String(), "error", err.Error())
	}
}

// writeBlocks writes the decisions of this entry to the store until ctx ends.
func (s *sharing) writeBlocks(ctx context.Context) {
	for {
		b, err := s.pending.Take(ctx)
		if err != nil {
			return
		}
		if storer.Sleep(ctx, rand.N(blockSpread)) != nil {
			return
		}
		for backoff := minShareBackoff; s.writeBlock(ctx, b) != nil; backoff = min(2*backoff, maxShareBackoff) {
			if storer.Sleep(ctx, backoff/2+rand.N(backoff/2)) != nil {
				return
			}
		}
	}
}

// writeBlock writes a decision unless the store has it or one that says more, or it no longer holds: a block that has ended meanwhile, and an
// objection to a row that has changed since or to a part that this entry has blocked since.
func (s *sharing) writeBlock(ctx context.Context, pending pendingBlock) error {
	b := pending.Block
	s.mu.Lock()
	stored, ok := s.blocks[b.Part]
	s.mu.Unlock()
	isBlocked := s.quarantine.IsBlocked(b.Part)
	if !b.Cleared && !isBlocked || pending.objectsTo != nil && (isBlocked || stored.at != *pending.objectsTo) {
		return nil
	}
	if ok && !saysMore(&b, &stored.Block) && stored.Cleared == b.Cleared &&
		(b.Cleared || stored.Scope == b.Scope || stored.Scope.Everyone) {
		return nil
	}
	if ok && !stored.Cleared {
		b.Trials = max(b.Trials, stored.Trials)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return s.store.PutBlock(ctx, b, stored.at)
}

// claimTrial reports whether this entry may send the next request with a blocked part. Of several entries that try at the same time,
// the store admits one; without the store there are no trials.
func (s *sharing) claimTrial(ctx context.Context, b quarantiner.Block) bool {
	s.mu.Lock()
	stored, ok := s.blocks[b.Part]
	s.mu.Unlock()
	if !ok || stored.Cleared || stored.Trials != b.Trials {
		return false
	}
	next := stored.Block
	next.Trials++
	if err := s.store.PutBlock(ctx, next, stored.at); err != nil {
		if !errors.Is(err, storer.ErrConflict) {
			s.log.Warn("trial of a refused part cannot be claimed", "part", b.Part.String(), "error", err.Error())
		}
		return false
	}
	s.log.Info("trial of a refused part", "part", b.Part.String(), "trials", next.Trials)
	s.quarantine.ApplyBlock(next)
	return true
}
