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

// ErrHistoryLost is returned by Source.Changes when the store no longer has all changes after the requested version.
var ErrHistoryLost = errors.New("follower: history is no longer available")

const (
	// defaultWait is how long the store may hold a call for changes while there are none.
	defaultWait = time.Second
	// replyMargin is how much longer than that wait a reply may take.
	replyMargin = 500 * time.Millisecond
	// readTimeout bounds a read of the whole table.
	readTimeout = time.Second
	// coalesceDelay is the pause after a reply with changes, so that the next call returns several. Without it, each change of one
	// of 3,000 upstreams costs a call from each of 300 entries, and the store refuses calls beyond its rate limit.
	coalesceDelay = 200 * time.Millisecond
	// rateLimitGrace is how long the store may refuse calls because of its rate limit before that counts as an outage.
	rateLimitGrace = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each failure and has a random part. The
	// store accepts some 2,000 reads per second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Source reads a table. The versions are those of the whole store, which only grow.
type Source[T any] struct {
	// Name is the name of the table in logs.
	Name string
	// Read returns all rows and the version of the store.
	Read func(context.Context) ([]T, uint64, error)
	// Changes returns the rows that changed after a version and the version of the store, as soon as there are any or after the
	// wait.
	Changes func(ctx context.Context, after uint64, wait time.Duration) ([]T, uint64, error)
}

// Follower follows the changes of one table.
type Follower[T any] struct {
	Source[T]
	// Apply is called with all rows of the table if all is set, and otherwise with changed rows in the order of their changes.
	Apply func(rows []T, all bool)
	// OnOutage is called when the table can no longer be read, and OnRecovery when it can be read again.
	OnOutage   func()
	OnRecovery func()
	Log        *slog.Logger
	// MaxWait is how long the store may hold a call while there are no changes. Together with replyMargin it bounds how long a
	// connection that delivers nothing any more can hide a change.
	MaxWait time.Duration
	Now     func() time.Time

	version                                           atomic.Uint64
	confirmedAt                                       atomic.Int64
	reads, calls, failures, staleReplies, rateLimited atomic.Int64
	inOutage                                          bool
	// hadChanges is set if the last call returned changes.
	hadChanges  bool
	outageSince time.Time
}

// New returns a follower of a source.
func New[T any](s Source[T], apply func(rows []T, all bool), log *slog.Logger) *Follower[T] {
	return &Follower[T]{Source: s, Apply: apply, OnOutage: func() {}, OnRecovery: func() {}, Log: log, Now: time.Now, MaxWait: defaultWait}
}

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	backoff := minBackoff
	readAll := true
	// rateLimitedSince is when the store began to refuse calls because of its rate limit, zero if it does not.
	var rateLimitedSince time.Time
	for ctx.Err() == nil {
		err := f.step(ctx, readAll)
		switch {
		case err == nil:
			readAll, backoff, rateLimitedSince = false, minBackoff, time.Time{}
			if f.hadChanges {
				f.pause(ctx, coalesceDelay)
			}
			continue
		case errors.Is(err, storer.ErrRateLimited) && (rateLimitedSince.IsZero() || f.Now().Sub(rateLimitedSince) < rateLimitGrace):
			if rateLimitedSince.IsZero() {
				rateLimitedSince = f.Now()
			}
			f.rateLimited.Add(1)
		case errors.Is(err, ErrHistoryLost):
			f.Log.Info("store no longer has the requested changes, reading the whole table", "table", f.Name, "version", f.version.Load())
			readAll = true
			if backoff == minBackoff {
				backoff *= 2
				continue
			}
		case ctx.Err() == nil:
			f.startOutage(err)
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

// errStale is returned for a reply with a lower version than an earlier reply.
var errStale = errors.New("follower: reply has a lower version than an earlier one")

// step reads the whole table or its next changes and applies them.
func (f *Follower[T]) step(ctx context.Context, readAll bool) error {
	after := f.version.Load()
	timeout := f.MaxWait + replyMargin
	if readAll {
		timeout = readTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rows []T
	var version uint64
	var err error
	if readAll {
		f.reads.Add(1)
		rows, version, err = f.Read(ctx)
	} else {
		f.calls.Add(1)
		rows, version, err = f.Changes(ctx, after, f.MaxWait)
	}
	if err != nil {
		f.failures.Add(1)
		return err
	}
	if version < after {
		f.staleReplies.Add(1)
		return errStale
	}
	f.version.Store(version)
	f.confirmedAt.Store(f.Now().UnixNano())
	if f.inOutage {
		f.inOutage = false
		f.Log.Info("store available again", "table", f.Name, "version", version, "out", f.Now().Sub(f.outageSince))
		f.OnRecovery()
	}
	f.hadChanges = len(rows) > 0 && !readAll
	if readAll || len(rows) > 0 {
		f.Apply(rows, readAll)
	}
	return nil
}

// startOutage records and reports an outage unless there is one already.
func (f *Follower[T]) startOutage(err error) {
	if f.inOutage {
		return
	}
	f.inOutage, f.outageSince = true, f.Now()
	f.Log.Warn("store unavailable", "table", f.Name, "version", f.version.Load(), "error", err.Error())
	f.OnOutage()
}

// ConfirmedAt returns when the copy was last known to be current, or the zero time before the first read.
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

// Counters returns the numbers of reads of the whole table, calls for changes, failed ones of both, replies with an old version,
// and calls that the store refused because of its rate limit.
func (f *Follower[T]) Counters() map[string]int64 {
	return map[string]int64{
		"reads": f.reads.Load(), "calls": f.calls.Load(), "failures": f.failures.Load(), "stale-replies": f.staleReplies.Load(),
		"calls-over-rate": f.rateLimited.Load(),
	}
}
