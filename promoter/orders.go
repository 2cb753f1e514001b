package promoter

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// rewriteTime is how long after the store's return from an older copy orders that are known already count as written again by the
	// operator, and not as new ones.
	rewriteTime = 10 * time.Second
	// maxPastOrders bounds the orders before the present one that are remembered; the oldest are forgotten.
	maxPastOrders = 16
)

// OrderChange is what a row with an order means for the roll-out of its service.
type OrderChange int

// The meanings of rows with orders.
const (
	// OrderIgnored says that the order is known, or older than the present one.
	OrderIgnored OrderChange = iota
	// OrderNew says that the roll-out of the order begins.
	OrderNew
	// OrderConfirmed says that the present order is in the store in its present era, maybe with another version.
	OrderConfirmed
)

// contents is what identifies an order whose row the operator wrote again.
type contents struct {
	to       identifier.Version
	duration time.Duration
}

func (o *RolloutOrder) contents() contents {
	return contents{o.To, o.Duration}
}

// Orders tells the new orders for one service from those that a store which has come back from an older copy shows again. The zero
// value has seen no order.
type Orders struct {
	present    *RolloutOrder
	past       []contents
	returnedAt time.Time
}

// MarkReturned records that the store has come back from an older copy.
func (x *Orders) MarkReturned(now time.Time) {
	x.returnedAt = now
}

// Offer decides what a row means. mayBeOld is set if it may be from the copy.
func (x *Orders) Offer(o RolloutOrder, mayBeOld bool, now time.Time) OrderChange {
	if x.present == nil {
		x.present = &o
		return OrderNew
	}
	if o.At.Compare(x.present.At) <= 0 {
		return OrderIgnored
	}
	rewritten := !x.returnedAt.IsZero() && now.Sub(x.returnedAt) < rewriteTime
	laterEra := o.At.Era > x.present.At.Era
	switch {
	case (laterEra || rewritten) && o.contents() == x.present.contents():
		x.present.At = o.At
		return OrderConfirmed
	case laterEra && (mayBeOld || rewritten) && x.isPast(o.contents()):
		return OrderIgnored
	}
	x.past = append(x.past, x.present.contents())
	if len(x.past) > maxPastOrders {
		x.past = x.past[1:]
	}
	x.present = &o
	return OrderNew
}

func (x *Orders) isPast(c contents) bool {
	for _, p := range x.past {
		if p == c {
			return true
		}
	}
	return false
}
