package detector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// Option changes a detector at construction.
type Option func(*Detector)

// WithSend sets how a message is handed to the connection of a peer; it must not block.
func WithSend(send func(identifier.Instance, Message)) Option {
	return func(d *Detector) { d.send = send }
}

// WithList sets the source of the platform's instance list.
func WithList(list func(context.Context) ([]storer.Instance, error)) Option {
	return func(d *Detector) { d.list = list }
}

// WithOnChange sets what is told that the members changed; it must not block.
func WithOnChange(f func()) Option {
	return func(d *Detector) { d.onChange = f }
}

// WithRevision sets the configuration revision that heartbeats carry.
func WithRevision(f func() uint64) Option {
	return func(d *Detector) { d.revision = f }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(d *Detector) { d.now = now }
}

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option {
	return func(d *Detector) { d.rand = r }
}

// WithTimeouts sets after which silence a member is suspected and how long a suspicion lasts until it is final.
func WithTimeouts(missed, suspicion time.Duration) Option {
	return func(d *Detector) { d.missed, d.suspicion = missed, suspicion }
}

// WithoutLocalHealth ignores own delays when it judges others.
func WithoutLocalHealth() Option {
	return func(d *Detector) { d.ignore = true }
}
