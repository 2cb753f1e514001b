package confirmer

import (
	"time"

	"github.com/siskinfront/siskinfront/storer"
)

// State is the state dump of a table.
type State struct {
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
	// Lowest and Highest bound the version of the last change.
	Lowest  uint64 `json:"last-change-from"`
	Highest uint64 `json:"last-change-to"`
	Round   uint32 `json:"round"`
	// Held is set while a call is held, Long if it waits on the confirmations of others.
	Held bool `json:"held"`
	Long bool `json:"long"`
	// ConfirmedAt is the time as of which the copy is known to be current.
	ConfirmedAt time.Time `json:"confirmed-at"`
	HeardAt     time.Time `json:"heard-at"`
}

// State returns the state of the table.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{
		Era: t.position.Era, Version: t.position.Version, Lowest: t.lowest, Highest: t.highest, Round: t.round,
		Held: t.calling, Long: t.calling && t.long, ConfirmedAt: t.confirmedAt, HeardAt: t.heardAt,
	}
}

// Counters returns the numbers of claims told and heard, of those heard that confirmed, whose age was not known and that named a change
// that this entry lacked, of checks, and of held calls that were given up.
func (t *Table) Counters() map[string]int64 {
	return map[string]int64{
		"claims-told": t.told.Load(), "claims-heard": t.heard.Load(), "claims-confirming": t.confirmed.Load(),
		"claims-unverified": t.unverified.Load(), "claims-ahead": t.behind.Load(), "checks": t.checks.Load(), "given-up": t.givenUp.Load(),
	}
}

// Position returns the position up to which the copy is complete; a check asks for the changes after it.
func (t *Table) Position() storer.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// ConfirmedAt returns the latest time as of which the copy is known to be current.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// earlier returns the earlier of two times, of which a zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func isDue(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}
