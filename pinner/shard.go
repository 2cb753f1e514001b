package pinner

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// Shards is the number of parts into which the sessions of a region are divided. The 82 entries of a region of the
	// target own about 3 each, so that a flush writes few rows and the loss of an entry needs few reads.
	Shards = 256
	// RowLife is the time after which a written pin is of no use: a pin in use is written again after half of the expiry.
	RowLife = defaultExpiry + defaultExpiry/2
	// readTime bounds how long a request waits for the pins of a shard that has a new owner.
	readTime = 300 * time.Millisecond
	// readRetry is the wait after a failed read, so that requests do not repeat it while the table is out.
	readRetry = time.Second
	// readPace is the number of shards read per step in the background.
	readPace = 4
	// takeStep is the time between two looks at the owners of the shards.
	takeStep = time.Second
	// secondRead is the wait until a shard is read once more, after its former owner has written what was pending.
	secondRead = 2 * flushInterval
)

// shard is what an instance knows about the written pins of one shard; mu of the Pinner guards it.
type shard struct {
	restored bool
	// reading is closed when the read in progress ends.
	reading chan struct{}
	// readAt is the earliest time of the next read; it is zero when no further read is needed.
	readAt time.Time
}

// WithRead sets the read of the pins of one shard that any instance of the region has written.
func WithRead(f func(ctx context.Context, shard int) ([]Pin, error)) Option {
	return func(p *Pinner) { p.read = f }
}

// Shard returns the shard of a session, from 0 to Shards-1.
func Shard(acc identifier.ClientAccount, s identifier.Session) int {
	return int(hash(string(acc), string(s)) % Shards)
}

// Owner returns the instance that owns a session, or an empty name without instances. When an instance leaves, only
// its own sessions move.
func Owner(instances []identifier.Instance, acc identifier.ClientAccount, s identifier.Session) identifier.Instance {
	return ownerOf(instances, Shard(acc, s))
}

// ownerOf selects the owner of a shard by rendezvous hashing.
func ownerOf(instances []identifier.Instance, n int) identifier.Instance {
	var owner identifier.Instance
	var best uint64
	for _, i := range instances {
		if h := hash(string(i), strconv.Itoa(n)); owner == "" || h > best || h == best && i < owner {
			owner, best = i, h
		}
	}
	return owner
}

// restore reads a shard unless that was done or has just failed; it waits for at most readTime. The read goes on when
// the wait ends, because the next request needs it too.
func (p *Pinner) restore(ctx context.Context, n int) {
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
	t := time.NewTimer(readTime)
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
			s.readAt = p.now().Add(readRetry)
		case s.restored:
			s.readAt = time.Time{}
		default:
			s.restored, s.readAt = true, p.now().Add(secondRead)
		}
	}()
}

// take reads some of the shards that the instance has come to own, and notes those that it has lost.
func (p *Pinner) take(ctx context.Context) {
	instances := slices.Sorted(slices.Values(p.instances()))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owned == nil || !slices.Equal(instances, p.seen) {
		p.owned, p.seen = make([]int, 0, Shards), instances
		for n := range Shards {
			if owner := ownerOf(instances, n); owner == p.self || owner == "" {
				p.owned = append(p.owned, n)
			} else if p.shards[n].reading == nil {
				p.shards[n] = shard{}
			}
		}
	}
	// A shard that was never read comes before the second read of another one.
	started := p.startDue(ctx, false, readPace)
	p.startDue(ctx, true, readPace-started)
}

// startDue starts at most a number of reads that are due and returns how many it started; the caller holds mu.
func (p *Pinner) startDue(ctx context.Context, again bool, most int) int {
	now, started := p.now(), 0
	for _, n := range p.owned {
		s := &p.shards[n]
		if started >= most || s.restored != again || s.reading != nil || again && s.readAt.IsZero() || now.Before(s.readAt) {
			continue
		}
		p.startRead(ctx, n)
		started++
	}
	return started
}
