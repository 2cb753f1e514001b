package spender

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// recoverAfter is the time without a message from the holder, counted at the earliest from the deadline of the share, after
	// which the witness closes a share. A holder that was only paused loses just the right to spend more of the share, so that a
	// short time does no harm. If the witness stops before it closes the share, the share counts in full: with 2 min, a further
	// 0.3% of the commitment was lost in this way (bench spend).
	recoverAfter = 20 * time.Second
	// recoverBackoff is the wait after a failed attempt to shrink a closed share, and maxRecoverBackoff is the limit to which it
	// doubles, so that 330 witnesses send few calls to an unavailable table.
	recoverBackoff    = 5 * time.Second
	maxRecoverBackoff = time.Minute
	// recoverBatch bounds the shares that one step closes, and thereby the load on the table after an outage.
	recoverBatch = 4
	// maxWitnessedShares bounds the shares that a witness remembers.
	maxWitnessedShares = 4096
)

// ErrCeilingRefused is returned by Witness.Accept when it refuses a ceiling: the share is closed or unknown, a message with the same or
// a higher sequence number was received before, or the witness is full.
var ErrCeilingRefused = errors.New("spender: ceiling is not kept")

// Witness stores the ceilings of shares that other entries hold, and frees the part of a share above its ceiling when the holder
// sends no more messages. It needs neither the bills of the holder nor proof that the holder has stopped: it accepts no higher
// ceiling for a share that it has closed, and the holder uses no reservation above the last ceiling that the witness accepted.
// When a witness stops, its ceilings are lost, and the shares then count in full. It is safe for concurrent use.
type Witness struct {
	shrink func(ctx context.Context, s Share, ceiling float64) error
	now    func() time.Time

	mu     sync.Mutex
	shares map[string]*witnessedShare
	// retryAt is the time of the next recovery after a failure, and backoff is the wait before it.
	retryAt  time.Time
	backoff  time.Duration
	counters struct{ kept, refused, recovered, failed int64 }
}

type witnessedShare struct {
	Ceiling
	lastMessageAt time.Time
	closed        bool
}

// NewWitness returns a witness that closes shares through shrink, which must change nothing for a share that is already settled.
func NewWitness(shrink func(ctx context.Context, s Share, ceiling float64) error, now func() time.Time) *Witness {
	return &Witness{shrink: shrink, now: now, shares: map[string]*witnessedShare{}}
}

// Accept stores a ceiling; the holder may spend up to it once Accept has returned nil.
func (w *Witness) Accept(c Ceiling) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	held := w.shares[c.Share]
	switch {
	case c.Settled:
		delete(w.shares, c.Share)
		return nil
	case held == nil && (c.Sequence != 1 || len(w.shares) >= maxWitnessedShares || now.After(c.Deadline.Add(recoverAfter))),
		held != nil && (held.closed || c.Sequence <= held.Sequence):
		// An unknown share with a sequence above 1 is refused: an earlier process of this instance may have accepted a ceiling
		// for it.
		w.counters.refused++
		return ErrCeilingRefused
	}
	w.shares[c.Share] = &witnessedShare{Ceiling: c, lastMessageAt: now}
	w.counters.kept++
	return nil
}

// Run closes the shares of holders that no longer send messages, until ctx ends.
func (w *Witness) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		// Step counts a failure, and a later step repeats the attempt.
		_ = w.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Step closes some of the shares whose holders no longer send messages.
func (w *Witness) Step(ctx context.Context) error {
	for _, c := range w.closeDue() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := w.shrink(callCtx, Share{ID: c.Share, Row: c.Row}, c.Amount)
		cancel()
		w.mu.Lock()
		if err != nil {
			w.counters.failed++
			w.backoff = min(max(2*w.backoff, recoverBackoff), maxRecoverBackoff)
			w.retryAt = w.now().Add(w.backoff)
			w.mu.Unlock()
			return fmt.Errorf("spender: recover share %s: %w", c.Share, err)
		}
		w.counters.recovered++
		w.backoff = 0
		delete(w.shares, c.Share)
		w.mu.Unlock()
	}
	return nil
}

// closeDue closes the shares that are due and returns their last ceilings, which later messages cannot change.
func (w *Witness) closeDue() []Ceiling {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now.Before(w.retryAt) {
		return nil
	}
	var due []Ceiling
	for _, held := range w.shares {
		last := held.Deadline
		if held.lastMessageAt.After(last) {
			last = held.lastMessageAt
		}
		if len(due) < recoverBatch && (held.closed || now.After(last.Add(recoverAfter))) {
			held.closed = true
			due = append(due, held.Ceiling)
		}
	}
	return due
}

// Counters returns monotonic counters.
func (w *Witness) Counters() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]int64{
		"ceilings-kept": w.counters.kept, "ceilings-refused": w.counters.refused, "shares-recovered": w.counters.recovered,
		"recoveries-failed": w.counters.failed,
	}
}

// WitnessState is the state dump of a witness.
type WitnessState struct {
	Shares int `json:"shares"`
	Closed int `json:"closed"`
}

// State returns a WitnessState.
func (w *Witness) State() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := WitnessState{Shares: len(w.shares)}
	for _, held := range w.shares {
		if held.closed {
			state.Closed++
		}
	}
	return state
}
