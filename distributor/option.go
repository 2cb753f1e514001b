package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// Option changes a distributor at construction.
type Option func(*Distributor)

// WithSelf names the own instance; it is required.
func WithSelf(self identifier.Instance) Option {
	return func(d *Distributor) { d.self = self }
}

// WithTable sets the table that readers read.
func WithTable(t *storer.Table) Option {
	return func(d *Distributor) { d.table = t }
}

// WithObjects sets the store of the snapshot.
func WithObjects(o *storer.Objects) Option {
	return func(d *Distributor) { d.objects = o }
}

// WithMembers sets the source of the live instances of the own data centre, self included.
func WithMembers(members func() []identifier.Instance) Option {
	return func(d *Distributor) { d.members = members }
}

// WithRemotes sets the source of live instances of other data centres, from which readers pull.
func WithRemotes(remotes func() []identifier.Instance) Option {
	return func(d *Distributor) { d.remotes = remotes }
}

// WithPush sets how an update is handed to the connection of a peer, the method config-changes; it must not wait for
// the reply, because one silent peer would then delay the others.
func WithPush(push func(context.Context, identifier.Instance, Update) error) Option {
	return func(d *Distributor) { d.push = push }
}

// WithPull sets how a peer is asked for what it has beyond a revision, the method config-since.
func WithPull(pull func(context.Context, identifier.Instance, uint64) (Update, error)) Option {
	return func(d *Distributor) { d.pull = pull }
}

// WithOnChange sets what is told of each configuration that comes into force; it must not block.
func WithOnChange(f func(*configurer.Configuration)) Option {
	return func(d *Distributor) { d.onChange = f }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(d *Distributor) { d.now = now }
}

// WithRand sets the random source.
func WithRand(r *rand.Rand) Option {
	return func(d *Distributor) { d.rand = r }
}

// WithSleep replaces the wait between steps.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(d *Distributor) { d.sleep = sleep }
}

// WithIntervals sets the times between two reads of a reader and between two pulls of any process.
func WithIntervals(poll, pull time.Duration) Option {
	return func(d *Distributor) { d.poll, d.pace = poll, pull }
}

// WithCallTimeout sets the time that one exchange with a peer may take.
func WithCallTimeout(limit time.Duration) Option {
	return func(d *Distributor) { d.callTime = limit }
}

// WithAccept replaces the rule that decides which update may replace the revision in force.
func WithAccept(accept func(have uint64, u Update) bool) Option {
	return func(d *Distributor) { d.accept = accept }
}

// forwardOnly accepts what is newer and leaves no gap.
func forwardOnly(have uint64, u Update) bool {
	return u.Revision > have && u.Base <= have
}
