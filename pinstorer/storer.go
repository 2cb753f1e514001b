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
	// maxRemovalRows bounds the rows of one removal; at the target load an entry writes about 18 rows in one interval.
	maxRemovalRows = 64
	// maxScheduledRemovals bounds the rows that an entry remembers for removal; the next owner of the shard removes any others.
	maxScheduledRemovals = 20_000
)

// Storer stores the session pins of a region in rows pin/{region}/{shard}/{instance}/{id}. It removes the rows that this process
// has written or read once their pins are no longer needed. The owner of a shard has written or read each of its rows, so that
// the rows of an entry that has stopped are removed too.
type Storer struct {
	table        *storer.Table
	regionPrefix string
	self         identifier.Instance

	mu sync.Mutex
	// removeAt is the time from which each known row may be removed.
	removeAt map[string]time.Time
}

// New returns the storer of the pins of a region for the instance self.
func New(table *storer.Table, region identifier.Region, self identifier.Instance) *Storer {
	return &Storer{table: table, regionPrefix: "pin/" + string(region) + "/", self: self, removeAt: map[string]time.Time{}}
}

func (s *Storer) shardPrefix(n int) string {
	return s.regionPrefix + strconv.Itoa(n) + "/"
}

// Write writes the pins of one interval in one transaction, with one row per shard and keys that are never reused.
func (s *Storer) Write(ctx context.Context, pins []pinner.Pin) error {
	byShard := map[int][]pinner.Pin{}
	for _, x := range pins {
		n := pinner.Shard(x.ClientAccount, x.Session)
		byShard[n] = append(byShard[n], x)
	}
	tx := storer.Transaction{ID: storer.NewID()}
	for n, list := range byShard {
		value, err := json.Marshal(list)
		if err != nil {
			return fmt.Errorf("pinstorer: encode pins of shard %d: %w", n, err)
		}
		key := s.shardPrefix(n) + string(s.self) + "/" + tx.ID
		tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: value})
	}
	// The rows of a write whose outcome is unknown are scheduled for removal as well.
	for _, w := range tx.Writes {
		s.scheduleRemoval(w.Key, time.Now().Add(pinner.RowRetention))
	}
	return s.table.Transact(ctx, tx)
}

// Read returns the pins of a shard, and schedules the removal of their rows.
func (s *Storer) Read(ctx context.Context, n int) ([]pinner.Pin, error) {
	rows, err := s.table.List(ctx, s.shardPrefix(n))
	if err != nil {
		return nil, err
	}
	var pins []pinner.Pin
	for i := range rows {
		var list []pinner.Pin
		if err := json.Unmarshal(rows[i].Value, &list); err != nil {
			return nil, fmt.Errorf("pinstorer: decode %s: %w", rows[i].Key, err)
		}
		var lastUsedAt time.Time
		for _, x := range list {
			if x.LastUsedAt.After(lastUsedAt) {
				lastUsedAt = x.LastUsedAt
			}
		}
		s.scheduleRemoval(rows[i].Key, lastUsedAt.Add(pinner.RowRetention))
		pins = append(pins, list...)
	}
	return pins, nil
}

func (s *Storer) scheduleRemoval(key string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.removeAt[key]; ok || len(s.removeAt) < maxScheduledRemovals {
		s.removeAt[key] = at
	}
}

// Remove deletes some of the rows that are due; after a failed transaction the next call tries again.
func (s *Storer) Remove(ctx context.Context) {
	now := time.Now()
	tx := storer.Transaction{ID: storer.NewID()}
	s.mu.Lock()
	for key, at := range s.removeAt {
		if !now.Before(at) && len(tx.Writes) < maxRemovalRows {
			tx.Writes = append(tx.Writes, storer.Write{Key: key, Delete: true})
		}
	}
	s.mu.Unlock()
	if len(tx.Writes) == 0 || s.table.Transact(ctx, tx) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range tx.Writes {
		delete(s.removeAt, w.Key)
	}
}
