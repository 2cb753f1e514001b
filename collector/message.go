package collector

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// MaxCallBytes bounds an encoded call: a tally has at most 1,000 sessions of some 21 bytes, and counts of some kilobytes.
	MaxCallBytes = 128 << 10
	// MaxAnswerBytes bounds an encoded answer; messages of package messenger have at most 4 MiB.
	MaxAnswerBytes = 4<<20 - 4<<10
	// maxMillis bounds the store's clock.
	maxMillis = 1 << 53
)

// ErrInvalid is returned for a call or an answer that no entry sends.
var ErrInvalid = errors.New("collector: invalid message")

// Call is what an entry tells the collector of an order.
type Call struct {
	Order Order          `json:"order"`
	Tally promoter.Tally `json:"tally"`
	// Short says that the entry wants the short interval or knows no time of the next step, and NeedsStatus that it does not know whether the store has a status of the order.
	Short       bool `json:"short"`
	NeedsStatus bool `json:"needs-status"`
}

// Answer is what a collector tells the entries whose calls it held.
type Answer struct {
	// Era and ClockMillis are those of the store as it was read.
	Era         uint64 `json:"era"`
	ClockMillis int64  `json:"clock-ms"`
	// StatusRead says that the store has a status of the order, and StatusWritten that it shows the verdict.
	StatusRead    bool `json:"status-read"`
	StatusWritten bool `json:"status-written"`
	// Verdict is that on the order, nil if there is none.
	Verdict *promoter.Verdict `json:"verdict,omitempty"`
	// Sum is that of all tallies, and Tallies their number; it is nil if the collector did not read them.
	Sum     *promoter.Tally `json:"sum,omitempty"`
	Tallies int             `json:"tallies"`
	// NextMillis is the time until the next step of the collector in milliseconds.
	NextMillis int64 `json:"next-ms"`
}

// Next returns the time until the next step of the collector.
func (a *Answer) Next() time.Duration {
	return time.Duration(a.NextMillis) * time.Millisecond
}

// ParseCall decodes a call; errors match ErrInvalid.
func ParseCall(data []byte) (Call, error) {
	var c Call
	if len(data) > MaxCallBytes {
		return c, fmt.Errorf("%w: call of %d bytes", ErrInvalid, len(data))
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("%w: call: %w", ErrInvalid, err)
	}
	switch {
	case c.Order.Service == "":
		return c, fmt.Errorf("%w: call without a service", ErrInvalid)
	case c.Tally.To != c.Order.To || c.Tally.Number != c.Order.Number:
		return c, fmt.Errorf("%w: call with the tally of another order", ErrInvalid)
	}
	if err := c.Tally.Validate(); err != nil {
		return c, fmt.Errorf("%w: call: %w", ErrInvalid, err)
	}
	return c, nil
}

// ParseAnswer decodes an answer to a call on an order; errors match ErrInvalid.
func ParseAnswer(data []byte, o Order) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("%w: answer: %w", ErrInvalid, err)
	}
	switch {
	case a.ClockMillis < 0 || a.ClockMillis > maxMillis:
		return a, fmt.Errorf("%w: answer with clock %d", ErrInvalid, a.ClockMillis)
	case a.NextMillis < 0 || a.NextMillis > LongInterval.Milliseconds():
		return a, fmt.Errorf("%w: answer with %d ms until the next step", ErrInvalid, a.NextMillis)
	case a.Tallies < 0:
		return a, fmt.Errorf("%w: answer with %d tallies", ErrInvalid, a.Tallies)
	case a.StatusWritten && a.Verdict == nil:
		return a, fmt.Errorf("%w: answer with a status and no verdict", ErrInvalid)
	case !a.StatusRead && a.Verdict == nil && a.Sum == nil:
		return a, fmt.Errorf("%w: empty answer", ErrInvalid)
	case a.Verdict != nil && !a.Verdict.IsOn(o.position()):
		return a, fmt.Errorf("%w: answer with the verdict on another order", ErrInvalid)
	case a.Verdict != nil && !promoter.IsFinal(a.Verdict.State):
		return a, fmt.Errorf("%w: answer with verdict %.40q", ErrInvalid, string(a.Verdict.State))
	case a.Sum != nil && (a.Sum.To != o.To || a.Sum.Number != o.Number):
		return a, fmt.Errorf("%w: answer with the sum of another order", ErrInvalid)
	case a.Sum != nil && a.ClockMillis == 0:
		return a, fmt.Errorf("%w: answer with a sum and no clock", ErrInvalid)
	}
	if a.Sum != nil {
		if err := a.Sum.ValidateSum(); err != nil {
			return a, fmt.Errorf("%w: answer: %w", ErrInvalid, err)
		}
	}
	return a, nil
}

func (o *Order) position() *promoter.RolloutOrder {
	return &promoter.RolloutOrder{Service: o.Service, To: o.To, At: storer.Position{Era: o.Era, Version: o.Number}}
}
