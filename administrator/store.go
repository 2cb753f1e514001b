package administrator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
)

// ErrConflict is returned by Commit when the configuration has changed since the base revision.
var ErrConflict = errors.New("administrator: the configuration has changed")

// Change is one revision of the configuration in the history.
type Change struct {
	Revision uint64
	By       string
	At       time.Time
	// Configuration is the whole configuration at this revision.
	Configuration *configurer.Configuration
}

// Store loads and commits the configuration; all fields must be set before the first request.
type Store struct {
	// Load returns the newest configuration.
	Load func(ctx context.Context) (*configurer.Configuration, error)
	// Commit stores next if base is still the newest revision and returns the new revision; otherwise it returns ErrConflict.
	Commit func(ctx context.Context, base uint64, next *configurer.Configuration, by string) (uint64, error)
	// History returns the stored changes, newest first.
	History func(ctx context.Context) ([]Change, error)
}

// maxMemoryChanges limits the history of a store in memory.
const maxMemoryChanges = 1000

// NewMemoryStore returns an in-memory store for tests and the demo; it is safe for concurrent use.
func NewMemoryStore(first *configurer.Configuration, now func() time.Time) Store {
	var mu sync.Mutex
	changes := []Change{{Revision: first.Revision, By: "start", At: now(), Configuration: first.Canonical()}}
	return Store{
		Load: func(context.Context) (*configurer.Configuration, error) {
			mu.Lock()
			defer mu.Unlock()
			return changes[0].Configuration, nil
		},
		Commit: func(_ context.Context, base uint64, next *configurer.Configuration, by string) (uint64, error) {
			mu.Lock()
			defer mu.Unlock()
			if newest := changes[0].Revision; newest != base {
				return 0, fmt.Errorf("%w: the newest revision is %d, the base is %d", ErrConflict, newest, base)
			}
			c := next.Canonical()
			c.Revision = base + 1
			changes = slices.Insert(changes, 0, Change{Revision: c.Revision, By: by, At: now(), Configuration: c})
			changes = changes[:min(len(changes), maxMemoryChanges)]
			return c.Revision, nil
		},
		History: func(context.Context) ([]Change, error) {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(changes), nil
		},
	}
}
