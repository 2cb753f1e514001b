package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/siskinfront/siskinfront/buffer"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// rolloutLease names the lease of the process that judges roll-outs.
	rolloutLease = "rollouts"
	// judgeInterval is how often the holder decides.
	judgeInterval = time.Second
	// holderInterval is how often an entry looks up who the holder is.
	holderInterval = 10 * time.Second
	// forwardInterval is how often an entry of a small deployment sends observations to the holder.
	forwardInterval = time.Second
	// ForwardSpread bounds the calls per second that the holder receives: with 330 entries each sends every 66 s.
	ForwardSpread = 5
	// pendingObservations bounds the observations of one interval; further ones are not counted.
	pendingObservations = 2048
)

// rollouts sends what this entry observes to the lease holder, and judges while it is the holder itself.
type rollouts struct {
	e        *Entry
	promoter *promoter.Promoter
	pending  *buffer.Ring[promoter.Observation]
	sample   *sampler
}

func newRollouts(e *Entry) *rollouts {
	return &rollouts{
		e: e, promoter: promoter.New(promoter.Chart()), pending: buffer.NewRing[promoter.Observation](pendingObservations),
		sample: newSampler(ObservationRate, e.entryCount),
	}
}

// observe queues an observation if its model has a roll-out under way, which spares the holder the others.
func (r *rollouts) observe(o promoter.Observation) {
	cfg := r.e.distributor.Current()
	m := cfg.Model(o.Target.Model)
	if m == nil || len(m.Versions) < 2 {
		return
	}
	if !r.sample.allow(o.At) {
		return
	}
	// What does not fit is evidence lost, never evidence invented.
	_ = r.pending.Offer(o)
}

func (r *rollouts) receive(list []promoter.Observation) {
	for i := range list {
		r.promoter.Observe(list[i])
	}
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

// forward sends observations to the holder.
func (r *rollouts) forward(ctx context.Context) error {
	var (
		holder           identifier.Instance
		lookupAt, sendAt time.Time
	)
	return every(ctx, forwardInterval, func(ctx context.Context) {
		if now := time.Now(); !now.Before(lookupAt) {
			if name, err := r.holder(ctx); err == nil {
				holder = name
			}
			lookupAt = now.Add(holderInterval)
		}
		now := time.Now()
		if now.Before(sendAt) {
			return
		}
		sendAt = now.Add(max(forwardInterval, time.Duration(r.e.entryCount())*time.Second/ForwardSpread))
		list := r.drain()
		switch {
		case len(list) == 0 || holder == "":
		case holder == r.e.settings.Instance:
			r.receive(list)
		default:
			// Lost observations slow a roll-out down; they do not mislead it.
			_ = tell(r.e.peers, holder, methodObservations, list)
		}
	})
}

func (r *rollouts) drain() []promoter.Observation {
	n := r.pending.Len()
	list := make([]promoter.Observation, 0, n)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range n {
		o, err := r.pending.Take(ctx)
		if err != nil {
			break
		}
		list = append(list, o)
	}
	return list
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
