package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/promoter"
)

// rolloutCalls counts the calls of the store for roll-outs, which it passes on.
type rolloutCalls struct {
	statusReads, statusWrites, tallyWrites, recordReads, verdictWrites atomic.Int64
}

// count returns a store whose calls are counted.
func (x *rolloutCalls) count(s RolloutStore) RolloutStore {
	return RolloutStore{
		Status: func(ctx context.Context, service identifier.Service) (promoter.RolloutStatus, int64, error) {
			x.statusReads.Add(1)
			return s.Status(ctx, service)
		},
		SetStatus: func(ctx context.Context, previous promoter.RolloutStatus, to identifier.Version, state string) error {
			x.statusWrites.Add(1)
			return s.SetStatus(ctx, previous, to, state)
		},
		PutTally: func(ctx context.Context, service identifier.Service, t promoter.Tally) (int64, error) {
			x.tallyWrites.Add(1)
			return s.PutTally(ctx, service, t)
		},
		PutTallies: func(ctx context.Context, service identifier.Service, tallies []promoter.Tally) (int64, error) {
			x.tallyWrites.Add(1)
			return s.PutTallies(ctx, service, tallies)
		},
		Records: func(ctx context.Context, service identifier.Service) (RolloutRecords, error) {
			x.recordReads.Add(1)
			return s.Records(ctx, service)
		},
		PutVerdict: func(ctx context.Context, service identifier.Service, v promoter.Verdict, old []promoter.Verdict) error {
			x.verdictWrites.Add(1)
			return s.PutVerdict(ctx, service, v, old)
		},
	}
}

// Counters returns the totals since the start.
func (x *rolloutCalls) Counters() map[string]int64 {
	return map[string]int64{
		"status-reads": x.statusReads.Load(), "status-writes": x.statusWrites.Load(), "tally-writes": x.tallyWrites.Load(),
		"record-reads": x.recordReads.Load(), "verdict-writes": x.verdictWrites.Load(),
	}
}

// paceWithin returns the pace of a table whose changes must be in effect within a time.
func (r *Runner) paceWithin(within time.Duration) func() pacer.Pace {
	return func() pacer.Pace {
		s := r.settings.Load()
		return pacer.Plan(pacer.Bounds{Within: within, Reconnect: s.ReconnectTime}, pacer.Readers{
			Entries: r.sharing.numEntries(), Tables: followedTables, ReadsPerSecond: s.StoreReads,
		})
	}
}
