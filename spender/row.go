package spender

import (
	"context"
	"encoding/json"
	"time"
)

// Table is the access to the platform's table. Read returns a nil value and version 0 for a missing row. Write applies all rows
// if none of them has changed, and returns ErrConflict otherwise; after any other error the write may or may not have taken
// effect.
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

// Row is the value of spend/{period}/{data-centre}. The sum of Limit over the rows of a period never exceeds the hard limit, and
// Spent plus the amounts of all Leases never exceeds Limit; with Unlimited set, Limit is 0 and does not apply.
type Row struct {
	Limit     float64 `json:"limit"`
	Unlimited bool    `json:"unlimited"`
	// Committed is the part of the commitment that this data centre may grant.
	Committed float64 `json:"committed"`
	// Revision is the configuration from which BaseLimit and BaseCommitted, the equal parts of all data centres, were computed; a
	// newer configuration changes Limit and Committed by the difference.
	Revision      uint64  `json:"revision"`
	BaseLimit     float64 `json:"base-limit"`
	BaseCommitted float64 `json:"base-committed"`
	// Spent is the sum of the settled shares and of the expired ones that were never returned.
	Spent  float64 `json:"spent"`
	Leases []Lease `json:"leases"`
}

// Lease is a share that is not settled. It counts as spent in full until its holder returns it; the witness of the share may
// lower its amount to the most that the holder can have spent. The deadline only ends the holder's right to make new
// reservations, so that skewed clocks cannot free an amount twice.
type Lease struct {
	ID       string    `json:"id"`
	Amount   float64   `json:"amount"`
	Deadline time.Time `json:"until"`
}

// granted returns the amount spent plus the amounts of all leases.
func (r *Row) granted() float64 {
	sum := r.Spent
	for _, l := range r.Leases {
		sum += l.Amount
	}
	return sum
}
