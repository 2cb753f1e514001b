package spender

import (
	"context"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
)

// grantSize returns the size of the next share: want while enough is left, and towards the end of the commitment and of the limit
// a part of what is left, but at least minGrant.
func grantSize(r *Row, want, minGrant float64) float64 {
	granted, holders := r.granted(), float64(len(r.Leases)+1)
	amount := want
	if left := r.Committed - granted; left > 0 {
		amount = min(amount, max(left*maxGrantFraction/holders, minGrant))
	}
	if !r.Unlimited {
		left := r.Limit - granted
		amount = min(amount, max(left*maxGrantFraction/holders, minGrant), left)
	}
	return amount
}

// transferToOwn moves commitment and limit into own from the data centre with the most left, when own has less left than want or
// less than the reserve for a partition. The returned row must be written in the same transaction. Unreachable rows are left out.
func (l *TableLedger) transferToOwn(
	ctx context.Context, spend *configurer.Spend, own *versionedRow, want float64,
) (*versionedRow, error) {
	granted := own.granted()
	left := own.Committed - granted
	limitLeft := own.Limit - granted
	insufficient := left < want || !own.Unlimited && limitLeft < want
	if !insufficient && left >= reserveFraction*spend.Committed {
		return nil, nil
	}
	source, err := l.largestSurplus(ctx, spend, left >= want && insufficient)
	if err != nil || source == nil {
		return nil, err
	}
	committed, limit := max(0, source.Committed-source.granted()), max(0, source.Limit-source.granted())
	if !insufficient {
		// Only half of the difference moves, so that two rows do not pass the same amount back and forth.
		committed, limit = committed-max(0, left), limit-max(0, limitLeft)
		if committed < want {
			return nil, nil
		}
	}
	// The limit moves together with the commitment, so that the receiver may spend what it received.
	if !insufficient || left < want {
		source.Committed -= committed * transferFraction
		own.Committed += committed * transferFraction
	}
	if !own.Unlimited {
		limit = max(0, limit)
		source.Limit -= limit * transferFraction
		own.Limit += limit * transferFraction
	}
	return source, nil
}

// largestSurplus returns the row of the other data centre with the most commitment left. It compares limits instead if limitOnly
// is set, and for a row that has no commitment left. It returns nil if no reachable row has any left.
func (l *TableLedger) largestSurplus(ctx context.Context, spend *configurer.Spend, limitOnly bool) (*versionedRow, error) {
	var best *versionedRow
	bestSurplus := 0.0
	for _, d := range l.dataCentres {
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
		surplus := other.Committed - other.granted()
		if limitOnly || surplus <= 0 {
			surplus = 0
			if !other.Unlimited {
				surplus = other.Limit - other.granted()
			}
		}
		if surplus > bestSurplus {
			best, bestSurplus = &other, surplus
		}
	}
	return best, nil
}

// foldExpired adds the shares that expired long ago to the spent amount, so that the row stays small.
func (l *TableLedger) foldExpired(r *Row) {
	now := l.now()
	r.Leases = slices.DeleteFunc(r.Leases, func(x Lease) bool {
		expired := now.After(x.Deadline.Add(foldAfter))
		if expired {
			r.Spent += x.Amount
		}
		return expired
	})
}
