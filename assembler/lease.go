package assembler

import (
	"context"
	"time"

	"github.com/siskinfront/siskinfront/leaser"
)

// leaseRetry is the wait after a duty under a lease has ended or the lease could not be asked for.
const leaseRetry = time.Second

// keepLease calls step at an interval while this process holds a lease, and waits for the lease otherwise.
func keepLease(
	ctx context.Context, l *leaser.Leaser, name string, interval time.Duration, step func(context.Context),
) error {
	for ctx.Err() == nil {
		// Any end but that of ctx means that the lease was lost or the table is out; both pass.
		_ = l.Keep(ctx, name, func(ctx context.Context, _ *leaser.Lease) error {
			step(ctx)
			return every(ctx, interval, step)
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
