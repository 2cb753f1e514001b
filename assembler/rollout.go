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
	// rolloutLease names the lease of the process that judges roll-outs.
	rolloutLease = "rollouts"
	// judgeInterval is how often the holder decides.
	judgeInterval = time.Second
)

// rollouts sends what this entry observes to the lease holder, and judges while it is the holder itself.
type rollouts struct {
	e        *Entry
	promoter *promoter.Promoter
	observer *observer.Observer
}

func newRollouts(e *Entry) *rollouts {
	r := &rollouts{e: e, promoter: promoter.New(promoter.Chart())}
	r.observer = observer.New(e.settings.Instance, e.entryCount,
		observer.WithConfiguration(e.distributor.Current), observer.WithView(e.observerView), observer.WithLeaseHolder(r.holder),
		observer.WithDeliver(r.promoter.Observe),
		observer.WithSend(func(to identifier.Instance, b observer.Batch) error { return tell(e.peers, to, methodObservations, b) }),
	)
	return r
}

// judge decides and commits while this process holds the lease; the commit is conditional on the revision it judged.
func (r *rollouts) judge(ctx context.Context) error {
	return r.e.keepLease(ctx, rolloutLease, judgeInterval, func(ctx context.Context, _ *leaser.Lease) { r.step(ctx) })
}

func (r *rollouts) step(ctx context.Context) {
	cfg := r.e.distributor.Current()
	changes := r.promoter.Decide(cfg)
	if len(changes) == 0 {
		return
	}
	next := apply(cfg, changes)
	revision, err := committer.Commit(ctx, r.e.table, cfg.Revision, next, "promoter")
	if err != nil {
		// An operator's change came first or the table is out; the next step judges anew.
		return
	}
	for _, c := range changes {
		r.e.log.InfoContext(ctx, "roll-out changed", "target", c.Target.String(), "state", c.State,
			"exposure", c.Exposure, "reason", c.Reason, "revision", revision)
	}
}

// apply returns a configuration with the changed versions; cfg is in force and stays as it is.
func apply(cfg *configurer.Configuration, changes []promoter.Change) *configurer.Configuration {
	for _, c := range changes {
		cfg = cfg.WithVersion(c.Target, func(v *configurer.Version) { v.State, v.Exposure = c.State, c.Exposure })
	}
	return cfg
}

// forward sends observations on their way to the holder.
func (r *rollouts) forward(ctx context.Context) error {
	return every(ctx, observer.StepInterval, r.observer.Step)
}

// observerView counts the live entries of the own data centre and the data centres with entries. The relay is the entry
// with the least hash, so that all entries of a data centre agree on it without a lease.
func (e *Entry) observerView() observer.View {
	v := observer.View{Relay: e.settings.Instance}
	least := leaseWeight(methodObservations, v.Relay)
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
		if w := leaseWeight(methodObservations, m.Instance); w < least {
			v.Relay, least = m.Instance, w
		}
	}
	v.DataCentres = len(centres)
	return v
}

func (r *rollouts) holder(ctx context.Context) (identifier.Instance, error) {
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
	return holderOf(rec.Holder), nil
}
