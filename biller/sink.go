package biller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/siskinfront/siskinfront/storer"
)

// Sink makes batches durable; Write returns storer.ErrConflict if the key exists.
type Sink struct {
	Name  string
	Write func(ctx context.Context, key string, batch []byte) error
}

// TableSink writes each batch as a row.
func TableSink(t *storer.Table) Sink {
	return Sink{Name: "table", Write: func(ctx context.Context, key string, batch []byte) error {
		_, err := t.Put(ctx, key, 0, json.RawMessage(batch))
		return err
	}}
}

// ObjectSink writes each batch as an object.
func ObjectSink(o *storer.Objects) Sink {
	return Sink{Name: "objects", Write: o.Create}
}

// Read returns the union of the bills in the table and in the objects with the given keys.
func Read(ctx context.Context, t *storer.Table, o *storer.Objects, objectKeys []string) ([]Bill, error) {
	rows, err := t.List(ctx, keyPrefix)
	if err != nil {
		return nil, fmt.Errorf("biller: read batches: %w", err)
	}
	batches := make([][]byte, 0, len(rows)+len(objectKeys))
	for _, row := range rows {
		batches = append(batches, row.Value)
	}
	for _, k := range objectKeys {
		b, err := o.Get(ctx, k)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("biller: read %s: %w", k, err)
		}
		batches = append(batches, b)
	}
	decoded := make([][]Bill, len(batches))
	for i, b := range batches {
		if decoded[i], err = DecodeBatch(b); err != nil {
			return nil, err
		}
	}
	return Union(decoded...), nil
}
