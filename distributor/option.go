package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// Option configures a distributor.
type Option func(*Distributor)

// WithSelf sets the instance of this process; it is required.
func WithSelf(self identifier.Instance) Option {
	return func(d *Distributor) { d.self = self }
}

// WithTable sets the table that readers read.
func WithTable(t *storer.Table) Option {
	return func(d *Distributor) { d.table = t }
}

// WithObjects sets the object store that holds the snapshot.
func WithObjects(o *storer.Objects) Option {
	return func(d *Distributor) { d.objects = o }
}

// WithMembers sets the source of the live instances of this data centre, self included.
func WithMembers(members func() []identifier.Instance) Option {
	return func(d *Distributor) { d.members = members }
}

// WithRemoteInstances sets the source of the live instances of other data centres, from which readers pull.
func WithRemoteInstances(remotes func() []identifier.Instance) Option {
	return func(d *Distributor) { d.remotes = remotes }
}

// WithPush sets the function that sends an update to a peer with the method config-changes; it must not wait for the
// reply, because one unresponsive peer would then delay the others.
func WithPush(push func(context.Context, identifier.Instance, Update) error) Option {
	return func(d *Distributor) { d.push = push }
}

// WithPull sets the function that asks a peer for the changes after a revision with the method config-since.
func WithPull(pull func(context.Context, identifier.Instance, uint64) (Update, error)) Option {
	return func(d *Distributor) { d.pull = pull }
}

// WithOnChange sets the function that is called with each configuration that comes into force; it must not block.
func WithOnChange(f func(*configurer.Configuration)) Option {
	return func(d *Distributor) { d.onChange = f }
}

// WithNow replaces time.Now as the clock.
func WithNow(now func() time.Time) Option {
	return func(d *Distributor) { d.now = now }
}

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option {
	return func(d *Distributor) { d.rand = r }
}

// WithSleep replaces the function that waits between steps.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(d *Distributor) { d.sleep = sleep }
}

// WithIntervals sets the mean time between two reads of a reader and the time between two pulls of any process.
func WithIntervals(poll, pull time.Duration) Option {
	return func(d *Distributor) { d.pollInterval, d.pullInterval = poll, pull }
}

// WithCallTimeout sets the time that one call to a peer may take.
func WithCallTimeout(limit time.Duration) Option {
	return func(d *Distributor) { d.callTimeout = limit }
}

// WithAccept replaces the rule that decides whether an update may replace the revision in force, given as have.
func WithAccept(accept func(have uint64, u Update) bool) Option {
	return func(d *Distributor) { d.accept = accept }
}

// newerWithoutGap accepts an update that is newer than the revision have and contains all changes since it.
func newerWithoutGap(have uint64, u Update) bool {
	return u.Revision > have && u.Base <= have
}
