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

// store is a table whose rows are the versions that wrote them.
type store struct {
	mu      sync.Mutex
	version uint64
	// oldest is the first version whose changes are still known, behind how far reads lag.
	oldest, behind uint64
	err            error
	hang           bool
	reads          int
}

func (s *store) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *store) source() follower.Source[uint64] {
	return follower.Source[uint64]{
		Name: "test",
		Read: func(context.Context) ([]uint64, uint64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if s.err != nil {
				return nil, 0, s.err
			}
			return []uint64{s.version - s.behind}, s.version - s.behind, nil
		},
		Changes: func(ctx context.Context, after uint64, wait time.Duration) ([]uint64, uint64, error) {
			end := time.After(wait)
			for {
				s.mu.Lock()
				version, oldest, err, hang := s.version, s.oldest, s.err, s.hang
				s.mu.Unlock()
				switch {
				case hang:
					<-ctx.Done()
					return nil, 0, ctx.Err()
				case err != nil:
					return nil, 0, err
				case after+1 < oldest:
					return nil, 0, follower.ErrHistoryLost
				case version > after:
					return []uint64{version}, version, nil
				}
				select {
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				case <-end:
					return nil, version, nil
				case <-time.After(10 * time.Millisecond):
				}
			}
		},
	}
}

type bed struct {
	store
	*follower.Follower[uint64]
	mu             sync.Mutex
	seen           []uint64
	lost, regained atomic.Int64
}

func run(t *testing.T, f func(*bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{}
		b.version = 5
		b.Follower = follower.New(b.source(), func(rows []uint64, _ bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.seen = append(b.seen, rows...)
		}, slog.New(slog.DiscardHandler))
		b.OnOutage = func() { b.lost.Add(1) }
		b.OnRecovery = func() { b.regained.Add(1) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- b.Run(ctx) }()
		f(b)
		cancel()
		must.NoError(t, <-done)
	})
}

func (b *bed) last() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.seen) == 0 {
		return 0
	}
	return b.seen[len(b.seen)-1]
}

// Guards against a change that is not in force within two seconds, also while the connection has gone silent.
func TestChangesArrive(t *testing.T) {
	run(t, func(b *bed) {
		time.Sleep(100 * time.Millisecond)
		must.EqOp(t, 5, b.last())
		b.write()
		time.Sleep(50 * time.Millisecond)
		must.EqOp(t, 6, b.last())
		b.set(func(s *store) { s.hang = true })
		time.Sleep(2 * time.Second)
		b.set(func(s *store) { s.hang = false })
		b.write()
		time.Sleep(2 * time.Second)
		must.EqOp(t, 7, b.last())
	})
}

// Guards against changes that are missed when the store drops its history, and against reading all in a tight loop.
func TestHistoryLost(t *testing.T) {
	run(t, func(b *bed) {
		time.Sleep(100 * time.Millisecond)
		b.set(func(s *store) { s.version, s.oldest = 20, 18 })
		time.Sleep(time.Second)
		must.EqOp(t, 20, b.last())
		b.set(func(s *store) { must.Between(t, 2, s.reads, 4) })
	})
}

// Guards against a table that goes back to an older state when a read lags behind.
func TestStaleRead(t *testing.T) {
	run(t, func(b *bed) {
		time.Sleep(100 * time.Millisecond)
		b.set(func(s *store) { s.version, s.oldest, s.behind = 20, 21, 17 })
		time.Sleep(time.Second)
		must.EqOp(t, 5, b.last())
		b.set(func(s *store) { s.behind = 0 })
		time.Sleep(time.Second)
		must.EqOp(t, 20, b.last())
	})
}

// Guards against an outage that is reported more than once or not at all, and against a store that is asked without pause.
func TestOutage(t *testing.T) {
	run(t, func(b *bed) {
		time.Sleep(100 * time.Millisecond)
		b.set(func(s *store) { s.err = errors.New("out") })
		time.Sleep(10 * time.Second)
		must.EqOp(t, 1, b.lost.Load())
		must.Between(t, 15, b.Counters()["failures"], 60)
		b.set(func(s *store) { s.err = nil })
		b.write()
		time.Sleep(time.Second)
		must.EqOp(t, 1, b.regained.Load())
		must.EqOp(t, 6, b.last())
	})
}

// Guards against one call for each of many changes: 300 entries that follow 3,000 upstreams passed the rate of the store.
func TestChangesGather(t *testing.T) {
	run(t, func(b *bed) {
		time.Sleep(100 * time.Millisecond)
		for range 200 {
			b.write()
			time.Sleep(10 * time.Millisecond)
		}
		must.LessEq(t, 15, b.Counters()["calls"])
		time.Sleep(300 * time.Millisecond)
		must.EqOp(t, 205, b.last())
	})
}

// Guards against a store that is taken for lost because it refuses some calls beyond its rate, and one that refuses all of
// them and is not.
func TestRateLimited(t *testing.T) {
	run(t, func(b *bed) {
		time.Sleep(100 * time.Millisecond)
		b.set(func(s *store) { s.err = storer.ErrRateLimited })
		time.Sleep(500 * time.Millisecond)
		b.set(func(s *store) { s.err = nil })
		time.Sleep(3 * time.Second)
		must.EqOp(t, 0, b.lost.Load())
		b.set(func(s *store) { s.err = storer.ErrRateLimited })
		time.Sleep(5 * time.Second)
		must.EqOp(t, 1, b.lost.Load())
	})
}
