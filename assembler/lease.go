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
	// leaseRetry is the wait after a duty under a lease has ended or the lease could not be asked for.
	leaseRetry = time.Second
	// leaseCandidates is the number of entries per data centre that ask for a lease. If all 330 entries of the target
	// did, each lease would take 66 reads/s of the table.
	leaseCandidates = 3
	// candidacyCheck is how often an entry that is no candidate looks whether it has become one.
	candidacyCheck = 2 * time.Second
)

// isCandidate reports whether this entry is among those of its data centre that ask for a lease.
func (e *Entry) isCandidate(lease string) bool {
	own := leaseWeight(lease, e.settings.Instance)
	ahead := 0
	for _, m := range e.detector.Members() {
		if m.Role == detector.RoleEntry && m.DataCentre == e.settings.DataCentre && m.State != detector.Leaving &&
			leaseWeight(lease, m.Instance) < own {
			ahead++
		}
	}
	return ahead < leaseCandidates
}

func leaseWeight(lease string, name identifier.Instance) uint64 {
	return xxhash.Sum64String(lease + "\x00" + string(name))
}

// keepLease calls step at an interval while this entry holds a lease, and waits for the lease while it is a candidate.
func (e *Entry) keepLease(
	ctx context.Context, name string, interval time.Duration, step func(context.Context, *leaser.Lease),
) error {
	for ctx.Err() == nil {
		if !e.isCandidate(name) {
			// The end of ctx ends the loop.
			_ = pause(ctx, candidacyCheck)
			continue
		}
		// Any end but that of ctx means that the lease was lost or the table is out; both pass.
		_ = e.leaser.RunWithLease(ctx, name, func(ctx context.Context, l *leaser.Lease) error {
			step(ctx, l)
			return every(ctx, interval, func(ctx context.Context) { step(ctx, l) })
		})
		if err := pause(ctx, leaseRetry); err != nil {
			return nil //nolint:nilerr // the end of ctx is the regular end
		}
	}
	return nil
}

// every calls step at an interval until ctx ends.
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
