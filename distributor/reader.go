package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/siskinfront/siskinfront/committer"
)

// snapshotKey names the object with the latest snapshot that a reader wrote.
const snapshotKey = "config-snapshot"

// Read brings this process to the head of the table, as its readers do, and passes on what is new.
func (d *Distributor) Read(ctx context.Context) error {
	at := d.now()
	d.reads.Add(1)
	head, _, err := committer.ReadHead(ctx, d.table)
	if err != nil {
		return err
	}
	before := d.Revision()
	if head.Revision <= before {
		d.Apply(Update{Revision: head.Revision, Base: head.Revision, ConfirmedAt: at})
		return nil
	}
	u, err := d.fetch(ctx, head, before)
	if err != nil {
		return err
	}
	u.ConfirmedAt = at
	if d.Apply(u) {
		d.spread(ctx, before)
		d.saveSnapshot(ctx)
	}
	return nil
}

// fetch reads what leads from a revision to the head, with as few calls as that takes.
func (d *Distributor) fetch(ctx context.Context, head committer.Head, before uint64) (Update, error) {
	u := Update{Revision: head.Revision, Base: before}
	switch {
	case head.Revision == before+1:
		u.Items = head.Items
	case before > 0 && head.Revision-before <= maxCatchUp:
		for r := before + 1; r < head.Revision; r++ {
			c, err := committer.ReadChange(ctx, d.table, r)
			if err != nil {
				return Update{}, err
			}
			u.Items = append(u.Items, c.Items...)
		}
		u.Items = append(u.Items, head.Items...)
	default:
		items, whole, _, err := committer.ReadItems(ctx, d.table, head)
		if err != nil {
			return Update{}, err
		}
		u = Update{Revision: whole.Revision}
		for _, it := range items {
			u.Items = append(u.Items, it)
		}
	}
	return u, nil
}

// saveSnapshot is best effort: a reader of a later revision writes the next one.
func (d *Distributor) saveSnapshot(ctx context.Context) {
	if d.objects == nil {
		return
	}
	b, err := json.Marshal(d.Since(0))
	if err == nil {
		err = d.objects.Put(ctx, snapshotKey, b)
	}
	if err != nil {
		d.failures.Add(1)
	}
}

// ErrStaleSnapshot is returned by LoadSnapshot for a snapshot below what is known to exist, or while no peer has
// said what it has although there are peers.
var ErrStaleSnapshot = errors.New("distributor: snapshot may be outdated")

// LoadSnapshot puts the snapshot of the object store into force, for a cold start with the table out.
func (d *Distributor) LoadSnapshot(ctx context.Context) error {
	b, err := d.objects.Get(ctx, snapshotKey)
	if err != nil {
		return fmt.Errorf("distributor: read snapshot: %w", err)
	}
	var u Update
	if err := json.Unmarshal(b, &u); err != nil {
		return fmt.Errorf("distributor: decode snapshot: %w", err)
	}
	d.mu.Lock()
	alone := len(d.members()) <= 1
	stale := u.Revision < d.heard || !d.answered && !alone
	heard := d.heard
	d.mu.Unlock()
	if stale {
		return fmt.Errorf("%w: revision %d, heard of %d", ErrStaleSnapshot, u.Revision, heard)
	}
	d.Apply(u)
	return nil
}

// ReadStep is one step of a reader: it reads the table and, on a cold start with the table out, the snapshot.
func (d *Distributor) ReadStep(ctx context.Context) {
	if d.table == nil || !d.mayRead() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*d.callTime)
	defer cancel()
	err := d.Read(ctx)
	if err != nil {
		d.failures.Add(1)
	}
	if err != nil && d.Current() == nil && d.objects != nil {
		if err := d.LoadSnapshot(ctx); err != nil {
			d.failures.Add(1)
		}
	}
}

// mayRead reports whether this process is a reader, or is drawn to stand in because no reader seems to work: about
// Readers processes of a data centre read at each step, however many are stale.
func (d *Distributor) mayRead() bool {
	members := d.members()
	if d.tree().IsReader(d.self) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Sub(d.confirmed) > staleAfter && d.rand.IntN(max(1, len(members))*standInSteps) < ReadersPerDataCentre
}
