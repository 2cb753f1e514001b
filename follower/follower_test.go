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

	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/storer"
)

// fakeStore is a store with a table of one row, whose value is the version that wrote it.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	// oldestChange is the first version whose change is still in the history; reads of the whole table are readLag versions old.
	oldestChange, readLag uint64
	// err is the error of every call; if hangs is set, calls for changes return only when their context ends.
	err   error
	hangs bool
	reads int
}

func (s *fakeStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
}

func (s *fakeStore) update(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) source() follower.Source[uint64] {
	return follower.Source[uint64]{
		Name: "test",
		Read: func(context.Context) ([]uint64, uint64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if s.err != nil {
				return nil, 0, s.err
			}
			return []uint64{s.version - s.readLag}, s.version - s.readLag, nil
		},
		Changes: func(ctx context.Context, after uint64, wait time.Duration) ([]uint64, uint64, error) {
			timeout := time.After(wait)
			for {
				s.mu.Lock()
				version, oldestChange, err, hangs := s.version, s.oldestChange, s.err, s.hangs
				s.mu.Unlock()
				switch {
				case hangs:
					<-ctx.Done()
					return nil, 0, ctx.Err()
				case err != nil:
					return nil, 0, err
				case after+1 < oldestChange:
					return nil, 0, follower.ErrHistoryLost
				case version > after:
					return []uint64{version}, version, nil
				}
				select {
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				case <-timeout:
					return nil, version, nil
				case <-time.After(10 * time.Millisecond):
				}
			}
		},
	}
}

// fixture runs a follower of a fakeStore and records what it applies and reports.
type fixture struct {
	fakeStore
	*follower.Follower[uint64]
	mu                  sync.Mutex
	applied             []uint64
	outages, recoveries atomic.Int64
}

// runFollower calls test in a synctest bubble while the follower runs; the store starts at version 5.
func runFollower(t *testing.T, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{}
		f.version = 5
		f.Follower = follower.New(f.source(), func(rows []uint64, _ bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applied = append(f.applied, rows...)
		}, slog.New(slog.DiscardHandler))
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
