package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/google/uuid"
)

// Row is one row of the table; Version is the number of the transaction that wrote it and increases monotonically.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"`
}

// Condition requires that a row has the given version; version 0 requires that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Transaction is applied atomically; the table recognises a repeated ID, so a retry does not apply it twice.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// TransactionReply is the table's reply to a transaction.
type TransactionReply struct {
	Version uint64 `json:"version"`
}

// Table is a client of the transactional table, safe for concurrent use.
type Table struct {
	*client
}

// NewTable returns a client of the table at an address.
func NewTable(address netip.AddrPort, opts ...Option) *Table {
	return &Table{newClient(address, opts)}
}

// Get returns a row or ErrNotFound.
func (t *Table) Get(ctx context.Context, key string) (Row, error) {
	return decode[Row](t.call(ctx, exchange{method: http.MethodGet, path: "/table/" + url.PathEscape(key), idempotent: true}))
}

// List returns the rows whose key starts with prefix, in key order.
func (t *Table) List(ctx context.Context, prefix string) ([]Row, error) {
	path := "/table?prefix=" + url.QueryEscape(prefix)
	return decode[[]Row](t.call(ctx, exchange{method: http.MethodGet, path: path, idempotent: true}))
}

// Transact applies a transaction; after ErrUnknownOutcome a retry with the same ID is safe.
func (t *Table) Transact(ctx context.Context, tx Transaction) error {
	_, err := t.Apply(ctx, tx)
	return err
}

// Apply applies a transaction like Transact and returns the version of the written rows.
func (t *Table) Apply(ctx context.Context, tx Transaction) (uint64, error) {
	if tx.ID == "" {
		tx.ID = NewID()
	}
	b, err := json.Marshal(tx)
	if err != nil {
		return 0, fmt.Errorf("storer: encode transaction: %w", err)
	}
	reply, err := decode[TransactionReply](t.call(ctx, exchange{
		method: http.MethodPost, path: "/table/transact", body: b, idempotent: true,
		header: http.Header{"Content-Type": {"application/json"}},
	}))
	return reply.Version, err
}

// Put writes one value if its row has the given version, and returns the new version.
func (t *Table) Put(ctx context.Context, key string, version uint64, value any) (uint64, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("storer: encode %s: %w", key, err)
	}
	return t.Apply(ctx, Transaction{
		Conditions: []Condition{{Key: key, Version: version}}, Writes: []Write{{Key: key, Value: b}},
	})
}

// NewID returns a globally unique ID for a transaction.
func NewID() string {
	return uuid.NewString()
}
