package runner

import (
	"time"

	"github.com/siskinfront/siskinfront/arbiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// configurationHoldShare is the part of the time in which a configuration must be in force for which a lower revision of a later era
	// of the store is held.
	configurationHoldShare = 2
)

// applyConfiguration receives a configuration that the store shows.
func (r *Runner) applyConfiguration(c arbiter.Candidate, err error) {
	if err != nil {
		r.log.Error("configuration rejected", "error", err.Error())
		return
	}
	if !r.inquiry.defers(c) {
		r.offerConfiguration(c)
	}
}

// offerConfiguration puts a configuration into force if it is newer than that in force.
func (r *Runner) offerConfiguration(c arbiter.Candidate) {
	r.arbiterMu.Lock()
	defer r.arbiterMu.Unlock()
	old := r.table.Load()
	decision, at := r.arbiter.Offer(c, time.Now())
	switch decision {
	case arbiter.InForce:
		r.useConfiguration(c.Table, c.At)
	case arbiter.Held:
		r.log.Warn("lower revision of a later era of the store is held", "revision", c.Table.Revision, "at", c.At.String(),
			"in-force", old.Revision, "until", at)
		time.AfterFunc(time.Until(at), func() {
			r.arbiterMu.Lock()
			defer r.arbiterMu.Unlock()
			if t := r.arbiter.Due(time.Now()); t != nil {
				r.useConfiguration(t, c.At)
			}
		})
	case arbiter.Ignored:
		if c.Table.Revision < old.Revision {
			r.log.Warn("older configuration ignored", "revision", c.Table.Revision, "at", c.At.String(), "in-force", old.Revision)
		}
	}
}

func (r *Runner) useConfiguration(t *matcher.Table, at storer.Position) {
	r.cold.configure(t)
	r.table.Store(t)
	r.log.Info("configuration in force", "revision", t.Revision, "at", at.String(), "routes", t.NumRoutes())
}
