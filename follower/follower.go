package follower

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/storer"
)

// ErrHistoryLost is returned by Changes when the requested history is no longer available.
var ErrHistoryLost = errors.New("follower: history is no longer available")

const (
	// defaultWait is how long the store may hold a call without changes.
	defaultWait = time.Second
	// answerTime is how much longer than the wait a reply may take.
	answerTime = 500 * time.Millisecond
	// readTime bounds one read of the whole table.
	readTime = time.Second
	// settleTime is the pause after changes, in which further ones gather. Without it each change of 3,000 upstreams takes a call
	// of each of 300 entries, and the store refused calls beyond its rate.
	settleTime = 200 * time.Millisecond
	// busyTime is how long a store that refuses calls beyond its rate counts as reachable.
	busyTime = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles; the store takes some 2,000 reads a second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Source reads a table; a version belongs to the whole store and only grows.
type Source[T any] struct {
	// Name is used in logs.
	Name string
	// Read returns all rows and the version of the store.
	Read func(context.Context) ([]T, uint64, error)
	// Changes returns the rows that changed after a version, as soon as there are any or after the wait.
	Changes func(ctx context.Context, after uint64, wait time.Duration) ([]T, uint64, error)
}

// Follower follows one table.
type Follower[T any] struct {
	Source[T]
	// Apply takes all rows, with all set, or changes in their order.
	Apply func(rows []T, all bool)
	// OnOutage is called when the table can no longer be read, and Regained when it can again.
	OnOutage   func()
	OnRecovery func()
	Log        *slog.Logger
	// Wait is how long the store may hold a call without changes. With the answer time it bounds how long a connection that
	// went silent hides a change.
	Wait time.Duration
	Now  func() time.Time

	version                             atomic.Uint64
	confirmedAt                         atomic.Int64
	reads, calls, failures, stale, busy atomic.Int64
	out                                 bool
	// settle is set if the last call brought changes.
	settle   bool
	outSince time.Time
}

// New returns a follower of a source.
func New[T any](s Source[T], apply func(rows []T, all bool), log *slog.Logger) *Follower[T] {
	return &Follower[T]{Source: s, Apply: apply, OnOutage: func() {}, OnRecovery: func() {}, Log: log, Now: time.Now, Wait: defaultWait}
}

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	backoff := minBackoff
	whole := true
	// busySince is when the store began to refuse calls beyond its rate.
	var busySince time.Time
	for ctx.Err() == nil {
		err := f.step(ctx, whole)
		switch {
		case err == nil:
			whole, backoff, busySince = false, minBackoff, time.Time{}
			if f.settle {
				f.pause(ctx, settleTime)
			}
			continue
		case errors.Is(err, storer.ErrRateLimited) && (busySince.IsZero() || f.Now().Sub(busySince) < busyTime):
			if busySince.IsZero() {
				busySince = f.Now()
			}
			f.busy.Add(1)
		case errors.Is(err, ErrHistoryLost):
			f.Log.Info("history of the store is gone, reading all", "table", f.Name, "version", f.version.Load())
			whole = true
			if backoff == minBackoff {
				backoff *= 2
				continue
			}
		case ctx.Err() == nil:
			f.lost(err)
		}
		f.pause(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

func (f *Follower[T]) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// errStale is returned for a reply that is older than one before.
var errStale = errors.New("follower: reply is older than one before")

// step reads the whole table or its next changes.
func (f *Follower[T]) step(ctx context.Context, whole bool) error {
	after := f.version.Load()
	limit := f.Wait + answerTime
	if whole {
		limit = readTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var rows []T
	var version uint64
	var err error
	if whole {
		f.reads.Add(1)
		rows, version, err = f.Read(ctx)
	} else {
		f.calls.Add(1)
		rows, version, err = f.Changes(ctx, after, f.Wait)
	}
	if err != nil {
		f.failures.Add(1)
		return err
	}
	if version < after {
		f.stale.Add(1)
		return errStale
	}
	f.version.Store(version)
	f.confirmedAt.Store(f.Now().UnixNano())
	if f.out {
		f.out = false
		f.Log.Info("store regained", "table", f.Name, "version", version, "out", f.Now().Sub(f.outSince))
		f.OnRecovery()
	}
	f.settle = len(rows) > 0 && !whole
	if whole || len(rows) > 0 {
		f.Apply(rows, whole)
	}
	return nil
}

func (f *Follower[T]) lost(err error) {
	if f.out {
		return
	}
	f.out, f.outSince = true, f.Now()
	f.Log.Warn("store lost", "table", f.Name, "version", f.version.Load(), "error", err.Error())
	f.OnOutage()
}

// ConfirmedAt returns when the copy was last known to be current, or the zero time.
func (f *Follower[T]) ConfirmedAt() time.Time {
	if n := f.confirmedAt.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// Version returns the version of the store up to which the copy is complete.
func (f *Follower[T]) Version() uint64 {
	return f.version.Load()
}

// Counters returns the totals since the start.
func (f *Follower[T]) Counters() map[string]int64 {
	return map[string]int64{
		"reads": f.reads.Load(), "calls": f.calls.Load(), "failures": f.failures.Load(), "stale-replies": f.stale.Load(),
		"calls-over-rate": f.busy.Load(),
	}
}
