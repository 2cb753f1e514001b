package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/siskinfront/siskinfront/committer"
)

// snapshotKey is the key of the object that holds the latest snapshot written by a reader.
const snapshotKey = "config-snapshot"

// Read brings this process to the head revision of the table and pushes what is new to the children in the tree.
func (d *Distributor) Read(ctx context.Context) error {
	startedAt := d.now()
	d.reads.Add(1)
	head, _, err := committer.ReadHead(ctx, d.table)
	if err != nil {
		return err
	}
	base := d.Revision()
	if head.Revision <= base {
		d.Apply(Update{Revision: head.Revision, Base: head.Revision, ConfirmedAt: startedAt})
		return nil
	}
	u, err := d.fetchUpdate(ctx, head, base)
	if err != nil {
		return err
	}
	u.ConfirmedAt = startedAt
	if d.Apply(u) {
		d.pushToChildren(ctx, base)
		d.saveSnapshot(ctx)
	}
	return nil
}

// fetchUpdate reads the changes from the revision base to the head with as few calls as possible.
func (d *Distributor) fetchUpdate(ctx context.Context, head committer.Head, base uint64) (Update, error) {
	u := Update{Revision: head.Revision, Base: base}
	switch {
	case head.Revision == base+1:
		u.Items = head.Items
	case base > 0 && head.Revision-base <= maxCatchUpRevisions:
		for r := base + 1; r < head.Revision; r++ {
			c, err := committer.ReadChange(ctx, d.table, r)
			if err != nil {
				return Update{}, err
			}
			u.Items = append(u.Items, c.Items...)
		}
		u.Items = append(u.Items, head.Items...)
	default:
		items, latest, _, err := committer.ReadItems(ctx, d.table, head)
		if err != nil {
			return Update{}, err
		}
		u = Update{Revision: latest.Revision}
		for _, it := range items {
			u.Items = append(u.Items, it)
		}
	}
	return u, nil
}

// saveSnapshot writes the current items to the object store. It is best effort: the reader of a later revision writes
// the next snapshot.
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

// ErrStaleSnapshot is returned by LoadSnapshot for a snapshot below the highest known revision, or while there are peers
// and none of them has reported its revision.
var ErrStaleSnapshot = errors.New("distributor: snapshot may be outdated")

// LoadSnapshot puts the snapshot of the object store into force, for a cold start while the table is unavailable.
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
	stale := u.Revision < d.highestKnown || !d.peerAnswered && !alone
	highestKnown := d.highestKnown
	d.mu.Unlock()
	if stale {
		return fmt.Errorf("%w: revision %d, highest known %d", ErrStaleSnapshot, u.Revision, highestKnown)
	}
	d.Apply(u)
	return nil
}

// ReadStep reads the table if this process is a reader or a fallback reader; on a cold start while the table is
// unavailable it loads the snapshot.
func (d *Distributor) ReadStep(ctx context.Context) {
	if d.table == nil || !d.shouldRead() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*d.callTimeout)
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

// shouldRead reports whether this process is a reader, or is chosen at random as a fallback reader because its revision
// has not been confirmed for staleAfter, which suggests that no reader works. About ReadersPerDataCentre fallback readers
// of a data centre read in fallbackReadPolls steps, however many processes are stale.
func (d *Distributor) shouldRead() bool {
	members := d.members()
	if d.tree().IsReader(d.self) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Sub(d.confirmedAt) > staleAfter && d.rand.IntN(max(1, len(members))*fallbackReadPolls) < ReadersPerDataCentre
}
