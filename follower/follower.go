package follower

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/prober"
	"github.com/siskinfront/siskinfront/storer"
)

// ErrHistoryLost is returned by Source.Changes when the store no longer has all changes after the requested version.
var ErrHistoryLost = errors.New("follower: history is no longer available")

const (
	// defaultWait and defaultPause are the Pace unless another one is set.
	defaultWait  = time.Second
	defaultPause = 200 * time.Millisecond
	// readTimeout bounds a read of the whole table. The source bounds each page of it, so that a silent connection is noticed sooner.
	readTimeout = 10 * time.Second
	// rateLimitGrace is how long the store may refuse calls because of its rate limit before that counts as an outage.
	rateLimitGrace = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each failure and has a random part. The
	// store accepts some 2,000 reads per second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// returnSpread is the time over which the entries read the whole table again after the store has come back from an older copy.
	returnSpread = 300 * time.Millisecond
)

// Source reads a table. The positions are those of the whole store; within an era they only grow.
type Source[T any] struct {
	// Name is the name of the table in logs.
	Name string
	// Read returns all rows and the position of the store.
	Read func(context.Context) ([]T, storer.Extent, error)
	// Changes returns the rows that changed after a position and the position of the store, as soon as there are any or after the
	// wait. The rows of a reply of a later era are not used. A Confirmer needs the last change of each reply.
	Changes func(ctx context.Context, after storer.Position, wait time.Duration) ([]T, storer.Extent, error)
	// Reconnect makes the next call open a new connection; it may be nil.
	Reconnect func()
}

// Batch is a set of rows of one reply.
type Batch[T any] struct {
	Rows []T
	// At is the position of the store.
	At storer.Position
	// All is set if Rows are all rows of the table; otherwise they changed, in the order of their changes.
	All bool
	// Returned is set for the first batch after the store has come back from an older copy, which has All set too: rows may be older than
	// those of earlier batches, or missing.
	Returned bool
	// CopyEnd bounds the versions of rows that may be older than what earlier batches have shown. A row with a higher version was written
	// after them, whether before the return or in the present era. It is 0 if the store has not come back from a copy since the start.
	CopyEnd uint64
}

// Follower follows the changes of one table.
type Follower[T any] struct {
	Source[T]
	// Apply is called with each batch of rows.
	Apply func(Batch[T])
	// OnOutage is called when the table can no longer be read, and OnRecovery when it can be read again.
	OnOutage   func()
	OnRecovery func()
	Log        *slog.Logger
	// Pace returns how long the store may hold a call, which bounds how long a connection that delivers nothing any more can hide a
	// change, and the pause after a reply with changes, in which more of them gather for one call.
	Pace func() pacer.Pace
	Now  func() time.Time
	// Confirmer decides how long calls may wait from what other entries tell of the table; it is nil for the Pace alone.
	Confirmer *confirmer.Table
	// Probe decides when to call while the table cannot be read; it is nil if no other follower calls in this one's place.
	Probe *prober.Member

	held        heldCall
	position    atomic.Pointer[storer.Position]
	confirmedAt atomic.Int64
	// applying is set while a reply is known to the Confirmer but not yet applied.
	applying                                                   atomic.Bool
	reads, calls, failures, staleReplies, rateLimited, returns atomic.Int64
	inOutage                                                   bool
	// copyEnd is the CopyEnd of batches of the present era.
	copyEnd uint64
	// paused is the pause before the next call, after a reply with changes.
	paused      time.Duration
	outageSince time.Time
}

// New returns a follower of a source.
func New[T any](s Source[T], apply func(Batch[T]), log *slog.Logger) *Follower[T] {
	return &Follower[T]{
		Source: s, Apply: apply, OnOutage: func() {}, OnRecovery: func() {}, Log: log, Now: time.Now,
		Pace: func() pacer.Pace { return pacer.Pace{Wait: defaultWait, Pause: defaultPause} },
	}
}

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	if f.Confirmer != nil {
		var duties sync.WaitGroup
		defer duties.Wait()
		duties.Go(func() { f.confirm(ctx) })
	}
	backoff := minBackoff
	readAll := true
	// rateLimitedSince is when the store began to refuse calls because of its rate limit, zero if it does not.
	var rateLimitedSince time.Time
	for ctx.Err() == nil {
		err := f.step(ctx, readAll)
		switch {
		case err == nil:
			if !readAll {
				// A read of the whole table does not show that the calls for changes work again.
				backoff = minBackoff
			}
			readAll, rateLimitedSince = false, time.Time{}
			if f.paused > 0 {
				f.pause(ctx, f.paused)
			}
			continue
		case errors.Is(err, storer.ErrRateLimited) && (rateLimitedSince.IsZero() || f.Now().Sub(rateLimitedSince) < rateLimitGrace):
			if rateLimitedSince.IsZero() {
				rateLimitedSince = f.Now()
			}
			f.rateLimited.Add(1)
		case errors.Is(err, errGivenUp):
			// Nothing shows that the store is out: the same call on a new connection does.
			f.paused = 0
			if f.Reconnect != nil {
				f.Reconnect()
			}
			continue
		case errors.Is(err, errReturned), errors.Is(err, storer.ErrEraChanged):
			readAll = true
			// All entries learn of the return at the same time.
			f.pause(ctx, rand.N(returnSpread))
			continue
		case errors.Is(err, storer.ErrEarlierEra):
			// Another connection has shown the later era, in which this table must be read as a whole.
			f.staleReplies.Add(1)
			f.startOutage(err)
			readAll = true
		case errors.Is(err, ErrHistoryLost):
			f.Log.Info("store no longer has the requested changes, reading the whole table", "table", f.Name, "position", f.Position().String())
			readAll = true
			if backoff == minBackoff {
				backoff *= 2
				continue
			}
		case ctx.Err() == nil:
			f.startOutage(err)
		}
		f.awaitCall(ctx, err, backoff/2+rand.N(backoff/2))
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

var (
	// errStale is returned for a reply with an earlier position than an earlier reply.
	errStale = errors.New("follower: reply is older than an earlier one")
	// errReturned is returned for changes of a later era: those that follow a position of the era before say nothing about what was lost.
	errReturned = errors.New("follower: store has come back from an older copy")
)

// step reads the whole table or its next changes and applies them.
func (f *Follower[T]) step(ctx context.Context, readAll bool) error {
	after := f.Position()
	pace := f.Pace()
	began := f.Now()
	var rows []T
	var extent storer.Extent
	var wait time.Duration
	var err error
	if readAll {
		rows, extent, err = f.read(ctx)
	} else {
		rows, extent, wait, err = f.nextChanges(ctx, after, max(pace.Wait-f.paused, 0))
	}
	position := extent.Position
	switch {
	case errors.Is(err, errGivenUp):
		return err
	case errors.Is(err, errReleased):
		f.callFailed()
		if f.Reconnect != nil {
			f.Reconnect()
		}
		return err
	case err != nil:
		f.failures.Add(1)
		f.callFailed()
		return err
	case position.Before(after):
		f.staleReplies.Add(1)
		f.callFailed()
		return errStale
	case !readAll && position.Era > after.Era:
		f.callFailed()
		return errReturned
	}
	f.applying.Store(true)
	defer f.applying.Store(false)
	if f.Confirmer != nil {
		f.Confirmer.Replied(confirmer.Reply{
			At: position, LastChange: extent.LastChange, All: readAll, HasRows: extent.LastChange > 0, Began: began, Wait: wait,
		})
	}
	batch := Batch[T]{Rows: rows, At: position, All: readAll}
	if after != (storer.Position{}) && position.Era > after.Era {
		f.returns.Add(1)
		f.copyEnd, batch.Returned = min(position.Version, after.Version), true
		f.Log.Warn("store has come back from an older copy", "table", f.Name, "before", after.String(), "position", position.String())
	}
	batch.CopyEnd = f.copyEnd
	f.position.Store(&position)
	now := f.Now()
	f.recordSuccess()
	if f.inOutage {
		f.inOutage = false
		f.Log.Info("store available again", "table", f.Name, "position", position.String(), "out", now.Sub(f.outageSince))
		f.OnRecovery()
	}
	f.paused = 0
	if len(rows) > 0 && !readAll {
		f.paused = pace.Pause
	}
	if readAll || len(rows) > 0 {
		f.Apply(batch)
	}
	// Whoever sees this time must also see what the reply has changed.
	f.confirmedAt.Store(now.UnixNano())
	return nil
}

// read reads the whole table.
func (f *Follower[T]) read(ctx context.Context) ([]T, storer.Extent, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.reads.Add(1)
	return f.Read(ctx)
}

// nextChanges makes one call for changes and returns for how long the store was to hold it, which is a given time unless others confirm.
func (f *Follower[T]) nextChanges(ctx context.Context, after storer.Position, wait time.Duration) ([]T, storer.Extent, time.Duration, error) {
	var call uint64
	if f.Confirmer != nil {
		call, wait = f.Confirmer.Begin(f.paused)
	}
	timeout := wait + pacer.ReplyMargin
	isProbe := f.sharesProbe()
	if isProbe {
		// Others wait for the reply.
		wait, timeout = 0, min(timeout, maxProbeTime)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	if isProbe {
		go f.endOnRelease(ctx, giveUp)
	}
	if f.Confirmer != nil {
		f.held.set(call, giveUp)
		defer f.held.set(0, nil)
	}
	f.calls.Add(1)
	rows, extent, err := f.Changes(ctx, after, wait)
	switch cause := context.Cause(ctx); {
	case err == nil:
	case errors.Is(cause, errGivenUp):
		f.Confirmer.GaveUp()
		return nil, extent, wait, errGivenUp
	case errors.Is(cause, errReleased):
		return nil, extent, wait, errReleased
	}
	return rows, extent, wait, err
}

// startOutage records and reports an outage unless there is one already.
func (f *Follower[T]) startOutage(err error) {
	if f.inOutage {
		return
	}
	f.inOutage, f.outageSince = true, f.Now()
	f.Log.Warn("store unavailable", "table", f.Name, "position", f.Position().String(), "error", err.Error())
	f.OnOutage()
}

// ConfirmedAt returns when the copy was last known to be current, by a reply or by what other entries tell, or the zero time before the first
// read.
func (f *Follower[T]) ConfirmedAt() time.Time {
	var shared time.Time
	if f.Confirmer != nil {
		// Read before applying is, as otherwise a reply and a claim in between could confirm what is not applied.
		shared = f.Confirmer.ConfirmedAt()
	}
	n := f.confirmedAt.Load()
	if n == 0 {
		return time.Time{}
	}
	own := time.Unix(0, n)
	if !f.applying.Load() && shared.After(own) {
		return shared
	}
	return own
}

// Position returns the position of the store up to which the copy is complete, or the zero position before the first read.
func (f *Follower[T]) Position() storer.Position {
	if p := f.position.Load(); p != nil {
		return *p
	}
	return storer.Position{}
}

// Counters returns the numbers of reads of the whole table, calls for changes, failed ones of both, replies with an old position,
// calls that the store refused because of its rate limit, and returns of the store from an older copy.
func (f *Follower[T]) Counters() map[string]int64 {
	return map[string]int64{
		"reads": f.reads.Load(), "calls": f.calls.Load(), "failures": f.failures.Load(), "stale-replies": f.staleReplies.Load(),
		"calls-over-rate": f.rateLimited.Load(), "returns": f.returns.Load(),
	}
}
