package spender

import (
	"fmt"
	"math"
)

// Reservation is an amount set aside for one request; the zero value is a reservation without a share.
type Reservation struct {
	spender *Spender
	share   *share
	amount  float64
	settled *bool
}

// Reserve sets aside the most that a request can cost. It returns ErrHardLimit when the current share does not suffice and
// the period has a hard limit. It never waits for the ledger, and for the witness of the share only while the ceiling is short.
func (s *Spender) Reserve(amount float64) (Reservation, error) {
	if math.IsNaN(amount) || amount < 0 {
		return Reservation{}, fmt.Errorf("spender: reserve %v: amount is negative or not a number", amount)
	}
	spend := &s.cfg().Spend
	limited := spend.HardLimit > 0
	s.mu.Lock()
	s.largest = max(s.largest*largestDecay, amount)
	c := s.current
	usable := c != nil && s.now().Before(c.Deadline) && c.free() >= amount
	if c == nil || c.free()-amount < lowWater*c.Amount {
		s.signal()
	}
	covered := true
	if usable {
		c.reserved += amount
		c.running++
		covered = c.covered()
		if c.low(headroom(spend)) {
			s.signal()
		}
	}
	s.mu.Unlock()
	if !covered && !s.cover(c) {
		s.mu.Lock()
		c.reserved -= amount
		c.running--
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

// signal wakes Run without waiting.
func (s *Spender) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Settle replaces the reserved amount by the actual cost; a second call changes nothing. An actual cost above the reserved
// amount is recorded as it is and counted as an overrun, because the provider bills it.
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
	r.share.running--
	r.share.spent += actual
}
