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
	// The margin covers the difference between the rates of two monotonic clocks over one term.
	defaultMargin  = 2 * time.Second
	defaultRelease = 2 * time.Second
)

// Record is the value of the row lease/{name}.
type Record struct {
	// Holder is empty once a lease was released.
	Holder    string    `json:"holder"`
	Token     uint64    `json:"token"`
	GrantedAt time.Time `json:"granted-at"`
	Deadline  time.Time `json:"deadline"`
}

// Leaser acquires leases for one instance, safe for concurrent use.
type Leaser struct {
	table        *storer.Table
	holder       string
	term, margin time.Duration
	releaseTime  time.Duration
	now, wall    func() time.Time
	sleep        func(context.Context, time.Duration) error

	mu   sync.Mutex
	seen map[string]sighting
	held map[string]*Lease

	acquired, lost, renewed atomic.Int64
}

// sighting is when a version of a lease row was first seen on the own clock.
type sighting struct {
	version uint64
	at      time.Time
}

// Option changes a leaser at construction.
type Option func(*Leaser)

// WithNow sets the clock that measures terms; its readings never step.
func WithNow(now func() time.Time) Option {
	return func(l *Leaser) { l.now = now }
}

// WithWall sets the clock whose readings are written into rows for operators; it may step.
func WithWall(wall func() time.Time) Option {
	return func(l *Leaser) { l.wall = wall }
}

// WithSleep replaces the wait between two renewals.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(l *Leaser) { l.sleep = sleep }
}

// WithTerm sets the length of a term and the margin after which another holder may take over.
func WithTerm(term, margin time.Duration) Option {
	return func(l *Leaser) { l.term, l.margin = term, margin }
}

// WithReleaseTimeout sets the time that a release may take.
func WithReleaseTimeout(d time.Duration) Option {
	return func(l *Leaser) { l.releaseTime = d }
}

// New returns a leaser; each process run is a holder of its own, so a restart does not inherit leases.
func New(table *storer.Table, instance identifier.Instance, opts ...Option) *Leaser {
	l := &Leaser{
		table: table, holder: string(instance) + "/" + storer.NewID(), term: defaultTerm, margin: defaultMargin,
		releaseTime: defaultRelease,
		now:         time.Now, wall: time.Now, sleep: storer.Sleep, seen: map[string]sighting{}, held: map[string]*Lease{},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

func key(name string) string { return "lease/" + name }

func (l *Leaser) read(ctx context.Context, name string) (Record, uint64, error) {
	row, err := l.table.Get(ctx, key(name))
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

// Acquire takes the lease or returns ErrHeld; a term of unknown end is taken only after this leaser itself has seen
// the row unchanged for the whole term plus the margin, because wall clocks of two instances may differ or step.
func (l *Leaser) Acquire(ctx context.Context, name string) (*Lease, error) {
	rec, version, err := l.read(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("leaser: acquire %s: %w", name, err)
	}
	if rec.Holder != "" && !l.expired(name, rec, version) {
		return nil, fmt.Errorf("%w: %s by %s", ErrHeld, name, rec.Holder)
	}
	// The term is counted from before the write, so it ends at the holder before it ends for anyone else.
	start := l.now()
	next := l.record(rec.Token + 1)
	written, err := l.table.Put(ctx, key(name), version, next)
	if errors.Is(err, storer.ErrUnknownOutcome) || errors.Is(err, storer.ErrConflict) {
		written, err = l.resolve(ctx, name, next.Token, err)
	}
	if errors.Is(err, storer.ErrConflict) {
		return nil, fmt.Errorf("%w: %s was taken concurrently", ErrHeld, name)
	}
	if err != nil {
		return nil, fmt.Errorf("leaser: acquire %s: %w", name, err)
	}
	le := &Lease{leaser: l, name: name, token: next.Token, version: written, deadline: start.Add(l.term)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[name] = le
	l.acquired.Add(1)
	return le, nil
}

func (l *Leaser) record(token uint64) Record {
	wall := l.wall().Round(0)
	return Record{Holder: l.holder, Token: token, GrantedAt: wall, Deadline: wall.Add(l.term)}
}

// resolve reads whether this holder's write with the token took effect and returns cause if it did not.
func (l *Leaser) resolve(ctx context.Context, name string, token uint64, cause error) (uint64, error) {
	rec, version, err := l.read(ctx, name)
	if err != nil {
		return 0, err
	}
	if rec.Holder == l.holder && rec.Token == token {
		return version, nil
	}
	return 0, cause
}

func (l *Leaser) expired(name string, rec Record, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.seen[name]
	if !ok || s.version != version {
		l.seen[name] = sighting{version: version, at: l.now()}
		return false
	}
	return l.now().Sub(s.at) >= rec.Deadline.Sub(rec.GrantedAt)+l.margin
}

// RunWithLease holds the lease while it can, runs f under it with a context that ends with the term, and releases it when ctx
// ends; it returns the error of f, or nil once ctx has ended.
func (l *Leaser) RunWithLease(ctx context.Context, name string, f func(context.Context, *Lease) error) error {
	for ctx.Err() == nil {
		le, err := l.Acquire(ctx, name)
		if err != nil {
			if l.sleep(ctx, l.term/4) != nil {
				return nil //nolint:nilerr // The end of ctx is the planned end.
			}
			continue
		}
		if err := l.hold(ctx, le, f); err != nil && !errors.Is(err, ErrLost) && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

func (l *Leaser) hold(ctx context.Context, le *Lease, f func(context.Context, *Lease) error) error {
	term, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() {
		done <- f(term, le)
		cancel(nil)
	}()
	for le.Valid() && l.sleep(term, l.term/4) == nil {
		// A failed renewal is repeated until the term ends.
		if err := le.Renew(term); errors.Is(err, ErrLost) {
			break
		}
	}
	if !le.Valid() {
		cancel(ErrLost)
	}
	err := <-done
	le.Release(ctx)
	if errors.Is(context.Cause(term), ErrLost) {
		return ErrLost
	}
	return err
}

// Counters returns the numbers of terms acquired and lost and of renewals.
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

// State returns the leases that this leaser holds.
func (l *Leaser) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]LeaseState, 0, len(l.held))
	for name, le := range l.held {
		list = append(list, LeaseState{Name: name, Token: le.token, Deadline: le.Deadline(), Valid: le.Valid()})
	}
	return list
}
