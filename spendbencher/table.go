package spendbencher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/spender"
)

var errUnavailable = errors.New("spendbencher: table unavailable")

type row struct {
	value   json.RawMessage
	version uint64
}

// fakeTable is a fake of the transactional table with lost replies, outages and partitions between data centres.
type fakeTable struct {
	rng          *rand.Rand
	rows         map[string]row
	losesReplies bool
	unavailable  bool
	partitioned  bool
	reads        int
	writes       int
	// onWrite is called with each row that a transaction writes.
	onWrite func(spender.Row)
}

func (t *fakeTable) accessFrom(self identifier.DataCentre) spender.Table {
	return spender.Table{
		Read: func(_ context.Context, key string) (json.RawMessage, uint64, error) {
			t.reads++
			if t.unavailable || t.partitioned && !strings.HasSuffix(key, "/"+string(self)) {
				return nil, 0, errUnavailable
			}
			return t.rows[key].value, t.rows[key].version, nil
		},
		Write: func(_ context.Context, writes []spender.Write) error {
			t.writes++
			if t.unavailable {
				return errUnavailable
			}
			for _, w := range writes {
				if t.rows[w.Key].version != w.Version {
					return spender.ErrConflict
				}
			}
			for _, w := range writes {
				t.rows[w.Key] = row{w.Value, w.Version + 1}
				var r spender.Row
				if err := json.Unmarshal(w.Value, &r); err != nil {
					return fmt.Errorf("spendbencher: decode %s: %w", w.Key, err)
				}
				t.onWrite(r)
			}
			if t.losesReplies && t.rng.Float64() < 0.1 {
				return errUnavailable
			}
			return nil
		},
	}
}
