package pinner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// defaultExpiry is the time without use after which a session is forgotten.
	defaultExpiry = 30 * time.Minute
	// flushInterval bounds the pins that are lost with their owner.
	flushInterval = 5 * time.Second
	// sweepInterval is the time between two searches for expired sessions.
	sweepInterval = time.Minute
	// maxPins bounds the sessions of one owner; at about 300 bytes each they take 30 MB.
	maxPins = 100_000
	// maxPending bounds the pins that are not yet written.
	maxPending = 10_000
	// maxBatch bounds the pins of one write; a row of the table takes about 64 KB.
	maxBatch = 256
	// askTime bounds the question to the owner.
	askTime = 500 * time.Millisecond
)

// ErrNotOwner is returned by Answer on an instance that does not own the session.
var ErrNotOwner = errors.New("pinner: session belongs to another instance")

// Question asks the owner of a session for its version.
type Question struct {
	ClientAccount identifier.ClientAccount `json:"client-account"`
	Session       identifier.Session       `json:"session"`
	Proposed      identifier.Target        `json:"proposed"`
	// Revision is the configuration under which the version was proposed.
	Revision uint64 `json:"revision"`
}

// Pin is one session with its version.
type Pin struct {
	ClientAccount identifier.ClientAccount `json:"client-account"`
	Session       identifier.Session       `json:"session"`
	Target        identifier.Target        `json:"target"`
	Revision      uint64                   `json:"revision"`
	// StartedAt is the time of the first request of the session.
	StartedAt time.Time `json:"began"`
	// LastUsedAt is the time of the last request of the session; a written pin is at most half of the expiry behind.
	LastUsedAt time.Time `json:"used"`
}

type key struct {
	account identifier.ClientAccount
	session identifier.Session
}

// stored is a pin with the time at which it was last queued to be written.
type stored struct {
	Pin
	queued time.Time
}

// Pinner maps sessions to versions; it is safe for concurrent use.
type Pinner struct {
	now           func() time.Time
	self          identifier.Instance
	instances     func() []identifier.Instance
	ask           func(ctx context.Context, owner identifier.Instance, q Question) (identifier.Target, error)
	write         func(ctx context.Context, batch []Pin) error
	read          func(ctx context.Context, shard int) ([]Pin, error)
	configuration func() *configurer.Configuration
	expiry        time.Duration

	pinned, asked, derived, dropped, restored, failedReads atomic.Int64

	mu      sync.Mutex
	pins    map[key]*stored
	pending []Pin
	// flushing has room for one flush, since each drops as many pins as it wrote.
	flushing chan struct{}
	shards   [Shards]shard
	// seen are the instances for which owned lists the own shards.
	seen  []identifier.Instance
	owned []int
}

// Option configures a Pinner.
type Option func(*Pinner)

// New returns a pinner that owns every session unless WithInstances names others.
func New(opts ...Option) *Pinner {
	p := &Pinner{
		now:           time.Now,
		instances:     func() []identifier.Instance { return nil },
		write:         func(context.Context, []Pin) error { return nil },
		configuration: func() *configurer.Configuration { return nil },
		expiry:        defaultExpiry,
		pins:          map[key]*stored{},
		flushing:      make(chan struct{}, 1),
		read:          func(context.Context, int) ([]Pin, error) { return nil, nil },
	}
	p.ask = func(context.Context, identifier.Instance, Question) (identifier.Target, error) {
		return identifier.Target{}, ErrNotOwner
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(p *Pinner) { p.now = now }
}

// WithInstances sets the own name and the source of the live entries of the region.
func WithInstances(self identifier.Instance, live func() []identifier.Instance) Option {
	return func(p *Pinner) { p.self, p.instances = self, live }
}

// WithAsk sets the question to another owner, which answers with Answer.
func WithAsk(f func(context.Context, identifier.Instance, Question) (identifier.Target, error)) Option {
	return func(p *Pinner) { p.ask = f }
}

// WithWrite sets the durable write of new pins, which must accept a repeated batch.
func WithWrite(f func(context.Context, []Pin) error) Option {
	return func(p *Pinner) { p.write = f }
}

// WithConfiguration sets the source of the configuration from which versions are derived.
func WithConfiguration(f func() *configurer.Configuration) Option {
	return func(p *Pinner) { p.configuration = f }
}

// WithExpiry sets the time without use after which a session is forgotten.
func WithExpiry(d time.Duration) Option {
	return func(p *Pinner) { p.expiry = d }
}

// Pin returns the version of a session. A new session starts on the version that its hash and the exposures give, or on
// the proposed one if there is none. While the owner cannot be asked, the version is derived without being stored.
func (p *Pinner) Pin(
	ctx context.Context, acc identifier.ClientAccount, s identifier.Session, proposed identifier.Target, cfg uint64,
) (identifier.Target, error) {
	q := Question{ClientAccount: acc, Session: s, Proposed: proposed, Revision: cfg}
	owner := Owner(p.instances(), acc, s)
	if owner == "" || owner == p.self {
		return p.own(ctx, q), nil
	}
	asking, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	t, err := p.ask(asking, owner, q)
	if err == nil {
		p.asked.Add(1)
		return t, nil
	}
	if ctx.Err() != nil {
		return identifier.Target{}, fmt.Errorf("pinner: ask %s: %w", owner, err)
	}
	p.derived.Add(1)
	return p.derive(q), nil
}

// Answer returns the version of a session to another entry, or ErrNotOwner.
func (p *Pinner) Answer(ctx context.Context, q Question) (identifier.Target, error) {
	if owner := Owner(p.instances(), q.ClientAccount, q.Session); owner != "" && owner != p.self {
		return identifier.Target{}, ErrNotOwner
	}
	return p.own(ctx, q), nil
}

// derive returns the version on which the session starts under the configuration in force.
func (p *Pinner) derive(q Question) identifier.Target {
	if cfg := p.configuration(); cfg != nil {
		if t, ok := DeriveVersion(cfg, q.ClientAccount, q.Session, q.Proposed.Model); ok {
			return t
		}
	}
	return q.Proposed
}

// own returns the stored version, or stores the derived one.
func (p *Pinner) own(ctx context.Context, q Question) identifier.Target {
	k := key{q.ClientAccount, q.Session}
	if t, ok := p.find(k); ok {
		return t
	}
	p.restore(ctx, Shard(q.ClientAccount, q.Session))
	if t, ok := p.find(k); ok {
		return t
	}
	now := p.now()
	pin := &stored{Pin: Pin{
		ClientAccount: q.ClientAccount, Session: q.Session, Target: p.derive(q), Revision: q.Revision, StartedAt: now, LastUsedAt: now,
	}}
	p.mu.Lock()
	defer p.mu.Unlock()
	have := p.pins[k]
	if have != nil && now.Sub(have.LastUsedAt) < p.expiry {
		// Another request of the session was first.
		return have.Target
	}
	if have == nil && len(p.pins) >= maxPins {
		p.dropped.Add(1)
		return pin.Target
	}
	p.pins[k] = pin
	p.pinned.Add(1)
	p.queue(pin, now)
	return pin.Target
}

// find returns the version of a session that is known and not expired, and notes its use.
func (p *Pinner) find(k key) (identifier.Target, bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	pin := p.pins[k]
	if pin == nil || now.Sub(pin.LastUsedAt) >= p.expiry {
		return identifier.Target{}, false
	}
	pin.LastUsedAt = now
	if now.Sub(pin.queued) >= p.expiry/2 {
		p.queue(pin, now)
	}
	return pin.Target, true
}

// queue adds a pin to those that are to be written; the caller holds mu.
func (p *Pinner) queue(pin *stored, now time.Time) {
	pin.queued = now
	if len(p.pending) < maxPending {
		p.pending = append(p.pending, pin.Pin)
	} else {
		p.dropped.Add(1)
	}
}

// Restore adds pins that were written. Of two pins of one session, the one with the older revision wins, because that is
// the version on which the session started, unless the session had expired before the other one began.
func (p *Pinner) Restore(pins []Pin) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pin := range pins {
		k := key{pin.ClientAccount, pin.Session}
		have := p.pins[k]
		if now.Sub(pin.LastUsedAt) >= p.expiry+p.expiry/2 || have == nil && len(p.pins) >= maxPins ||
			have != nil && !p.precedes(&pin, &have.Pin) {
			continue
		}
		p.restored.Add(1)
		next := &stored{Pin: pin, queued: pin.LastUsedAt}
		// The last use may be later than the written one by half of the expiry.
		next.LastUsedAt = pin.LastUsedAt.Add(p.expiry / 2)
		if next.LastUsedAt.After(now) {
			next.LastUsedAt = now
		}
		if have != nil && have.LastUsedAt.After(next.LastUsedAt) {
			next.LastUsedAt = have.LastUsedAt
		}
		p.pins[k] = next
	}
}

// precedes reports whether pin a replaces pin b of the same session.
func (p *Pinner) precedes(a, b *Pin) bool {
	switch {
	case a.StartedAt.Sub(b.LastUsedAt) >= p.expiry:
		return true
	case b.StartedAt.Sub(a.LastUsedAt) >= p.expiry:
		return false
	}
	return a.Revision < b.Revision
}

// Run writes new pins in batches and forgets expired ones until ctx ends, and then writes the rest.
func (p *Pinner) Run(ctx context.Context) error {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	take := time.NewTicker(takeStep)
	defer take.Stop()
	for {
		select {
		case <-take.C:
			p.take(ctx)
		case <-flush.C:
			// A failed batch stays pending for the next interval.
			_ = p.Flush(ctx)
		case <-sweep.C:
			p.sweep()
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushInterval)
			defer cancel()
			return p.Flush(last)
		}
	}
}

// Flush writes the pins that are not yet written, after any flush that is in progress.
func (p *Pinner) Flush(ctx context.Context) error {
	select {
	case p.flushing <- struct{}{}:
		defer func() { <-p.flushing }()
	case <-ctx.Done():
		return fmt.Errorf("pinner: wait for the flush in progress: %w", ctx.Err())
	}
	for {
		p.mu.Lock()
		batch := append([]Pin(nil), p.pending[:min(maxBatch, len(p.pending))]...)
		p.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		if err := p.write(ctx, batch); err != nil {
			return fmt.Errorf("pinner: write %d pins: %w", len(batch), err)
		}
		p.mu.Lock()
		p.pending = p.pending[:copy(p.pending, p.pending[len(batch):])]
		p.mu.Unlock()
	}
}

func (p *Pinner) sweep() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, pin := range p.pins {
		if now.Sub(pin.LastUsedAt) >= p.expiry {
			delete(p.pins, k)
		}
	}
}

// Counters returns the totals since the start.
func (p *Pinner) Counters() map[string]int64 {
	return map[string]int64{
		"sessions-pinned": p.pinned.Load(), "owners-asked": p.asked.Load(), "versions-derived": p.derived.Load(),
		"pins-dropped":  p.dropped.Load(),
		"pins-restored": p.restored.Load(), "shard-reads-failed": p.failedReads.Load(),
	}
}

// State is the part of the pinner that the state dump shows.
type State struct {
	Sessions int `json:"sessions"`
	Pending  int `json:"pending"`
}

// State returns a State.
func (p *Pinner) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{Sessions: len(p.pins), Pending: len(p.pending)}
}
