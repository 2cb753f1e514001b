package prober

import "time"

// Option configures a Group.
type Option func(*Group)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(g *Group) { g.now = now } }

// WithDraw sets the source of random numbers from 0 to 1.
func WithDraw(draw func() float64) Option { return func(g *Group) { g.draw = draw } }

// WithOnLoss sets the function that is called with the first member that loses the store.
func WithOnLoss(f func(member string)) Option { return func(g *Group) { g.onLoss = f } }

// WithOnReturn sets the function that is called when the last member that was out has succeeded, with the time of the loss.
func WithOnReturn(f func(member string, since time.Time)) Option {
	return func(g *Group) { g.onReturn = f }
}
