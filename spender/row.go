package spender

import (
	"context"
	"encoding/json"
	"time"
)

// Table is the access to the platform's table. Read returns a nil value and version 0 for a missing row. Write applies all
// rows if none has changed, and reports ErrConflict otherwise; any other error leaves open whether it took effect.
type Table struct {
	Read  func(ctx context.Context, key string) (value json.RawMessage, version uint64, err error)
	Write func(ctx context.Context, rows []Write) error
}

// Write is one conditional write; Version 0 creates the row.
type Write struct {
	Key     string
	Value   json.RawMessage
	Version uint64
}

// Row is the value of spend/{period}/{data-centre}. The sum of Limit over the rows of a period never exceeds the hard
// limit, and Spent plus the amounts of all Leases never exceeds Limit; a Limit of 0 with Unlimited set has no bound.
type Row struct {
	Limit     float64 `json:"limit"`
	Unlimited bool    `json:"unlimited"`
	// Committed is this data centre's part of the commitment.
	Committed float64 `json:"committed"`
	// Revision is the configuration from which BaseLimit and BaseCommitted, the even parts, were taken; a newer
	// configuration moves Limit and Committed by the difference.
	Revision      uint64  `json:"revision"`
	BaseLimit     float64 `json:"base-limit"`
	BaseCommitted float64 `json:"base-committed"`
	// Spent is the sum of settled shares and of expired ones that were not returned.
	Spent  float64 `json:"spent"`
	Leases []Lease `json:"leases"`
}

// Lease is one share that is not settled. It counts as spent in full until its holder returns it; the witness of the share may
// lower its amount to what the holder can have spent. The deadline only ends the holder's right to make new reservations, so
// that skewed clocks cannot free an amount twice.
type Lease struct {
	ID       string    `json:"id"`
	Amount   float64   `json:"amount"`
	Deadline time.Time `json:"until"`
}

// granted returns all that is spent or may be spent by holders.
func (r *Row) granted() float64 {
	sum := r.Spent
	for _, l := range r.Leases {
		sum += l.Amount
	}
	return sum
}
