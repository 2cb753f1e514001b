package pinstorer

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// RemovalInterval is the time between two removals of old rows.
	RemovalInterval = 30 * time.Second
	// removalBatch bounds the rows of one removal; an entry of the target writes about 18 in that time.
	removalBatch = 64
	// maxRows bounds the rows whose removal an entry remembers; further ones are left to the next owner of the shard.
	maxRows = 20_000
)

// Storer keeps the session pins of a region in rows pin/{region}/{shard}/{instance}/{id}. It removes the rows that
// this process has written or read once their pins are of no use; the owner of a shard has done one or the other with
// each of its rows, so rows of an entry that died are removed too.
type Storer struct {
	table  *storer.Table
	prefix string
	self   identifier.Instance

	mu sync.Mutex
	// removeAt holds the time of removal of each known row.
	removeAt map[string]time.Time
}

// New returns the rows of a region as the instance self writes and reads them.
func New(t *storer.Table, r identifier.Region, self identifier.Instance) *Storer {
	return &Storer{table: t, prefix: "pin/" + string(r) + "/", self: self, removeAt: map[string]time.Time{}}
}

func (p *Storer) shard(n int) string {
	return p.prefix + strconv.Itoa(n) + "/"
}

// Write writes the pins of one interval in one transaction, as one row per shard whose key never repeats.
func (p *Storer) Write(ctx context.Context, pins []pinner.Pin) error {
	byShard := map[int][]pinner.Pin{}
	for _, x := range pins {
		n := pinner.Shard(x.ClientAccount, x.Session)
		byShard[n] = append(byShard[n], x)
	}
	tx := storer.Transaction{ID: storer.NewID()}
	for n, list := range byShard {
		b, err := json.Marshal(list)
		if err != nil {
			return fmt.Errorf("pinstorer: encode pins of shard %d: %w", n, err)
		}
		key := p.shard(n) + string(p.self) + "/" + tx.ID
		tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: b})
	}
	// The rows of a write with an unknown outcome are removed as well.
	for _, w := range tx.Writes {
		p.remember(w.Key, time.Now().Add(pinner.RowLife))
	}
	return p.table.Transact(ctx, tx)
}

// Read returns the pins of a shard.
func (p *Storer) Read(ctx context.Context, n int) ([]pinner.Pin, error) {
	rows, err := p.table.List(ctx, p.shard(n))
	if err != nil {
		return nil, err
	}
	var pins []pinner.Pin
	for i := range rows {
		var list []pinner.Pin
		if err := json.Unmarshal(rows[i].Value, &list); err != nil {
			return nil, fmt.Errorf("pinstorer: decode %s: %w", rows[i].Key, err)
		}
		var last time.Time
		for _, x := range list {
			if x.LastUsedAt.After(last) {
				last = x.LastUsedAt
			}
		}
		p.remember(rows[i].Key, last.Add(pinner.RowLife))
		pins = append(pins, list...)
	}
	return pins, nil
}

func (p *Storer) remember(key string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.removeAt[key]; ok || len(p.removeAt) < maxRows {
		p.removeAt[key] = at
	}
}

// Remove deletes some of the rows that are due; a failed transaction is repeated by the next step.
func (p *Storer) Remove(ctx context.Context) {
	now := time.Now()
	tx := storer.Transaction{ID: storer.NewID()}
	p.mu.Lock()
	for key, at := range p.removeAt {
		if !now.Before(at) && len(tx.Writes) < removalBatch {
			tx.Writes = append(tx.Writes, storer.Write{Key: key, Delete: true})
		}
	}
	p.mu.Unlock()
	if len(tx.Writes) == 0 || p.table.Transact(ctx, tx) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range tx.Writes {
		delete(p.removeAt, w.Key)
	}
}
