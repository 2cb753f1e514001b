package committer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/storer"
)

// ErrConflict is returned when another change was committed first; the rejected change has no effect.
var ErrConflict = errors.New("committer: another change was accepted first")

const (
	headKey      = "config/head"
	itemPrefix   = "config/item/"
	changePrefix = "config/change/"
	// maxReadAttempts is the number of attempts to read all items without a concurrent change.
	maxReadAttempts = 5
)

// Head is the value of the row config/head.
type Head struct {
	Revision uint64 `json:"revision"`
	// Items are the items that the revision changed, so that a reader one revision behind needs no second call.
	Items []Item `json:"items"`
}

// Change is the value of the row config/change/{revision}.
type Change struct {
	Revision uint64    `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// Undoes is the revision that this change reverts, or 0.
	Undoes uint64 `json:"undoes,omitempty"`
	// Items are the changed items with their new values, Before the same items with their previous values.
	Items  []Item `json:"items"`
	Before []Item `json:"before"`
}

// changeKey pads the revision to a fixed width, so that the keys sort by revision.
func changeKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

// ReadHead returns the head and the version of its row, both 0 before the first commit.
func ReadHead(ctx context.Context, t *storer.Table) (Head, uint64, error) {
	row, err := t.Get(ctx, headKey)
	if errors.Is(err, storer.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, fmt.Errorf("committer: read head: %w", err)
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, 0, fmt.Errorf("committer: decode head: %w", err)
	}
	return h, row.Version, nil
}

// readAll returns all items at one revision, the head and the version of its row.
func readAll(ctx context.Context, t *storer.Table) (map[string]Item, Head, uint64, error) {
	before, _, err := ReadHead(ctx, t)
	if err != nil {
		return nil, Head{}, 0, err
	}
	return ReadItems(ctx, t, before)
}

// ReadItems returns all items at one revision, the head and the version of its row, for a caller that has just read
// lastHead. To get a consistent state, it repeats the read until the head is the same before and after it.
func ReadItems(ctx context.Context, t *storer.Table, lastHead Head) (map[string]Item, Head, uint64, error) {
	for range maxReadAttempts {
		rows, err := t.List(ctx, itemPrefix)
		if err != nil {
			return nil, Head{}, 0, fmt.Errorf("committer: read items: %w", err)
		}
		head, version, err := ReadHead(ctx, t)
		if err != nil {
			return nil, Head{}, 0, err
		}
		if head.Revision != lastHead.Revision {
			lastHead = head
			continue
		}
		items := make(map[string]Item, len(rows))
		for _, row := range rows {
			var it Item
			if err := json.Unmarshal(row.Value, &it); err != nil {
				return nil, Head{}, 0, fmt.Errorf("committer: decode %s: %w", row.Key, err)
			}
			items[it.Key] = it
		}
		return items, head, version, nil
	}
	return nil, Head{}, 0, fmt.Errorf("%w: configuration changed during every read", storer.ErrUnavailable)
}

// Commit makes next the configuration if the current revision is base, and returns the new revision, or base if nothing
// changed. The caller validates next.
func Commit(ctx context.Context, t *storer.Table, base uint64, next *configurer.Configuration, by string) (uint64, error) {
	items, head, version, err := readAll(ctx, t)
	if err != nil {
		return 0, err
	}
	if head.Revision != base {
		return head.Revision, fmt.Errorf("%w: base %d, current %d", ErrConflict, base, head.Revision)
	}
	values, err := EncodeItems(next)
	if err != nil {
		return 0, err
	}
	c := Change{Revision: base + 1, By: by}
	for _, k := range slices.Sorted(maps.Keys(values)) {
		if !bytes.Equal(items[k].Value, values[k]) {
			c.addItem(items[k], Item{Key: k, Value: values[k]})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(items)) {
		if _, ok := values[k]; !ok && len(items[k].Value) > 0 {
			c.addItem(items[k], Item{Key: k})
		}
	}
	if len(c.Items) == 0 {
		return base, nil
	}
	return writeChange(ctx, t, c, version)
}

// addItem adds the change of one item from before to after.
func (c *Change) addItem(before, after Item) {
	before.Key = after.Key
	after.Revision = c.Revision
	c.Before = append(c.Before, before)
	c.Items = append(c.Items, after)
}

// writeChange commits a change if the head row still has the version headVersion; if the outcome is unknown, it sends the
// transaction once more under the same ID.
func writeChange(ctx context.Context, t *storer.Table, c Change, headVersion uint64) (uint64, error) {
	c.At = time.Now().Round(0)
	tx := storer.Transaction{ID: storer.NewID(), Conditions: []storer.Condition{{Key: headKey, Version: headVersion}}}
	put := func(key string, v any) error {
		b, err := json.Marshal(v)
		tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: b})
		return err
	}
	err := errors.Join(put(headKey, Head{Revision: c.Revision, Items: c.Items}), put(changeKey(c.Revision), c))
	for _, it := range c.Items {
		// A removed item remains as a row without a value (a tombstone), so that later readers learn of the removal.
		err = errors.Join(err, put(itemPrefix+it.Key, it))
	}
	if err != nil {
		return 0, fmt.Errorf("committer: encode change %d: %w", c.Revision, err)
	}
	err = t.Transact(ctx, tx)
	if errors.Is(err, storer.ErrUnknownOutcome) {
		// The table recognises the repeated ID and does not apply the transaction twice; a second unknown outcome is
		// returned to the caller.
		err = t.Transact(ctx, tx)
	}
	if errors.Is(err, storer.ErrConflict) {
		return 0, fmt.Errorf("%w: revision %d", ErrConflict, c.Revision)
	}
	if err != nil {
		return 0, fmt.Errorf("committer: commit revision %d: %w", c.Revision, err)
	}
	return c.Revision, nil
}

// History returns all changes, ordered by revision.
func History(ctx context.Context, t *storer.Table) ([]Change, error) {
	rows, err := t.List(ctx, changePrefix)
	if err != nil {
		return nil, fmt.Errorf("committer: read history: %w", err)
	}
	list := make([]Change, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &list[i]); err != nil {
			return nil, fmt.Errorf("committer: decode %s: %w", row.Key, err)
		}
	}
	return list, nil
}

// Undo reverts one change by committing a new one; it returns ErrConflict if a later change modified one of its items.
func Undo(ctx context.Context, t *storer.Table, revision uint64, by string) (uint64, error) {
	old, err := ReadChange(ctx, t, revision)
	if err != nil {
		return 0, err
	}
	items, head, version, err := readAll(ctx, t)
	if err != nil {
		return 0, err
	}
	c := Change{Revision: head.Revision + 1, By: by, Undoes: revision}
	for _, before := range old.Before {
		if items[before.Key].Revision != revision {
			return head.Revision, fmt.Errorf("%w: %s changed at revision %d, after %d", ErrConflict, before.Key,
				items[before.Key].Revision, revision)
		}
		c.addItem(items[before.Key], Item{Key: before.Key, Value: before.Value})
	}
	return writeChange(ctx, t, c, version)
}

// ReadChange returns the change that produced a revision.
func ReadChange(ctx context.Context, t *storer.Table, revision uint64) (Change, error) {
	row, err := t.Get(ctx, changeKey(revision))
	if err != nil {
		return Change{}, fmt.Errorf("committer: read change %d: %w", revision, err)
	}
	var c Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Change{}, fmt.Errorf("committer: decode change %d: %w", revision, err)
	}
	return c, nil
}

// ParseETag returns the revision of an entity tag written by ETag.
func ParseETag(tag string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("committer: entity tag %q: %w", tag, err)
	}
	return v, nil
}

// ETag returns the entity tag of a revision.
func ETag(revision uint64) string {
	return strconv.Quote(strconv.FormatUint(revision, 10))
}
