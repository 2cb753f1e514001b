package detector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// Option configures a Detector.
type Option func(*Detector)

// WithSend sets the function that passes a message to the connection of a peer; it must not block.
func WithSend(send func(identifier.Instance, Message)) Option {
	return func(d *Detector) { d.send = send }
}

// WithList sets the function that reads the platform's list of instances.
func WithList(list func(context.Context) ([]storer.Instance, error)) Option {
	return func(d *Detector) { d.fetchList = list }
}

// WithOnChange sets the function that is called after the members changed; it must not block.
func WithOnChange(f func()) Option {
	return func(d *Detector) { d.onChange = f }
}

// WithRevision sets the function that returns the configuration revision for heartbeats.
func WithRevision(f func() uint64) Option {
	return func(d *Detector) { d.revision = f }
}

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option {
	return func(d *Detector) { d.now = now }
}

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option {
	return func(d *Detector) { d.rand = r }
}

// WithTimeouts sets the silence after which a member is suspected, and how long a suspicion that is neither refuted nor
// confirmed lasts before the member counts as dead.
func WithTimeouts(silence, suspicion time.Duration) Option {
	return func(d *Detector) { d.silenceTimeout, d.suspicionTimeout = silence, suspicion }
}

// WithoutLocalHealth makes the detector disregard delays of this process itself when it checks other members.
func WithoutLocalHealth() Option {
	return func(d *Detector) { d.ignoreLocalHealth = true }
}
