package spender

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// recoverAfter is the time without a message from the holder, counted from the deadline of the share at the earliest, after which
	// a share is closed. A holder that was only paused loses nothing but the right to spend more of the share, while a witness
	// that stops before it closes the share leaves it to count in full: 2 min lost a further 0.3% of the commitment (bench spend).
	recoverAfter = 20 * time.Second
	// recoverRetry is the pause after a failed attempt to shrink a closed share, and maxRecoverRetry bounds its doubling, so that 330
	// witnesses send few calls to a table that is out.
	recoverRetry    = 5 * time.Second
	maxRecoverRetry = time.Minute
	// recoverBatch bounds the shares that one step closes, which bounds the load on the table after an outage.
	recoverBatch = 4
	// maxKept bounds the shares of a witness.
	maxKept = 4096
)

// ErrCeiling is returned by Witness.Keep for a ceiling that is not kept: the share is closed or unknown, a later message came
// before, or the witness is full.
var ErrCeiling = errors.New("spender: ceiling is not kept")

// Witness keeps the ceilings of shares of other entries and frees the part above the ceiling when a holder is gone. It needs
// neither the bills nor the death of the holder: once it has closed a share it takes no higher ceiling, and the holder uses no
// reservation above the ceiling that it took. A witness that stops forgets its shares, which then count in full. It is safe
// for concurrent use.
type Witness struct {
	shrink func(ctx context.Context, s Share, ceiling float64) error
	now    func() time.Time

	mu     sync.Mutex
	shares map[string]*keptShare
	// retryAt is the time of the next recovery after a failure, backoff the pause before it.
	retryAt  time.Time
	backoff  time.Duration
	counters struct{ kept, refused, recovered, failed int64 }
}

type keptShare struct {
	Ceiling
	heard  time.Time
	closed bool
}

// NewWitness returns a witness that closes shares by shrink, which must change nothing for a share that is settled already.
func NewWitness(shrink func(ctx context.Context, s Share, ceiling float64) error, now func() time.Time) *Witness {
	return &Witness{shrink: shrink, now: now, shares: map[string]*keptShare{}}
}

// Accept takes a ceiling; the holder may spend up to it once Keep has returned nil.
func (w *Witness) Accept(c Ceiling) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	k := w.shares[c.Share]
	switch {
	case c.Settled:
		delete(w.shares, c.Share)
		return nil
	case k == nil && (c.Sequence != 1 || len(w.shares) >= maxKept || now.After(c.Deadline.Add(recoverAfter))),
		k != nil && (k.closed || c.Sequence <= k.Sequence):
		// A message after the first about an unknown share may follow one that an earlier process of this name took.
		w.counters.refused++
		return ErrCeiling
	}
	w.shares[c.Share] = &keptShare{Ceiling: c, heard: now}
	w.counters.kept++
	return nil
}

// Run closes the shares of holders that are gone until ctx ends.
func (w *Witness) Run(ctx context.Context) error {
	t := time.NewTicker(runInterval)
	defer t.Stop()
	for {
		// Failures are counted and repeated by a later step.
		_ = w.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Step closes some of the shares whose holders are gone.
func (w *Witness) Step(ctx context.Context) error {
	for _, c := range w.close() {
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		err := w.shrink(callCtx, Share{ID: c.Share, Row: c.Row}, c.Amount)
		cancel()
		w.mu.Lock()
		if err != nil {
			w.counters.failed++
			w.backoff = min(max(2*w.backoff, recoverRetry), maxRecoverRetry)
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

// close marks the shares that are due and returns their last ceilings, which no later message changes.
func (w *Witness) close() []Ceiling {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now.Before(w.retryAt) {
		return nil
	}
	var due []Ceiling
	for _, k := range w.shares {
		last := k.Deadline
		if k.heard.After(last) {
			last = k.heard
		}
		if len(due) < recoverBatch && (k.closed || now.After(last.Add(recoverAfter))) {
			k.closed = true
			due = append(due, k.Ceiling)
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

// State returns a WitnessSnapshot.
func (w *Witness) State() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	snap := WitnessState{Shares: len(w.shares)}
	for _, k := range w.shares {
		if k.closed {
			snap.Closed++
		}
	}
	return snap
}
