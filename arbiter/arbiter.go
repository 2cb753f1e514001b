package arbiter

import (
	"time"

	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// maxReplaced bounds the replaced configurations that are remembered; the oldest are forgotten.
	maxReplaced = 64
	// oldHoldFactor is how much longer a configuration is held that may be from the copy from which the store has come back: the operator
	// then has not written again yet.
	oldHoldFactor = 4
)

// Candidate is a configuration that the store shows.
type Candidate struct {
	Table *matcher.Table
	// At is the position at which it was written, but in the era in which it was read.
	At storer.Position
	// Digest identifies its contents.
	Digest uint64
	// MayBeOld is set if it may have been written before the store came back from an older copy.
	MayBeOld bool
}

// Decision is what happens with a configuration.
type Decision int

// The decisions.
const (
	// Ignored says that the configuration is in force already, or older than the one in force.
	Ignored Decision = iota
	// InForce says that the configuration comes into force now.
	InForce
	// Held says that the configuration comes into force at a time unless the store shows a newer one by then.
	Held
)

// identity identifies a configuration: after a loss, a revision may be given out again.
type identity struct {
	revision, digest uint64
}

func (c *Candidate) identity() identity {
	return identity{c.Table.Revision, c.Digest}
}

// Arbiter decides on the configurations of one entry. It is not safe for concurrent use.
type Arbiter struct {
	// Hold is how long a configuration with a lower revision is held that was written in a later era than the one in force. The operator
	// may be writing again, in order, all that the store has lost.
	Hold time.Duration

	inForce  *Candidate
	replaced []identity
	held     *Candidate
	heldTill time.Time
}

// Offer decides on a configuration that the store shows. If it is held, Due must be called at the returned time.
//
// A higher revision is always newer, and within an era a lower one is always older. A lower one of a later era is newer, because the
// operator writes on from what the store has kept, unless it is one that was replaced before.
func (a *Arbiter) Offer(c Candidate, now time.Time) (Decision, time.Time) {
	switch {
	case a.inForce == nil || c.Table.Revision > a.inForce.Table.Revision:
		a.putInForce(c)
		return InForce, time.Time{}
	case c.identity() == a.inForce.identity():
		if a.inForce.At.Before(c.At) {
			a.inForce.At = c.At
			a.held = nil
		}
		return Ignored, time.Time{}
	case c.At.Era <= a.inForce.At.Era || a.isReplaced(c.identity()):
		return Ignored, time.Time{}
	case a.held != nil && (c.At.Before(a.held.At) || c.identity() == a.held.identity()):
		return Ignored, time.Time{}
	}
	hold := a.Hold
	if c.MayBeOld {
		hold *= oldHoldFactor
	}
	a.held, a.heldTill = &c, now.Add(hold)
	return Held, a.heldTill
}

// Due returns the configuration that comes into force because it was held until now, or nil.
func (a *Arbiter) Due(now time.Time) *matcher.Table {
	if a.held == nil || now.Before(a.heldTill) {
		return nil
	}
	a.putInForce(*a.held)
	return a.inForce.Table
}

// Claim returns what this entry says of its configuration.
func (a *Arbiter) Claim() Claim {
	if a.inForce == nil {
		return Claim{Starts: true}
	}
	return Claim{Revision: a.inForce.Table.Revision, Digest: a.inForce.Digest}
}

func (a *Arbiter) putInForce(c Candidate) {
	if a.inForce != nil {
		a.replaced = append(a.replaced, a.inForce.identity())
		if len(a.replaced) > maxReplaced {
			a.replaced = a.replaced[1:]
		}
	}
	a.inForce, a.held = &c, nil
}

func (a *Arbiter) isReplaced(x identity) bool {
	for _, r := range a.replaced {
		if r == x {
			return true
		}
	}
	return false
}
