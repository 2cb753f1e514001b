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

// ErrConflict is returned when another change was accepted first; the configuration is as that change left it.
var ErrConflict = errors.New("committer: another change was accepted first")

const (
	headKey      = "config/head"
	itemPrefix   = "config/item/"
	changePrefix = "config/change/"
	// readAttempts bounds the repeats of a full read that met a concurrent change.
	readAttempts = 5
)

// Head is the value of the row config/head.
type Head struct {
	Revision uint64 `json:"revision"`
	// Items are those that the revision changed, so that a reader one revision behind needs no second call.
	Items []Item `json:"items"`
}

// Change is the value of the row config/change/{revision}.
type Change struct {
	Revision uint64    `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// Undoes is the revision that this change reverts, or 0.
	Undoes uint64 `json:"undoes,omitempty"`
	// Items are the changed parts and Before their values until then.
	Items  []Item `json:"items"`
	Before []Item `json:"before"`
}

// Revisions are written with a fixed width, so that the order of keys is that of revisions.
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

// readAll returns all items at one revision: the head must be the same before and after the list is read.
func readAll(ctx context.Context, t *storer.Table) (map[string]Item, Head, uint64, error) {
	before, _, err := ReadHead(ctx, t)
	if err != nil {
		return nil, Head{}, 0, err
	}
	return ReadItems(ctx, t, before)
}

// ReadItems returns all items at one revision for a caller that has just read the head.
func ReadItems(ctx context.Context, t *storer.Table, before Head) (map[string]Item, Head, uint64, error) {
	for range readAttempts {
		rows, err := t.List(ctx, itemPrefix)
		if err != nil {
			return nil, Head{}, 0, fmt.Errorf("committer: read items: %w", err)
		}
		head, version, err := ReadHead(ctx, t)
		if err != nil {
			return nil, Head{}, 0, err
		}
		if head.Revision != before.Revision {
			before = head
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
	return nil, Head{}, 0, fmt.Errorf("%w: configuration changes during each read", storer.ErrUnavailable)
}

// Commit makes next the configuration if its current revision is base, and returns the new revision; an equal
// configuration returns base. Validation is the caller's.
func Commit(ctx context.Context, t *storer.Table, base uint64, next *configurer.Configuration, by string) (uint64, error) {
	items, head, version, err := readAll(ctx, t)
	if err != nil {
		return 0, err
	}
	if head.Revision != base {
		return head.Revision, fmt.Errorf("%w: base %d, current %d", ErrConflict, base, head.Revision)
	}
	values, err := Split(next)
	if err != nil {
		return 0, err
	}
	c := Change{Revision: base + 1, By: by}
	for _, k := range slices.Sorted(maps.Keys(values)) {
		if !bytes.Equal(items[k].Value, values[k]) {
			c.add(items[k], Item{Key: k, Value: values[k]})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(items)) {
		if _, ok := values[k]; !ok && len(items[k].Value) > 0 {
			c.add(items[k], Item{Key: k})
		}
	}
	if len(c.Items) == 0 {
		return base, nil
	}
	return write(ctx, t, c, version)
}

func (c *Change) add(before, after Item) {
	before.Key = after.Key
	after.Revision = c.Revision
	c.Before = append(c.Before, before)
	c.Items = append(c.Items, after)
}

// write applies a change and, when its outcome is unknown, reads whether it was accepted.
func write(ctx context.Context, t *storer.Table, c Change, headVersion uint64) (uint64, error) {
	c.At = time.Now().Round(0)
	tx := storer.Transaction{ID: storer.NewID(), Conditions: []storer.Condition{{Key: headKey, Version: headVersion}}}
	put := func(key string, v any) error {
		b, err := json.Marshal(v)
		tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: b})
		return err
	}
	err := errors.Join(put(headKey, Head{Revision: c.Revision, Items: c.Items}), put(changeKey(c.Revision), c))
	for _, it := range c.Items {
		// Removed items stay as rows without a value, so that later readers learn of the removal.
		err = errors.Join(err, put(itemPrefix+it.Key, it))
	}
	if err != nil {
		return 0, fmt.Errorf("committer: encode change %d: %w", c.Revision, err)
	}
	err = t.Transact(ctx, tx)
	if errors.Is(err, storer.ErrUnknownOutcome) {
		// The repeat of an ID is recognised; a second unknown outcome is reported as such.
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

// History returns the changes in the order of their revisions.
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

// Undo reverts one change through a new change; ErrConflict if a later change touched one of its items.
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
		c.add(items[before.Key], Item{Key: before.Key, Value: before.Value})
	}
	return write(ctx, t, c, version)
}

// ReadChange returns the change that led to a revision.
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
