package confirmer

import (
	"time"

	"github.com/siskinfront/siskinfront/pacer"
)

// Option configures a Table.
type Option func(*Table)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(t *Table) { t.now = now } }

// WithPace sets the pace that holds without confirmations.
func WithPace(pace func() pacer.Pace) Option { return func(t *Table) { t.pace = pace } }

// WithRank sets the function that returns the number of entries that precede this one in telling of an event of a table.
func WithRank(rank func(TableID, uint32) int) Option { return func(t *Table) { t.rank = rank } }

// WithNumEntries sets the function that returns the number of entries, this one included.
func WithNumEntries(n func() int) Option { return func(t *Table) { t.numEntries = n } }

// WithTell sets the function that sends a claim, which was true at a time, to all other entries.
func WithTell(tell func(Claim, time.Time)) Option { return func(t *Table) { t.sendClaim = tell } }

// WithDraw sets the source of random numbers from 0 to 1.
func WithDraw(draw func() float64) Option { return func(t *Table) { t.draw = draw } }
