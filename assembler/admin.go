package assembler

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/authenticator"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
)

// adminStore returns the store through which the administration API reads and commits the configuration in the table.
func (e *Entry) adminStore() administrator.Store {
	return administrator.Store{
		Load: func(ctx context.Context) (*configurer.Configuration, error) {
			// Reads the table instead of the local copy, which may still lack a change that the operator has just made.
			if err := e.distributor.Read(ctx); err != nil {
				return nil, err
			}
			return e.distributor.Current(), nil
		},
		Commit: func(ctx context.Context, base uint64, next *configurer.Configuration, by string) (uint64, error) {
			revision, err := committer.Commit(ctx, e.table, base, next, by)
			if errors.Is(err, committer.ErrConflict) {
				return 0, fmt.Errorf("%w: %w", administrator.ErrConflict, err)
			}
			if err == nil {
				// Updates the local copy at once. An error is harmless: the distributor of each process reads the table anyway.
				_ = e.distributor.Read(ctx)
			}
			return revision, err
		},
		History: e.history,
	}
}

// errAdminExposed is returned for settings under which operator keys would cross a network without TLS.
var errAdminExposed = errors.New("assembler: the administration API needs TLS or admin.allow-plain on an address that is not loopback")

// loadAdminTLS loads the certificate of the administration API. It fails if the API would be exposed without TLS.
func (e *Entry) loadAdminTLS(s *configurer.EntrySettings) error {
	if s.AdminExposed() {
		return fmt.Errorf("%w: %s", errAdminExposed, s.AdminAddress)
	}
	if s.Admin.Certificate == "" {
		return nil
	}
	t, err := authenticator.LoadServerTLS(s.Admin.Certificate, s.Admin.Key)
	if err != nil {
		return fmt.Errorf("assembler: load certificate of the administration API of %s: %w", s.Instance, err)
	}
	e.adminTLS = t
	return nil
}

// history returns the changes, newest first, each with the configuration after it. It starts from the current items and
// undoes one change after another.
func (e *Entry) history(ctx context.Context) ([]administrator.Change, error) {
	if err := e.distributor.Read(ctx); err != nil {
		return nil, err
	}
	changes, err := committer.History(ctx, e.table)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(changes, func(a, b committer.Change) int { return int(b.Revision) - int(a.Revision) })
	items := map[string]committer.Item{}
	for _, it := range e.distributor.Since(0).Items {
		items[it.Key] = it
	}
	out := make([]administrator.Change, 0, len(changes))
	for _, c := range changes {
		cfg, err := committer.DecodeItems(c.Revision, items)
		if err != nil {
			return nil, err
		}
		out = append(out, administrator.Change{Revision: c.Revision, By: c.By, At: c.At, Configuration: cfg})
		for _, it := range c.Before {
			items[it.Key] = it
		}
	}
	return out, nil
}
