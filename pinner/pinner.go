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
	// flushInterval is the time between two writes of new pins, and thus bounds the pins that are lost when their owner crashes.
	flushInterval = 5 * time.Second
	// expiryCheckInterval is the time between two searches for expired sessions.
	expiryCheckInterval = time.Minute
	// maxOwnedPins bounds the sessions of one owner; at about 300 bytes each they take 30 MB.
	maxOwnedPins = 100_000
	// maxPendingPins bounds the pins that are not yet written.
	maxPendingPins = 10_000
	// maxBatchPins bounds the pins of one write; a row of the table can hold about 64 KB.
	maxBatchPins = 256
	// askTimeout bounds the call to the owner of a session.
	askTimeout = 500 * time.Millisecond
)

// ErrNotOwner is returned by Answer on an instance that does not own the session.
var ErrNotOwner = errors.New("pinner: session belongs to another instance")

// VersionRequest is the message by which an entry asks the owner of a session for its version.
type VersionRequest struct {
	ClientAccount identifier.ClientAccount `json:"client-account"`
	Session       identifier.Session       `json:"session"`
	Proposed      identifier.Target        `json:"proposed"`
	// Revision is the configuration under which the version was proposed.
	Revision uint64 `json:"revision"`
}

// Pin records the version of one session.
type Pin struct {
	ClientAccount identifier.ClientAccount `json:"client-account"`
	Session       identifier.Session       `json:"session"`
	Target        identifier.Target        `json:"target"`
	Revision      uint64                   `json:"revision"`
	// StartedAt is the time of the first request of the session.
	StartedAt time.Time `json:"began"`
	// LastUsedAt is the time of the last request of the session; in a written pin it is behind by at most half of the expiry.
	LastUsedAt time.Time `json:"used"`
}

// sessionKey identifies a session by its client account and name.
type sessionKey struct {
	account identifier.ClientAccount
	session identifier.Session
}

// heldPin is a pin in memory with the time at which it was last queued to be written.
type heldPin struct {
	Pin
	queuedAt time.Time
}

// Pinner maps sessions to versions; it is safe for concurrent use.
type Pinner struct {
	now           func() time.Time
	self          identifier.Instance
	instances     func() []identifier.Instance
	ask           func(ctx context.Context, owner identifier.Instance, q VersionRequest) (identifier.Target, error)
	write         func(ctx context.Context, batch []Pin) error
	read          func(ctx context.Context, shard int) ([]Pin, error)
	configuration func() *configurer.Configuration
	expiry        time.Duration

	pinned, asked, derived, dropped, restored, failedReads atomic.Int64

	mu      sync.Mutex
	pins    map[sessionKey]*heldPin
	pending []Pin
	// flushSlot admits one flush at a time, because each flush removes as many pending pins as it wrote.
	flushSlot chan struct{}
	shards    [Shards]shard
	// knownInstances are the instances from which ownedShards was computed.
	knownInstances []identifier.Instance
	ownedShards    []int
}

// Option configures a Pinner.
type Option func(*Pinner)

// New returns a pinner that owns every session unless WithInstances sets the instances.
func New(opts ...Option) *Pinner {
	p := &Pinner{
		now:           time.Now,
		instances:     func() []identifier.Instance { return nil },
		write:         func(context.Context, []Pin) error { return nil },
		configuration: func() *configurer.Configuration { return nil },
		expiry:        defaultExpiry,
		pins:          map[sessionKey]*heldPin{},
		flushSlot:     make(chan struct{}, 1),
		read:          func(context.Context, int) ([]Pin, error) { return nil, nil },
	}
	p.ask = func(context.Context, identifier.Instance, VersionRequest) (identifier.Target, error) {
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

// WithInstances sets the name of this instance and the source of the live entries of the region.
func WithInstances(self identifier.Instance, live func() []identifier.Instance) Option {
	return func(p *Pinner) { p.self, p.instances = self, live }
}

// WithAsk sets the call by which another owner is asked; the owner replies with the result of Answer.
func WithAsk(f func(context.Context, identifier.Instance, VersionRequest) (identifier.Target, error)) Option {
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

// Pin returns the version of a session. A new session starts on the version that its hash and the exposures select, or on the
// proposed one if they select none. While the owner is unreachable, the version is derived but not stored.
func (p *Pinner) Pin(
	ctx context.Context, acc identifier.ClientAccount, s identifier.Session, proposed identifier.Target, revision uint64,
) (identifier.Target, error) {
	q := VersionRequest{ClientAccount: acc, Session: s, Proposed: proposed, Revision: revision}
	owner := Owner(p.instances(), acc, s)
	if owner == "" || owner == p.self {
		return p.pinOwned(ctx, q), nil
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	t, err := p.ask(askCtx, owner, q)
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
func (p *Pinner) Answer(ctx context.Context, q VersionRequest) (identifier.Target, error) {
	if owner := Owner(p.instances(), q.ClientAccount, q.Session); owner != "" && owner != p.self {
		return identifier.Target{}, ErrNotOwner
	}
	return p.pinOwned(ctx, q), nil
}

// derive returns the version on which the session would start under the configuration in force.
func (p *Pinner) derive(q VersionRequest) identifier.Target {
	if cfg := p.configuration(); cfg != nil {
		if t, ok := DeriveVersion(cfg, q.ClientAccount, q.Session, q.Proposed.Model); ok {
			return t
		}
	}
	return q.Proposed
}

// pinOwned returns the stored version of a session that this instance owns, or derives and stores one.
func (p *Pinner) pinOwned(ctx context.Context, q VersionRequest) identifier.Target {
	k := sessionKey{q.ClientAccount, q.Session}
	if t, ok := p.lookUp(k); ok {
		return t
	}
	p.ensureRestored(ctx, Shard(q.ClientAccount, q.Session))
	if t, ok := p.lookUp(k); ok {
		return t
	}
	now := p.now()
	created := &heldPin{Pin: Pin{
		ClientAccount: q.ClientAccount, Session: q.Session, Target: p.derive(q), Revision: q.Revision, StartedAt: now, LastUsedAt: now,
	}}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.pins[k]
	if current != nil && now.Sub(current.LastUsedAt) < p.expiry {
		// A concurrent request of the session has pinned it first.
		return current.Target
	}
	if current == nil && len(p.pins) >= maxOwnedPins {
		p.dropped.Add(1)
		return created.Target
	}
	p.pins[k] = created
	p.pinned.Add(1)
	p.queueWrite(created, now)
	return created.Target
}

// lookUp returns the version of a session that is in memory and not expired, and records its use.
func (p *Pinner) lookUp(k sessionKey) (identifier.Target, bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	pin := p.pins[k]
	if pin == nil || now.Sub(pin.LastUsedAt) >= p.expiry {
		return identifier.Target{}, false
	}
	pin.LastUsedAt = now
	if now.Sub(pin.queuedAt) >= p.expiry/2 {
		p.queueWrite(pin, now)
	}
	return pin.Target, true
}

// queueWrite adds a pin to the pending ones; the caller holds mu.
func (p *Pinner) queueWrite(pin *heldPin, now time.Time) {
	pin.queuedAt = now
	if len(p.pending) < maxPendingPins {
		p.pending = append(p.pending, pin.Pin)
	} else {
		p.dropped.Add(1)
	}
}

// Restore adds pins that were written. Of two pins of one session, the one with the older revision wins, because the session
// started on its version. The exception is a pin that started after the other one had expired: it wins regardless of the
// revision.
func (p *Pinner) Restore(pins []Pin) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pin := range pins {
		k := sessionKey{pin.ClientAccount, pin.Session}
		current := p.pins[k]
		if now.Sub(pin.LastUsedAt) >= p.expiry+p.expiry/2 || current == nil && len(p.pins) >= maxOwnedPins ||
			current != nil && !p.replaces(&pin, &current.Pin) {
			continue
		}
		p.restored.Add(1)
		next := &heldPin{Pin: pin, queuedAt: pin.LastUsedAt}
		// The session may have been used up to half of the expiry later than the written time.
		next.LastUsedAt = pin.LastUsedAt.Add(p.expiry / 2)
		if next.LastUsedAt.After(now) {
			next.LastUsedAt = now
		}
		if current != nil && current.LastUsedAt.After(next.LastUsedAt) {
			next.LastUsedAt = current.LastUsedAt
		}
		p.pins[k] = next
	}
}

// replaces reports whether pin a takes the place of pin b of the same session.
func (p *Pinner) replaces(a, b *Pin) bool {
	switch {
	case a.StartedAt.Sub(b.LastUsedAt) >= p.expiry:
		return true
	case b.StartedAt.Sub(a.LastUsedAt) >= p.expiry:
		return false
	}
	return a.Revision < b.Revision
}

// Run writes new pins in batches, drops expired ones and reads owned shards until ctx ends, and then writes the remaining pins.
func (p *Pinner) Run(ctx context.Context) error {
	flushTicker := time.NewTicker(flushInterval)
	defer flushTicker.Stop()
	expiryTicker := time.NewTicker(expiryCheckInterval)
	defer expiryTicker.Stop()
	readTicker := time.NewTicker(shardReadInterval)
	defer readTicker.Stop()
	for {
		select {
		case <-readTicker.C:
			p.readOwnedShards(ctx)
		case <-flushTicker.C:
			// A failed batch stays pending until the next interval.
			_ = p.Flush(ctx)
		case <-expiryTicker.C:
			p.dropExpired()
		case <-ctx.Done():
			lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushInterval)
			defer cancel()
			return p.Flush(lastCtx)
		}
	}
}

// Flush writes the pending pins; it first waits for a flush in progress.
func (p *Pinner) Flush(ctx context.Context) error {
	select {
	case p.flushSlot <- struct{}{}:
		defer func() { <-p.flushSlot }()
	case <-ctx.Done():
		return fmt.Errorf("pinner: wait for the flush in progress: %w", ctx.Err())
	}
	for {
		p.mu.Lock()
		batch := append([]Pin(nil), p.pending[:min(maxBatchPins, len(p.pending))]...)
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

func (p *Pinner) dropExpired() {
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

// State is the state dump of a pinner.
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
