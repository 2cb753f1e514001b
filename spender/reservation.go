package spender

import (
	"fmt"
	"math"
)

// Reservation is an amount set aside for one request; the zero value reserves nothing.
type Reservation struct {
	spender *Spender
	share   *share
	amount  float64
	settled *bool
}

// Reserve sets aside the highest possible cost of a request. It returns ErrHardLimit if the period has a hard limit and the
// current share does not suffice. It never waits for the ledger, and waits for the witness of the share only if the ceiling is
// too low.
func (s *Spender) Reserve(amount float64) (Reservation, error) {
	if math.IsNaN(amount) || amount < 0 {
		return Reservation{}, fmt.Errorf("spender: reserve %v: amount is negative or not a number", amount)
	}
	spend := &s.cfg().Spend
	limited := spend.HardLimit > 0
	s.mu.Lock()
	s.largestReservation = max(s.largestReservation*largestReservationDecay, amount)
	c := s.current
	usable := c != nil && s.now().Before(c.Deadline) && c.free() >= amount
	if c == nil || c.free()-amount < lowWaterFraction*c.Amount {
		s.signal()
	}
	covered := true
	if usable {
		c.reserved += amount
		c.inFlight++
		covered = c.withinCeiling()
		if c.needsHigherCeiling(ceilingHeadroom(spend)) {
			s.signal()
		}
	}
	s.mu.Unlock()
	if !covered && !s.ensureCovered(c) {
		s.mu.Lock()
		c.reserved -= amount
		c.inFlight--
		s.mu.Unlock()
		usable = false
		s.signal()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !usable && limited {
		s.counters.refused++
		return Reservation{}, ErrHardLimit
	}
	s.counters.reserved++
	r := Reservation{spender: s, amount: amount, settled: new(bool)}
	if usable {
		r.share = c
	}
	return r, nil
}

// signal makes Run take its next step at once; it does not block.
func (s *Spender) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Settle replaces the reserved amount by the actual cost; a second call has no effect. An actual cost above the reserved amount
// is recorded in full, because the provider bills it, and counted as an overrun.
func (r Reservation) Settle(actual float64) {
	s := r.spender
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if *r.settled {
		return
	}
	*r.settled = true
	actual = max(actual, 0)
	if actual > r.amount {
		s.counters.overruns++
	}
	if r.share == nil {
		s.unleased += actual
		return
	}
	r.share.reserved -= r.amount
	r.share.inFlight--
	r.share.spent += actual
}
