package evacuator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// Change is a change of the operator's row for a data centre.
type Change struct {
	DataCentre identifier.DataCentre
	// At is the position at which the row was written or removed, but in the era in which it was read.
	At storer.Position
	// Withdrawn is set if the row was removed.
	Withdrawn bool
}

// Batch is what one reply of the store shows of the orders.
type Batch struct {
	Changes []Change
	// At is the position of the store.
	At storer.Position
	// All is set if Changes are all rows of the table, and Returned if the store has come back from an older copy since the last batch,
	// so that rows may be missing. Returned is set only with All.
	All, Returned bool
}

// Transition is what has happened to an order.
type Transition int

// The transitions.
const (
	// Started says that the data centre gets no new requests from now on.
	Started Transition = iota
	// Held says that the store may have lost the order, which holds until a time unless the store shows it again or its withdrawal.
	Held
	// Ended says that the data centre may get requests again.
	Ended
)

// Event is a transition of the order for a data centre.
type Event struct {
	DataCentre identifier.DataCentre
	Transition Transition
	// At is the position of the row, which is of an earlier era while the order is held.
	At storer.Position
	// HeldUntil is when a held order ends.
	HeldUntil time.Time
}

// order is an order in effect.
type order struct {
	at    storer.Position
	since time.Time
	// heldUntil is set while the store may have lost the row.
	heldUntil time.Time
}

// Evacuator keeps the orders of one entry; it is safe for concurrent use, and IsEvacuated takes no lock.
type Evacuator struct {
	hold    time.Duration
	now     func() time.Time
	onEvent func(Event)

	evacuated atomic.Pointer[map[identifier.DataCentre]struct{}]

	mu     sync.Mutex
	orders map[identifier.DataCentre]order
	// at is the position up to which the orders are known.
	at storer.Position

	started, ended, held, learned int64
}

// Option configures an Evacuator.
type Option func(*Evacuator)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(e *Evacuator) { e.now = now }
}

// WithOnEvent sets the function that is called after each transition, when IsEvacuated shows it already; calls may overlap.
func WithOnEvent(onEvent func(Event)) Option {
	return func(e *Evacuator) { e.onEvent = onEvent }
}

// New returns an evacuator without orders; hold is how long an order holds that the store may have lost.
func New(hold time.Duration, opts ...Option) *Evacuator {
	e := &Evacuator{hold: hold, now: time.Now, onEvent: func(Event) {}, orders: map[identifier.DataCentre]order{}}
	e.evacuated.Store(&map[identifier.DataCentre]struct{}{})
	for _, o := range opts {
		o(e)
	}
	return e
}

// IsEvacuated reports whether a data centre must get no new requests.
func (e *Evacuator) IsEvacuated(d identifier.DataCentre) bool {
	m := *e.evacuated.Load()
	if len(m) == 0 {
		return false
	}
	_, ok := m[d]
	return ok
}

// Apply applies what the store shows. An order that is missing from all rows was withdrawn, unless the store may have lost it: then it is
// held.
func (e *Evacuator) Apply(b Batch) {
	e.change(func(now time.Time) []Event {
		var events []Event
		isShown := make(map[identifier.DataCentre]bool, len(b.Changes))
		for _, c := range b.Changes {
			if c.DataCentre == "" {
				continue
			}
			isShown[c.DataCentre] = !c.Withdrawn
			x, known := e.orders[c.DataCentre]
			switch {
			case !c.Withdrawn:
				if !known {
					x.since = now
					events = append(events, Event{DataCentre: c.DataCentre, Transition: Started, At: c.At})
				}
				x.at, x.heldUntil = c.At, time.Time{}
				e.orders[c.DataCentre] = x
			case known:
				events = append(events, e.end(c.DataCentre, c.At))
			}
		}
		e.at = b.At
		if !b.All {
			return events
		}
		for name, x := range e.orders {
			switch {
			case isShown[name]:
			case b.Returned:
				// A second return may have lost what the operator wrote again after the first one, so the time begins anew.
				events = append(events, e.holdOrder(name, x, now.Add(e.hold)))
			case x.heldUntil.IsZero():
				events = append(events, e.end(name, x.at))
			}
		}
		return events
	})
}

// EndHolds ends the held orders whose time is over if the store was read since then: a row that was written again in time is then known.
func (e *Evacuator) EndHolds(confirmedAt time.Time) {
	e.change(func(time.Time) []Event {
		var events []Event
		for name, x := range e.orders {
			if !x.heldUntil.IsZero() && !confirmedAt.Before(x.heldUntil) {
				events = append(events, e.end(name, x.at))
			}
		}
		return events
	})
}

// change carries out a change of the orders, publishes the result and reports the events.
func (e *Evacuator) change(f func(now time.Time) []Event) {
	e.mu.Lock()
	events := f(e.now())
	for _, x := range events {
		if x.Transition != Held {
			m := make(map[identifier.DataCentre]struct{}, len(e.orders))
			for name := range e.orders {
				m[name] = struct{}{}
			}
			e.evacuated.Store(&m)
			break
		}
	}
	for _, x := range events {
		switch x.Transition {
		case Started:
			e.started++
		case Held:
			e.held++
		case Ended:
			e.ended++
		}
	}
	e.mu.Unlock()
	for _, x := range events {
		e.onEvent(x)
	}
}

// end removes an order; e.mu is held.
func (e *Evacuator) end(name identifier.DataCentre, at storer.Position) Event {
	delete(e.orders, name)
	return Event{DataCentre: name, Transition: Ended, At: at}
}

// holdOrder holds an order until a time; e.mu is held.
func (e *Evacuator) holdOrder(name identifier.DataCentre, x order, until time.Time) Event {
	x.heldUntil = until
	e.orders[name] = x
	return Event{DataCentre: name, Transition: Held, At: x.at, HeldUntil: until}
}
