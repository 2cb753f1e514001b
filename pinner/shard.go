package pinner

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// Shards is the number of parts into which the sessions of a region are divided. At the target size a region has 82 entries
	// that own about 3 shards each, so that a flush writes few rows and the loss of an entry requires few reads.
	Shards = 256
	// RowRetention is the time after which a written pin is no longer needed, because a pin in use is written again after half of the
	// expiry.
	RowRetention = defaultExpiry + defaultExpiry/2
	// readTimeout bounds how long a request waits for the pins of a shard that has a new owner.
	readTimeout = 300 * time.Millisecond
	// readRetryDelay is the wait after a failed read, so that requests do not repeat the read during an outage of the table.
	readRetryDelay = time.Second
	// shardReadsPerInterval is the number of shards that are read in the background per interval.
	shardReadsPerInterval = 4
	// shardReadInterval is the time between two checks of which shards this instance owns.
	shardReadInterval = time.Second
	// secondReadDelay is the time after which a shard is read once more, to find the pins that its former owner still had pending
	// at the first read.
	secondReadDelay = 2 * flushInterval
)

// shard is the state of one shard in this instance; Pinner.mu guards it.
type shard struct {
	restored bool
	// reading is closed when the read in progress ends, and nil if there is none.
	reading chan struct{}
	// readAt is the earliest time of the next read; it is zero when no further read is needed.
	readAt time.Time
}

// WithRead sets the read of the pins of one shard, which must return those of all instances of the region.
func WithRead(f func(ctx context.Context, shard int) ([]Pin, error)) Option {
	return func(p *Pinner) { p.read = f }
}

// Shard returns the shard of a session, from 0 to Shards-1.
func Shard(acc identifier.ClientAccount, s identifier.Session) int {
	return int(hash(string(acc), string(s)) % Shards)
}

// Owner returns the instance that owns a session, or an empty name if there are no instances. When an instance leaves, only its
// own sessions move.
func Owner(instances []identifier.Instance, acc identifier.ClientAccount, s identifier.Session) identifier.Instance {
	return shardOwner(instances, Shard(acc, s))
}

// shardOwner selects the owner of a shard by rendezvous hashing.
func shardOwner(instances []identifier.Instance, n int) identifier.Instance {
	var owner identifier.Instance
	var best uint64
	for _, i := range instances {
		if h := hash(string(i), strconv.Itoa(n)); owner == "" || h > best || h == best && i < owner {
			owner, best = i, h
		}
	}
	return owner
}

// ensureRestored reads a shard unless it has been read or a read has just failed, and waits for the read for at most readTimeout.
// The read continues after the wait, because the next request needs it too.
func (p *Pinner) ensureRestored(ctx context.Context, n int) {
	p.mu.Lock()
	s := &p.shards[n]
	if s.restored || s.reading == nil && p.now().Before(s.readAt) {
		p.mu.Unlock()
		return
	}
	if s.reading == nil {
		p.startRead(ctx, n)
	}
	done := s.reading
	p.mu.Unlock()
	t := time.NewTimer(readTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// startRead reads a shard in the background; the caller holds mu and no read of the shard is in progress.
func (p *Pinner) startRead(ctx context.Context, n int) {
	done := make(chan struct{})
	p.shards[n].reading = done
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushInterval)
		defer cancel()
		pins, err := p.read(ctx, n)
		if err == nil {
			p.Restore(pins)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		s := &p.shards[n]
		s.reading = nil
		switch {
		case err != nil:
			p.failedReads.Add(1)
			s.readAt = p.now().Add(readRetryDelay)
		case s.restored:
			s.readAt = time.Time{}
		default:
			s.restored, s.readAt = true, p.now().Add(secondReadDelay)
		}
	}()
}

// readOwnedShards starts reads of some of the shards that this instance now owns, and resets the shards that it no longer owns.
func (p *Pinner) readOwnedShards(ctx context.Context) {
	instances := slices.Sorted(slices.Values(p.instances()))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ownedShards == nil || !slices.Equal(instances, p.knownInstances) {
		p.ownedShards, p.knownInstances = make([]int, 0, Shards), instances
		for n := range Shards {
			if owner := shardOwner(instances, n); owner == p.self || owner == "" {
				p.ownedShards = append(p.ownedShards, n)
			} else if p.shards[n].reading == nil {
				p.shards[n] = shard{}
			}
		}
	}
	// A shard that was never read takes precedence over the second read of another one.
	started := p.startDueReads(ctx, false, shardReadsPerInterval)
	p.startDueReads(ctx, true, shardReadsPerInterval-started)
}

// startDueReads starts at most limit of the reads that are due, either first or second ones, and returns how many it started; the
// caller holds mu.
func (p *Pinner) startDueReads(ctx context.Context, secondReads bool, limit int) int {
	now, started := p.now(), 0
	for _, n := range p.ownedShards {
		s := &p.shards[n]
		if started >= limit || s.restored != secondReads || s.reading != nil || secondReads && s.readAt.IsZero() ||
			now.Before(s.readAt) {
			continue
		}
		p.startRead(ctx, n)
		started++
	}
	return started
}
