package evacuator

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// Claim is what an entry tells another one that starts of an order in effect.
type Claim struct {
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Era and Version are the position of the row.
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
	// Left is how long a held order holds on, or 0 if the order is not held. Clocks of entries differ, so this is no deadline.
	Left time.Duration `json:"left,omitempty"`
}

// Claims returns at most a number of the orders in effect, first those that the store may have lost.
func (e *Evacuator) Claims(most int) []Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	claims := make([]Claim, 0, len(e.orders))
	for name, x := range e.orders {
		c := Claim{DataCentre: name, Era: x.at.Era, Version: x.at.Version}
		if !x.heldUntil.IsZero() {
			// A hold whose time is over ends with the next read of the store.
			c.Left = max(x.heldUntil.Sub(now), 1)
		}
		claims = append(claims, c)
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(-compareBool(a.Left > 0, b.Left > 0), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return claims[:min(len(claims), most)]
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Learn takes over the orders of another entry that this one does not know, which the store may have lost before this entry started. It
// holds them for the time that the other entry states, and at most as long as an order of its own. An order of the present era whose row
// is gone by now was withdrawn.
func (e *Evacuator) Learn(claims []Claim) {
	e.change(func(now time.Time) []Event {
		var events []Event
		for _, c := range claims {
			at := storer.Position{Era: c.Era, Version: c.Version}
			if _, known := e.orders[c.DataCentre]; known || c.DataCentre == "" || at.Era == e.at.Era && !e.at.Before(at) {
				continue
			}
			left := e.hold
			if c.Left > 0 {
				left = min(left, c.Left)
			}
			e.orders[c.DataCentre] = order{at: at, since: now, heldUntil: now.Add(left)}
			e.learned++
			events = append(events, Event{DataCentre: c.DataCentre, Transition: Started, At: at, HeldUntil: now.Add(left)})
		}
		return events
	})
}
