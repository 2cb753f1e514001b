package assembler

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
)

const (
	// leaseRetryDelay is the wait before the next attempt to acquire a lease after it was lost or could not be acquired.
	leaseRetryDelay = time.Second
	// leaseCandidates is the number of entries per data centre that try to acquire a lease. If all entries of a deployment
	// of 330 did, each lease would cost the table 66 reads/s.
	leaseCandidates = 3
	// candidacyCheckInterval is the time after which an entry that is no candidate checks again whether it has become one.
	candidacyCheckInterval = 2 * time.Second
)

// isLeaseCandidate reports whether this entry is one of the entries of its data centre that may acquire a lease: those with
// the lowest hashes.
func (e *Entry) isLeaseCandidate(lease string) bool {
	ownHash := leaseHash(lease, e.settings.Instance)
	lowerHashes := 0
	for _, m := range e.detector.Members() {
		if m.Role == detector.RoleEntry && m.DataCentre == e.settings.DataCentre && m.State != detector.Leaving &&
			leaseHash(lease, m.Instance) < ownHash {
			lowerHashes++
		}
	}
	return lowerHashes < leaseCandidates
}

func leaseHash(lease string, name identifier.Instance) uint64 {
	return xxhash.Sum64String(lease + "\x00" + string(name))
}

// runWithLease tries to acquire a lease while this entry is a candidate for it, and calls step at an interval while it holds it.
func (e *Entry) runWithLease(
	ctx context.Context, name string, interval time.Duration, step func(context.Context, *leaser.Lease),
) error {
	for ctx.Err() == nil {
		if !e.isLeaseCandidate(name) {
			// The loop condition handles the end of ctx.
			_ = pause(ctx, candidacyCheckInterval)
			continue
		}
		// An error means that ctx has ended, the lease was lost or the table is unavailable. The loop retries the last two.
		_ = e.leaser.RunWithLease(ctx, name, func(ctx context.Context, l *leaser.Lease) error {
			step(ctx, l)
			return every(ctx, interval, func(ctx context.Context) { step(ctx, l) })
		})
		if err := pause(ctx, leaseRetryDelay); err != nil {
			return nil //nolint:nilerr // the end of ctx is the regular end
		}
	}
	return nil
}

// every calls step at an interval until ctx ends. The first call follows after one interval.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			step(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
