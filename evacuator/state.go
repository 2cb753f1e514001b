package evacuator

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// State is the state of one order for the debugging interface.
type State struct {
	DataCentre identifier.DataCentre `json:"data-centre"`
	Since      time.Time             `json:"since"`
	// At is the position of the row.
	At string `json:"at"`
	// HeldUntil is set while the store may have lost the order.
	HeldUntil *time.Time `json:"held-until,omitempty"`
}

// State returns the orders in effect as a list of State.
func (e *Evacuator) State() []State {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]State, 0, len(e.orders))
	for name, x := range e.orders {
		s := State{DataCentre: name, Since: x.since, At: x.at.String()}
		if until := x.heldUntil; !until.IsZero() {
			s.HeldUntil = &until
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// Counters returns the totals since the start.
func (e *Evacuator) Counters() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]int64{
		"orders-started": e.started, "orders-ended": e.ended, "orders-held": e.held, "orders-learned": e.learned,
	}
}
