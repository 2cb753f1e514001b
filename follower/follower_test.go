package follower_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/storer"
)

// fixture runs a follower of a fakeStore and records what it applies and reports.
type fixture struct {
	fakeStore
	*follower.Follower[uint64]
	mu                  sync.Mutex
	applied             []uint64
	batches             []follower.Batch[uint64]
	outages, recoveries atomic.Int64
}

// runFollower calls test in a synctest bubble while the follower runs; the store starts at version 5.
func runFollower(t *testing.T, test func(*fixture)) {
	runFollowerAt(t, pacer.Pace{Wait: time.Second, Pause: 200 * time.Millisecond}, test)
}

// runFollowerAt is runFollower at a pace.
func runFollowerAt(t *testing.T, pace pacer.Pace, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{}
		f.version = 5
		f.Follower = follower.New(f.source(), func(b follower.Batch[uint64]) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applied = append(f.applied, b.Rows...)
			f.batches = append(f.batches, b)
		}, slog.New(slog.DiscardHandler))
		f.Pace = func() pacer.Pace { return pace }
		f.OnOutage = func() { f.outages.Add(1) }
		f.OnRecovery = func() { f.recoveries.Add(1) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		test(f)
		cancel()
		must.NoError(t, <-done)
	})
}

func (f *fixture) lastApplied() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.applied) == 0 {
		return 0
	}
	return f.applied[len(f.applied)-1]
}

// Guards against a change that is not applied within two seconds, also after the connection has delivered nothing for a while.
func TestChangesArrive(t *testing.T) {
	runFollower(t, func(f *fixture) {
		time.Sleep(100 * time.Millisecond)
		must.EqOp(t, 5, f.lastApplied())
		f.write()
		time.Sleep(50 * time.Millisecond)
		must.EqOp(t, 6, f.lastApplied())
		f.update(func(s *fakeStore) { s.hangs = true })
		time.Sleep(2 * time.Second)
		f.update(func(s *fakeStore) { s.hangs = false })
		f.write()
		time.Sleep(2 * time.Second)
		must.EqOp(t, 7, f.lastApplied())
	})
}

// Guards against changes that are missed when the store drops its history, and against reads of the whole table in a tight loop.
func TestHistoryLost(t *testing.T) {
	runFollower(t, func(f *fixture) {
		time.Sleep(100 * time.Millisecond)
		f.update(func(s *fakeStore) { s.version, s.oldestChange = 20, 18 })
		time.Sleep(time.Second)
		must.EqOp(t, 20, f.lastApplied())
		f.update(func(s *fakeStore) { must.Between(t, 2, s.reads, 4) })
	})
}

// Guards against a copy that goes back to an older state when a read of the whole table returns an old version.
func TestStaleRead(t *testing.T) {
	runFollower(t, func(f *fixture) {
		time.Sleep(100 * time.Millisecond)
		f.update(func(s *fakeStore) { s.version, s.oldestChange, s.readLag = 20, 21, 17 })
		time.Sleep(time.Second)
		must.EqOp(t, 5, f.lastApplied())
		f.update(func(s *fakeStore) { s.readLag = 0 })
		time.Sleep(time.Second)
		must.EqOp(t, 20, f.lastApplied())
	})
}

// Guards against an outage that is reported more than once or not at all, and against calls without a pause during an outage.
func TestOutage(t *testing.T) {
	runFollower(t, func(f *fixture) {
		time.Sleep(100 * time.Millisecond)
		f.update(func(s *fakeStore) { s.err = errors.New("out") })
		time.Sleep(10 * time.Second)
		must.EqOp(t, 1, f.outages.Load())
		must.Between(t, 15, f.Counters()["failures"], 60)
		f.update(func(s *fakeStore) { s.err = nil })
		f.write()
		time.Sleep(time.Second)
		must.EqOp(t, 1, f.recoveries.Load())
		must.EqOp(t, 6, f.lastApplied())
	})
}

// Guards against one call for each of many changes, with which 300 entries that follow 3,000 upstreams exceed the store's rate
// limit.
func TestChangesAreCoalesced(t *testing.T) {
	runFollower(t, func(f *fixture) {
		time.Sleep(100 * time.Millisecond)
		for range 200 {
			f.write()
			time.Sleep(10 * time.Millisecond)
		}
		must.LessEq(t, 15, f.Counters()["calls"])
		time.Sleep(300 * time.Millisecond)
		must.EqOp(t, 205, f.lastApplied())
	})
}

// Guards against calls that grow with the number of changes beyond one in each pause, and against a wait that the pause before it does
// not shorten, so that a change behind a silent connection is late.
func TestPaceIsKept(t *testing.T) {
	for name, x := range map[string]struct {
		pace        pacer.Pace
		most, least int64
	}{
		"short": {pacer.Pace{Wait: time.Second, Pause: 500 * time.Millisecond}, 120, 100},
		"long":  {pacer.Pace{Wait: 3 * time.Second, Pause: 1500 * time.Millisecond}, 40, 35},
	} {
		t.Run(name, func(t *testing.T) {
			runFollowerAt(t, x.pace, func(f *fixture) {
				// The store holds a call as the changes begin.
				time.Sleep(2500 * time.Millisecond)
				before := f.Counters()["calls"]
				for range 1200 {
					f.write()
					time.Sleep(50 * time.Millisecond)
				}
				must.Between(t, x.least, f.Counters()["calls"]-before, x.most)

				time.Sleep(2 * x.pace.Wait)
				f.write()
				time.Sleep(x.pace.Pause + 20*time.Millisecond)
				f.update(func(s *fakeStore) { s.hangs = true })
				time.Sleep(x.pace.Wait - x.pace.Pause + pacer.ReplyMargin)
				f.update(func(s *fakeStore) { s.hangs = false })
				f.write()
				var version uint64
				f.update(func(s *fakeStore) { version = s.version })
				time.Sleep(pacer.RepeatTime)
				must.EqOp(t, version, f.lastApplied())
			})
		})
	}
}

// Guards against an outage that is reported although the store refuses calls because of its rate limit only for a short time,
// and against one that is not reported although the store refuses every call for longer.
func TestRateLimited(t *testing.T) {
	runFollower(t, func(f *fixture) {
		time.Sleep(100 * time.Millisecond)
		f.update(func(s *fakeStore) { s.err = storer.ErrRateLimited })
		time.Sleep(500 * time.Millisecond)
		f.update(func(s *fakeStore) { s.err = nil })
		time.Sleep(3 * time.Second)
		must.EqOp(t, 0, f.outages.Load())
		f.update(func(s *fakeStore) { s.err = storer.ErrRateLimited })
		time.Sleep(5 * time.Second)
		must.EqOp(t, 1, f.outages.Load())
	})
}

// lastBatch returns the last batch that was applied.
func (f *fixture) lastBatch() follower.Batch[uint64] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.batches[len(f.batches)-1]
}

// Guards against a lower version that counts as old after the store has come back from an older copy (issue 20), and against changes
// after the last version of the era before that are taken for all that differs.
func TestStoreReturns(t *testing.T) {
	for name, version := range map[string]uint64{"lower version": 3, "higher version": 9} {
		t.Run(name, func(t *testing.T) {
			runFollower(t, func(f *fixture) {
				time.Sleep(100 * time.Millisecond)
				must.False(t, f.lastBatch().Returned)
				must.EqOp(t, 0, f.lastBatch().CopyEnd)
				f.update(func(s *fakeStore) { s.era, s.version = 1, version })
				time.Sleep(500 * time.Millisecond)
				b := f.lastBatch()
				must.True(t, b.All)
				must.True(t, b.Returned)
				must.EqOp(t, min(version, 5), b.CopyEnd)
				must.EqOp(t, version, f.lastApplied())
				must.EqOp(t, storer.Position{Era: 1, Version: version}, f.Position())
				f.write()
				time.Sleep(500 * time.Millisecond)
				must.EqOp(t, version+1, f.lastApplied())
				must.False(t, f.lastBatch().Returned)
				must.EqOp(t, min(version, 5), f.lastBatch().CopyEnd)
				must.EqOp(t, 1, f.Counters()["returns"])
				must.EqOp(t, 0, f.outages.Load())
			})
		})
	}
}

// Guards against a reply of an earlier era that is applied after one of a later era.
func TestReplyOfEarlierEra(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.update(func(s *fakeStore) { s.era, s.version = 2, 5 })
		time.Sleep(time.Second)
		f.update(func(s *fakeStore) { s.era, s.version = 1, 90 })
		time.Sleep(2 * time.Second)
		must.EqOp(t, 5, f.lastApplied())
		f.update(func(s *fakeStore) { s.err = storer.ErrEarlierEra })
		time.Sleep(time.Second)
		must.Positive(t, f.Counters()["stale-replies"])
		f.update(func(s *fakeStore) { s.era, s.version, s.err = 3, 4, nil })
		time.Sleep(time.Second)
		must.EqOp(t, 4, f.lastApplied())
	})
}

// Guards against a position that goes back, and against a last batch that is not the state of the store, whatever happens in which order.
func TestPositionOnlyGrows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 12).Draw(rt, "steps")
		runFollower(t, func(f *fixture) {
			last := storer.Position{}
			for _, step := range steps {
				f.update(func(s *fakeStore) {
					switch step {
					case 0:
						s.version++
					case 1:
						s.era, s.version = s.era+1, s.version-min(s.version, 3)
					case 2:
						s.err = errors.New("out")
					case 3:
						s.err = nil
					case 4:
						s.oldestChange = s.version + 1
					}
				})
				time.Sleep(time.Duration(step) * 150 * time.Millisecond)
				must.False(rt, f.Position().Before(last))
				last = f.Position()
			}
			var version uint64
			f.update(func(s *fakeStore) { s.err, version = nil, s.version })
			time.Sleep(3 * time.Second)
			must.EqOp(rt, version, f.lastApplied())
		})
	})
}

// Guards against a copy that is said to be current before the reply which shows that is applied: an order that was written again in time would
// end for a moment.
func TestConfirmedAfterApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{era: 1, version: 1}
		var f *follower.Follower[uint64]
		var confirmed []time.Time
		f = follower.New(s.source(), func(follower.Batch[uint64]) { confirmed = append(confirmed, f.ConfirmedAt()) }, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		synctest.Wait()
		first := f.ConfirmedAt()
		must.False(t, first.IsZero())
		time.Sleep(100 * time.Millisecond)
		s.write()
		time.Sleep(2 * time.Second)
		cancel()
		must.NoError(t, <-done)
		must.Eq(t, []time.Time{{}, first}, confirmed[:2])
	})
}

// Guards against a copy that another entry's claim confirms between the reply that it names and the end of Apply.
func TestClaimDuringApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{era: 1, version: 1}
		var f *follower.Follower[uint64]
		table := confirmer.New(1, confirmer.WithPace(func() pacer.Pace { return pacer.Pace{Wait: 2 * time.Second, Pause: 200 * time.Millisecond} }))
		var confirmed []time.Time
		f = follower.New(s.source(), func(b follower.Batch[uint64]) {
			time.Sleep(50 * time.Millisecond)
			table.Receive(confirmer.Claim{Table: 1, Era: b.At.Era, Lowest: b.At.Version, Highest: b.At.Version}, time.Now())
			confirmed = append(confirmed, f.ConfirmedAt())
		}, slog.New(slog.DiscardHandler))
		f.Confirmer = table
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		s.write()
		time.Sleep(time.Second)
		cancel()
		must.NoError(t, <-done)
		must.SliceLen(t, 2, confirmed)
		must.True(t, confirmed[0].IsZero())
		must.False(t, confirmed[1].After(began))
	})
}
