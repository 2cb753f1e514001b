package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// rolloutLease is the name of the lease under which one entry decides on roll-outs.
	rolloutLease = "rollouts"
	// rolloutDecisionInterval is the time between two decisions of the lease holder.
	rolloutDecisionInterval = time.Second
)

// rollouts sends the observations of this entry to the holder of the roll-out lease, and decides on roll-outs while this
// entry holds it.
type rollouts struct {
	e        *Entry
	promoter *promoter.Promoter
	observer *observer.Observer
}

func newRollouts(e *Entry) *rollouts {
	r := &rollouts{e: e, promoter: promoter.New(promoter.Chart())}
	r.observer = observer.New(e.settings.Instance, e.entryCount,
		observer.WithConfiguration(e.distributor.Current), observer.WithView(e.observerView), observer.WithLeaseHolder(r.leaseHolder),
		observer.WithDeliver(r.promoter.Observe),
		observer.WithSend(func(to identifier.Instance, b observer.Batch) error {
			return notifyPeer(e.peers, to, methodObservations, b)
		}),
	)
	return r
}

// decide decides on roll-outs and commits the changes while this process holds the lease. The commit is conditional on the
// revision for which the decision was made.
func (r *rollouts) decide(ctx context.Context) error {
	return r.e.runWithLease(ctx, rolloutLease, rolloutDecisionInterval, func(ctx context.Context, _ *leaser.Lease) { r.step(ctx) })
}

func (r *rollouts) step(ctx context.Context) {
	cfg := r.e.distributor.Current()
	changes := r.promoter.Decide(cfg)
	if len(changes) == 0 {
		return
	}
	changed := applyChanges(cfg, changes)
	revision, err := committer.Commit(ctx, r.e.table, cfg.Revision, changed, "promoter")
	if err != nil {
		// An operator's change was committed first or the table is unavailable; the next step decides again.
		return
	}
	for _, c := range changes {
		r.e.log.InfoContext(ctx, "roll-out changed", "target", c.Target.String(), "state", c.State,
			"exposure", c.Exposure, "reason", c.Reason, "revision", revision)
	}
}

// applyChanges returns a copy of cfg with the changes to its versions. It must not modify cfg, which is in force.
func applyChanges(cfg *configurer.Configuration, changes []promoter.Change) *configurer.Configuration {
	for _, c := range changes {
		cfg = cfg.WithVersion(c.Target, func(v *configurer.Version) { v.State, v.Exposure = c.State, c.Exposure })
	}
	return cfg
}

// forwardObservations sends batches of observations towards the lease holder until ctx ends.
func (r *rollouts) forwardObservations(ctx context.Context) error {
	return every(ctx, observer.StepInterval, r.observer.Step)
}

// observerView returns the number of entries in the local data centre, the number of data centres with entries, and the
// relay. The relay is the entry of the data centre with the lowest hash, so that its entries agree on it without a lease.
func (e *Entry) observerView() observer.View {
	v := observer.View{Relay: e.settings.Instance}
	lowestHash := leaseHash(methodObservations, v.Relay)
	centres := map[identifier.DataCentre]struct{}{}
	for _, m := range e.detector.Members() {
		if m.Role != detector.RoleEntry || m.State == detector.Leaving {
			continue
		}
		centres[m.DataCentre] = struct{}{}
		if m.DataCentre != e.settings.DataCentre {
			continue
		}
		v.Entries++
		if w := leaseHash(methodObservations, m.Instance); w < lowestHash {
			v.Relay, lowestHash = m.Instance, w
		}
	}
	v.DataCentres = len(centres)
	return v
}

func (r *rollouts) leaseHolder(ctx context.Context) (identifier.Instance, error) {
	row, err := r.e.table.Get(ctx, "lease/"+rolloutLease)
	if err != nil {
		return "", err
	}
	var rec leaser.Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return "", err
	}
	if rec.Holder == "" {
		return "", errors.New("assembler: roll-out lease is free")
	}
	return holderInstance(rec.Holder), nil
}
