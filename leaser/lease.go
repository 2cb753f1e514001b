package leaser

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/storer"
)

// Lease is one term of a lease, safe for concurrent use.
type Lease struct {
	leaser *Leaser
	name   string
	token  uint64

	mu       sync.Mutex
	version  uint64
	deadline time.Time
	lost     bool
}

// Token returns the fencing token of the term.
func (l *Lease) Token() uint64 { return l.token }

// Valid reports whether the term still runs on the holder's own clock.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lost && l.leaser.now().Before(l.deadline)
}

// Deadline returns the end of the term on the holder's own clock.
func (l *Lease) Deadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline
}

func (l *Lease) condition() storer.Condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return storer.Condition{Key: key(l.name), Version: l.version}
}

func (l *Lease) extend(version uint64, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A renewal that ends after the term does not revive it.
	if l.lost || !l.leaser.now().Before(l.deadline) {
		return
	}
	if version > l.version {
		l.version = version
	}
	if deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

func (l *Lease) lose() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost {
		l.lost = true
		l.leaser.lost.Add(1)
	}
	return fmt.Errorf("%w: %s, token %d", ErrLost, l.name, l.token)
}

// Renew extends the term; ErrLost is final, after any other error the old deadline stands.
func (l *Lease) Renew(ctx context.Context) error {
	if !l.Valid() {
		return l.lose()
	}
	start := l.leaser.now()
	version, err := l.leaser.table.Put(ctx, key(l.name), l.condition().Version, l.leaser.record(l.token))
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnknownOutcome) {
		// An earlier renewal whose reply was lost may be what changed the row; the start of this one is later than
		// that write, so only the version is taken over and the deadline stands.
		version, err = l.leaser.resolve(ctx, l.name, l.token, err)
		if errors.Is(err, storer.ErrConflict) {
			return l.lose()
		}
		start = time.Time{}
	}
	if err != nil {
		return fmt.Errorf("leaser: renew %s: %w", l.name, err)
	}
	l.extend(version, start.Add(l.leaser.term))
	l.leaser.renewed.Add(1)
	return nil
}

// Transact applies a transaction only while the row of the lease still carries this term; the check is part of the
// transaction, so a holder that was paused between its own check and the write is refused with ErrLost.
func (l *Lease) Transact(ctx context.Context, tx storer.Transaction) error {
	conditions := tx.Conditions
	if tx.ID == "" {
		tx.ID = storer.NewID()
	}
	for range 2 {
		if !l.Valid() {
			return l.lose()
		}
		guard := l.condition()
		tx.Conditions = slices.Concat(conditions, []storer.Condition{guard})
		err := l.leaser.table.Transact(ctx, tx)
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		version, rerr := l.leaser.resolve(ctx, l.name, l.token, err)
		if errors.Is(rerr, storer.ErrConflict) {
			return l.lose()
		}
		if rerr != nil {
			return rerr
		}
		if version == guard.Version {
			return err // The caller's own condition did not hold.
		}
		// A renewal changed the row between the two reads.
		l.extend(version, time.Time{})
	}
	return fmt.Errorf("%w: lease %s was renewed meanwhile", storer.ErrConflict, l.name)
}

// Release frees the lease at once; if the table is out it ends by itself after the term.
func (l *Lease) Release(ctx context.Context) {
	guard := l.condition()
	valid := l.Valid()
	l.mu.Lock()
	l.lost = true
	l.mu.Unlock()
	l.leaser.mu.Lock()
	if l.leaser.held[l.name] == l {
		delete(l.leaser.held, l.name)
	}
	l.leaser.mu.Unlock()
	if !valid {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.leaser.releaseTime)
	defer cancel()
	rec := l.leaser.record(l.token)
	rec.Holder = ""
	_, err := l.leaser.table.Put(ctx, guard.Key, guard.Version, rec)
	if errors.Is(err, storer.ErrConflict) {
		// A renewal that the end of its context interrupted may have changed the row.
		if version, rerr := l.leaser.resolve(ctx, l.name, l.token, err); rerr == nil {
			// The term ends by itself if this fails too.
			_, _ = l.leaser.table.Put(ctx, guard.Key, version, rec)
		}
	}
}
