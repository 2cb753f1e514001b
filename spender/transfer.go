package spender

import (
	"context"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
)

// grant returns the size of the next share: all of want while there is plenty, and a part of the rest, but not less than
// floor, towards the end of the commitment and of the limit.
func grant(r *Row, want, floor float64) float64 {
	granted, holders := r.granted(), float64(len(r.Leases)+1)
	amount := want
	if left := r.Committed - granted; left > 0 {
		amount = min(amount, max(left*guidedShare/holders, floor))
	}
	if !r.Unlimited {
		left := r.Limit - granted
		amount = min(amount, max(left*guidedShare/holders, floor), left)
	}
	return amount
}

// donate moves commitment and limit from the data centre with the most to spare into own when own has too little left, or
// less than a reserve for a partition. The returned row must be written in the same transaction. An unreachable row is no donor.
func (l *TableLedger) donate(ctx context.Context, spend *configurer.Spend, own *versioned, want float64) (*versioned, error) {
	granted := own.granted()
	left := own.Committed - granted
	limitLeft := own.Limit - granted
	short := left < want || !own.Unlimited && limitLeft < want
	if !short && left >= reservePart*spend.Committed {
		return nil, nil
	}
	best, err := l.richest(ctx, spend, left >= want && short)
	if err != nil || best == nil {
		return nil, err
	}
	committed, limit := max(0, best.Committed-best.granted()), max(0, best.Limit-best.granted())
	if !short {
		// Evening out moves half of the difference, so that two rows do not pass the same amount to and fro.
		committed, limit = committed-max(0, left), limit-max(0, limitLeft)
		if committed < want {
			return nil, nil
		}
	}
	// A limit moves with the commitment, so that the receiver may spend what it received.
	if !short || left < want {
		best.Committed -= committed * spareShare
		own.Committed += committed * spareShare
	}
	if !own.Unlimited {
		limit = max(0, limit)
		best.Limit -= limit * spareShare
		own.Limit += limit * spareShare
	}
	return best, nil
}

// richest returns the row of another data centre with the most commitment to spare, or the most of the limit if limitOnly is set
// or no commitment is left there; nil means that no reachable row has any.
func (l *TableLedger) richest(ctx context.Context, spend *configurer.Spend, limitOnly bool) (*versioned, error) {
	var best *versioned
	bestSpare := 0.0
	for _, d := range l.all {
		if d == l.self {
			continue
		}
		other, err := l.read(ctx, spend, d)
		if err != nil {
			if ctx.Err() != nil {
				return nil, err
			}
			continue
		}
		spare := other.Committed - other.granted()
		if limitOnly || spare <= 0 {
			spare = 0
			if !other.Unlimited {
				spare = other.Limit - other.granted()
			}
		}
		if spare > bestSpare {
			best, bestSpare = &other, spare
		}
	}
	return best, nil
}

// fold adds long expired shares to the spent amount, so that the row stays small.
func (l *TableLedger) fold(r *Row) {
	now := l.now()
	r.Leases = slices.DeleteFunc(r.Leases, func(x Lease) bool {
		expired := now.After(x.Deadline.Add(foldAfter))
		if expired {
			r.Spent += x.Amount
		}
		return expired
	})
}
