package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// ErrHeld is returned by Acquire while another holder's term may still run.
var ErrHeld = errors.New("leaser: lease is held")

// ErrLost is returned when the term of a lease has ended or another holder has taken it.
var ErrLost = errors.New("leaser: lease is lost")

const (
	defaultTerm = 10 * time.Second
	// defaultMargin covers the drift between two monotonic clocks over one term.
	defaultMargin         = 2 * time.Second
	defaultReleaseTimeout = 2 * time.Second
)

// Record is the value of the row lease/{name}.
type Record struct {
	// Holder is empty after the lease was released.
	Holder string `json:"holder"`
	// Token is the fencing token of the term.
	Token     uint64    `json:"token"`
	GrantedAt time.Time `json:"granted-at"`
	Deadline  time.Time `json:"deadline"`
}

// Leaser acquires leases for one instance; it is safe for concurrent use.
type Leaser struct {
	table          *storer.Table
	holder         string
	term, margin   time.Duration
	releaseTimeout time.Duration
	now, wallNow   func() time.Time
	sleep          func(context.Context, time.Duration) error

	mu       sync.Mutex
	observed map[string]observation
	held     map[string]*Lease

	acquired, lost, renewed atomic.Int64
}

// observation is the time on this leaser's clock at which it first saw a version of a lease row.
type observation struct {
	version     uint64
	firstSeenAt time.Time
}

// Option configures a leaser.
type Option func(*Leaser)

// WithNow sets the clock that measures terms; it must be monotonic.
func WithNow(now func() time.Time) Option {
	return func(l *Leaser) { l.now = now }
}

// WithWallClock sets the wall clock whose times are written into rows for operators; it may jump.
func WithWallClock(wallNow func() time.Time) Option {
	return func(l *Leaser) { l.wallNow = wallNow }
}

// WithSleep replaces the function that waits between two renewals or two attempts to acquire.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(l *Leaser) { l.sleep = sleep }
}

// WithTerm sets the length of a term and the margin after its end before another holder may take over.
func WithTerm(term, margin time.Duration) Option {
	return func(l *Leaser) { l.term, l.margin = term, margin }
}

// WithReleaseTimeout sets the time that a release may take.
func WithReleaseTimeout(d time.Duration) Option {
	return func(l *Leaser) { l.releaseTimeout = d }
}

// New returns a leaser. Each leaser is a separate holder, so a restarted process does not inherit its earlier leases.
func New(table *storer.Table, instance identifier.Instance, opts ...Option) *Leaser {
	l := &Leaser{
		table: table, holder: string(instance) + "/" + storer.NewID(), term: defaultTerm, margin: defaultMargin,
		releaseTimeout: defaultReleaseTimeout,
		now:            time.Now, wallNow: time.Now, sleep: storer.Sleep,
		observed: map[string]observation{}, held: map[string]*Lease{},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

func rowKey(name string) string { return "lease/" + name }

// readRow returns the record of a lease and the version of its row, both zero if there is no row.
func (l *Leaser) readRow(ctx context.Context, name string) (Record, uint64, error) {
	row, err := l.table.Get(ctx, rowKey(name))
	if errors.Is(err, storer.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return Record{}, 0, fmt.Errorf("decode row: %w", err)
	}
	return rec, row.Version, nil
}

// Acquire takes the lease or returns ErrHeld. It takes over a lease that was not released only after this leaser has seen
// the row unchanged for a whole term plus the margin, because the wall clocks of two instances may differ or jump.
func (l *Leaser) Acquire(ctx context.Context, name string) (*Lease, error) {
	rec, version, err := l.readRow(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("leaser: acquire %s: %w", name, err)
	}
	if rec.Holder != "" && !l.expired(name, rec, version) {
		return nil, fmt.Errorf("%w: %s by %s", ErrHeld, name, rec.Holder)
	}
	// The term is counted from before the write, so it ends for the holder before it ends for any other instance.
	startedAt := l.now()
	next := l.newRecord(rec.Token + 1)
	writtenVersion, err := l.table.Put(ctx, rowKey(name), version, next)
	if errors.Is(err, storer.ErrUnknownOutcome) || errors.Is(err, storer.ErrConflict) {
		writtenVersion, err = l.resolve(ctx, name, next.Token, err)
	}
	if errors.Is(err, storer.ErrConflict) {
		return nil, fmt.Errorf("%w: %s was taken concurrently", ErrHeld, name)
	}
	if err != nil {
		return nil, fmt.Errorf("leaser: acquire %s: %w", name, err)
	}
	le := &Lease{leaser: l, name: name, token: next.Token, version: writtenVersion, deadline: startedAt.Add(l.term)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[name] = le
	l.acquired.Add(1)
	return le, nil
}

func (l *Leaser) newRecord(token uint64) Record {
	grantedAt := l.wallNow().Round(0)
	return Record{Holder: l.holder, Token: token, GrantedAt: grantedAt, Deadline: grantedAt.Add(l.term)}
}

// resolve reads the row to find out whether this holder's write with the token took effect; it returns the version of the
// row if it did, and cause if it did not.
func (l *Leaser) resolve(ctx context.Context, name string, token uint64, cause error) (uint64, error) {
	rec, version, err := l.readRow(ctx, name)
	if err != nil {
		return 0, err
	}
	if rec.Holder == l.holder && rec.Token == token {
		return version, nil
	}
	return 0, cause
}

// expired reports whether this leaser has seen the row unchanged for its term plus the margin.
func (l *Leaser) expired(name string, rec Record, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.observed[name]
	if !ok || s.version != version {
		l.observed[name] = observation{version: version, firstSeenAt: l.now()}
		return false
	}
	return l.now().Sub(s.firstSeenAt) >= rec.Deadline.Sub(rec.GrantedAt)+l.margin
}

// RunWithLease acquires the lease, runs f under it with a context that ends with the term, and acquires it anew after the
// lease was lost or f returned nil, until ctx ends. It releases the lease after f and returns the error of f, or nil once
// ctx has ended.
func (l *Leaser) RunWithLease(ctx context.Context, name string, f func(context.Context, *Lease) error) error {
	for ctx.Err() == nil {
		le, err := l.Acquire(ctx, name)
		if err != nil {
			if l.sleep(ctx, l.term/4) != nil {
				return nil //nolint:nilerr // The end of ctx is the planned end.
			}
			continue
		}
		if err := l.runAndRenew(ctx, le, f); err != nil && !errors.Is(err, ErrLost) && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// runAndRenew runs f under a lease, which it renews four times per term and releases at the end; it returns ErrLost if the
// lease was lost.
func (l *Leaser) runAndRenew(ctx context.Context, le *Lease, f func(context.Context, *Lease) error) error {
	termCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() {
		done <- f(termCtx, le)
		cancel(nil)
	}()
	for le.Valid() && l.sleep(termCtx, l.term/4) == nil {
		// A failed renewal is retried until the term ends.
		if err := le.Renew(termCtx); errors.Is(err, ErrLost) {
			break
		}
	}
	if !le.Valid() {
		cancel(ErrLost)
	}
	err := <-done
	le.Release(ctx)
	if errors.Is(context.Cause(termCtx), ErrLost) {
		return ErrLost
	}
	return err
}

// Counters returns the numbers of leases acquired, lost and renewed.
func (l *Leaser) Counters() map[string]int64 {
	return map[string]int64{
		"leases-acquired": l.acquired.Load(), "leases-lost": l.lost.Load(), "leases-renewed": l.renewed.Load(),
	}
}

// LeaseState is the state dump of one lease.
type LeaseState struct {
	Name     string    `json:"name"`
	Token    uint64    `json:"token"`
	Deadline time.Time `json:"deadline"`
	Valid    bool      `json:"valid"`
}

// State returns a []LeaseState of the leases that this leaser holds.
func (l *Leaser) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]LeaseState, 0, len(l.held))
	for name, le := range l.held {
		list = append(list, LeaseState{Name: name, Token: le.token, Deadline: le.Deadline(), Valid: le.Valid()})
	}
	return list
}
