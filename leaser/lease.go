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

// Lease is one term of a lease at its holder; it is safe for concurrent use.
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

// rowCondition returns the condition that the row of the lease still has the version that this term knows.
func (l *Lease) rowCondition() storer.Condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return storer.Condition{Key: rowKey(l.name), Version: l.version}
}

// extend raises the known version of the row and the deadline; neither ever decreases.
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

// markLost ends the term, counts it as lost once, and returns ErrLost.
func (l *Lease) markLost() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost {
		l.lost = true
		l.leaser.lost.Add(1)
	}
	return fmt.Errorf("%w: %s, token %d", ErrLost, l.name, l.token)
}

// Renew extends the term. ErrLost is final; after any other error the old deadline still applies.
func (l *Lease) Renew(ctx context.Context) error {
	if !l.Valid() {
		return l.markLost()
	}
	startedAt := l.leaser.now()
	version, err := l.leaser.table.Put(ctx, rowKey(l.name), l.rowCondition().Version, l.leaser.newRecord(l.token))
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnknownOutcome) {
		// The row may have been changed by an earlier renewal whose reply was lost. This renewal started after that
		// write, so a deadline counted from its start would be too late: only the version is adopted.
		version, err = l.leaser.resolve(ctx, l.name, l.token, err)
		if errors.Is(err, storer.ErrConflict) {
			return l.markLost()
		}
		startedAt = time.Time{}
	}
	if err != nil {
		return fmt.Errorf("leaser: renew %s: %w", l.name, err)
	}
	l.extend(version, startedAt.Add(l.leaser.term))
	l.leaser.renewed.Add(1)
	return nil
}

// Transact applies a transaction only while the row of the lease still belongs to this term. The check is part of the
// transaction, so a holder that was paused between its own check and the write gets ErrLost.
func (l *Lease) Transact(ctx context.Context, tx storer.Transaction) error {
	callerConditions := tx.Conditions
	if tx.ID == "" {
		tx.ID = storer.NewID()
	}
	for range 2 {
		if !l.Valid() {
			return l.markLost()
		}
		leaseCondition := l.rowCondition()
		tx.Conditions = slices.Concat(callerConditions, []storer.Condition{leaseCondition})
		err := l.leaser.table.Transact(ctx, tx)
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		version, rerr := l.leaser.resolve(ctx, l.name, l.token, err)
		if errors.Is(rerr, storer.ErrConflict) {
			return l.markLost()
		}
		if rerr != nil {
			return rerr
		}
		if version == leaseCondition.Version {
			return err // One of the caller's conditions did not hold.
		}
		// A renewal changed the row after leaseCondition was taken; the second attempt uses the new version.
		l.extend(version, time.Time{})
	}
	return fmt.Errorf("%w: lease %s was renewed meanwhile", storer.ErrConflict, l.name)
}

// Release frees the lease at once; if the table is unavailable, the lease expires at the end of the term.
func (l *Lease) Release(ctx context.Context) {
	leaseCondition := l.rowCondition()
	wasValid := l.Valid()
	l.mu.Lock()
	l.lost = true
	l.mu.Unlock()
	l.leaser.mu.Lock()
	if l.leaser.held[l.name] == l {
		delete(l.leaser.held, l.name)
	}
	l.leaser.mu.Unlock()
	if !wasValid {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.leaser.releaseTimeout)
	defer cancel()
	rec := l.leaser.newRecord(l.token)
	rec.Holder = ""
	_, err := l.leaser.table.Put(ctx, leaseCondition.Key, leaseCondition.Version, rec)
	if errors.Is(err, storer.ErrConflict) {
		// A renewal that was interrupted by the end of its context may have changed the row.
		if version, rerr := l.leaser.resolve(ctx, l.name, l.token, err); rerr == nil {
			// If this fails too, the lease expires at the end of the term.
			_, _ = l.leaser.table.Put(ctx, leaseCondition.Key, version, rec)
		}
	}
}
