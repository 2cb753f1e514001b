package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/pacer"
)

// errGivenUp is returned for a held call that was given up because nothing confirms any more that it hides no change.
var errGivenUp = errors.New("follower: call was given up")

// heldCall is the call for changes that the store holds.
type heldCall struct {
	mu     sync.Mutex
	number uint64
	giveUp context.CancelCauseFunc
}

func (h *heldCall) set(number uint64, giveUp context.CancelCauseFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.number, h.giveUp = number, giveUp
}

// end gives a call up if it is still held.
func (h *heldCall) end(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.giveUp != nil && h.number == number {
		h.giveUp(errGivenUp)
	}
}

// minTurn bounds how often confirm looks while a call that it has given up ends.
const minTurn = 5 * time.Millisecond

// confirm does what the confirmer finds due until ctx ends.
func (f *Follower[T]) confirm(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for ctx.Err() == nil {
		action, call, at := f.Confirmer.Due()
		switch action {
		case confirmer.GiveUp:
			f.held.end(call)
			f.pause(ctx, minTurn)
			continue
		case confirmer.Check:
			checks.Go(func() { f.check(ctx) })
			continue
		case confirmer.Tell:
			f.Confirmer.Tell()
			continue
		case confirmer.None:
		}
		f.awaitWake(ctx, at, f.Confirmer.Wake())
	}
}

// awaitWake waits until a time, if it is not zero, until wake receives a value, or until ctx ends.
func (f *Follower[T]) awaitWake(ctx context.Context, at time.Time, wake <-chan struct{}) {
	var due <-chan time.Time
	if !at.IsZero() {
		t := time.NewTimer(at.Sub(f.Now()))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-wake:
	}
}

// check calls the store beside the held call. If that fails, other entries make the confirmation.
func (f *Follower[T]) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pacer.ReplyMargin)
	defer cancel()
	began := f.Now()
	f.calls.Add(1)
	after := f.Confirmer.Position()
	_, extent, err := f.Changes(ctx, after, 0)
	switch {
	case err != nil:
		f.failures.Add(1)
		return
	case extent.Before(after):
		// A reply from before the copy shows no later change.
		f.staleReplies.Add(1)
		return
	}
	f.Confirmer.Checked(confirmer.Reply{At: extent.Position, LastChange: extent.LastChange, Began: began})
}

func (f *Follower[T]) callFailed() {
	if f.Confirmer != nil {
		f.Confirmer.Failed()
	}
}
