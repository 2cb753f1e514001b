package follower

import (
	"context"
	"errors"
	"time"

	"github.com/siskinfront/siskinfront/pacer"
)

const (
	// maxProbeTime bounds a call while the table cannot be read, which the store does not hold: a silent store is asked as often as by a
	// follower with the shortest usual wait.
	maxProbeTime = 2*time.Second + pacer.ReplyMargin
	// releaseGrace is the time that a call under way has left once another follower has succeeded. With the repeated call the table is then
	// current within 0.5 s of that success.
	releaseGrace = 200 * time.Millisecond
)

// errReleased is returned for a call that was under way when another follower succeeded, and lasted on.
var errReleased = errors.New("follower: another follower has succeeded meanwhile")

// sharesProbe reports whether others may call the store in this follower's place, which cannot read its table.
func (f *Follower[T]) sharesProbe() bool {
	return f.Probe != nil && f.inOutage
}

// awaitCall waits after a failed call until the next one is due.
func (f *Follower[T]) awaitCall(ctx context.Context, err error, backoff time.Duration) {
	switch {
	case errors.Is(err, ErrHistoryLost):
		// The store has answered, and the table is read as a whole next.
		f.recordSuccess()
	case f.sharesProbe() && f.Probe.Failed():
		f.awaitTurn(ctx)
		return
	}
	f.pause(ctx, backoff)
}

// awaitTurn waits until the prober lets this follower call, or until ctx ends.
func (f *Follower[T]) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		at, ok := f.Probe.Begin()
		if ok {
			return
		}
		f.awaitWake(ctx, at, f.Probe.Wake())
	}
}

// endOnRelease ends a call that lasts on after another follower has succeeded; ctx is that of the call.
func (f *Follower[T]) endOnRelease(ctx context.Context, end context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
		return
	case <-f.Probe.Released():
	}
	f.pause(ctx, releaseGrace)
	end(errReleased)
}

// recordSuccess tells the prober of a reply.
func (f *Follower[T]) recordSuccess() {
	if f.Probe != nil {
		f.Probe.Succeeded()
	}
}
