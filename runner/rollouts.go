package runner

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// rolloutStep is the time between two tallies of an entry, and badStep that while the new version shows bad answers. It
	// must have no request 5 s after its 50th bad answer, which leaves room for two lost steps.
	rolloutStep = 1500 * time.Millisecond
	badStep     = 500 * time.Millisecond
	// rolloutCall bounds one call of the store.
	rolloutCall = 700 * time.Millisecond
	// maxRecent bounds the sessions of this entry that a new order takes over.
	maxRecent = 20_000
)

// RolloutStore holds the status, the tallies and the verdict of roll-outs.
type RolloutStore struct {
	Status     func(context.Context, identifier.Service) (promoter.RolloutStatus, int64, error)
	SetStatus  func(context.Context, promoter.RolloutStatus, identifier.Version, string) error
	PutTally   func(context.Context, identifier.Service, promoter.Tally) (int64, error)
	Tallies    func(context.Context, identifier.Service) ([]promoter.Tally, promoter.Verdict, int64, error)
	PutVerdict func(context.Context, identifier.Service, promoter.Verdict) error
}

// rollout is the last order for a service and what is known of it.
type rollout struct {
	order promoter.RolloutOrder
	trial *promoter.TimedRollout
	// known is set once the status was read, verdict once the order has ended, and written once the status says so.
	known, written bool
	verdict        promoter.Verdict
	// clock is the store's clock in milliseconds at readAt.
	clock  int64
	readAt time.Time
	nextAt time.Time
	// bad is the number of bad answers of the new version at the last step.
	bad int64
}

func (r *rollout) storeNow(now time.Time) int64 {
	if r.readAt.IsZero() {
		return 0
	}
	return r.clock + now.Sub(r.readAt).Milliseconds()
}

func (r *rollout) setClock(ms int64, now time.Time) {
	r.clock, r.readAt = ms, now
}

// rollouts carries out the operator's orders.
type rollouts struct {
	store RolloutStore
	entry identifier.Instance
	share float64
	// sessionTime is the time without use after which a session has ended.
	sessionTime time.Duration
	now         func() time.Time
	log         *slog.Logger
	regroup     func()
	sizeOf      func(identifier.Service) int
	recent      *pinner.RecentSessions

	mu       sync.Mutex
	services map[identifier.Service]*rollout
	// rejected are the versions that were rolled back, which a later order does not bring back.
	rejected map[versionOf]bool
	active   map[versionOf]int64
}

// ordered takes an order; one that is already known changes nothing.
func (r *rollouts) ordered(o promoter.RolloutOrder) {
	r.mu.Lock()
	old := r.services[o.Service]
	if old != nil && old.order.Number >= o.Number {
		r.mu.Unlock()
		return
	}
	t := promoter.NewTimedRollout(o, r.entry, r.share, r.sessionTime, r.now())
	t.HoldSessions(r.recent.List(r.now(), maxRecent), r.now())
	r.services[o.Service] = &rollout{order: o, trial: t}
	r.mu.Unlock()
	r.log.Info("roll-out ordered", "service", o.Service, "to", o.To, "duration", o.Duration, "order", o.Number)
	r.regroup()
}

// configure sets the bounds of orders that come later.
func (r *rollouts) configure(share float64, sessionTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share, r.sessionTime = share, sessionTime
}

// group returns the group of a version.
func (r *rollouts) group(s identifier.Service, v identifier.Version) identifier.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.services[s]
	if x == nil {
		return s
	}
	to := v == x.order.To
	switch {
	case !to && r.rejected[versionOf{s, v}]:
		return s + excludedSuffix
	case x.verdict.State == promoter.TimedRolloutSucceeded:
		if to {
			return s
		}
		return s + excludedSuffix
	case x.verdict.State == promoter.TimedRolloutRolledBack && to:
		return s + excludedSuffix
	case to:
		return s + candidateSuffix
	}
	return s
}

// pool returns the group that serves a session.
func (r *rollouts) pool(s identifier.Service, session uint64) identifier.Service {
	now := r.now()
	r.mu.Lock()
	x := r.services[s]
	if x == nil {
		r.mu.Unlock()
		r.recent.Use(session, now)
		return s
	}
	trying, state := x.known && x.verdict.Number == 0, x.verdict.State
	r.mu.Unlock()
	candidate := s + candidateSuffix
	ready := r.sizeOf(candidate) > 0
	if trying {
		if ready && x.trial.UsesNewVersion(session, now) {
			return candidate
		}
		x.trial.HoldSessions([]uint64{session}, now)
	}
	r.recent.Use(session, now)
	if ready && r.sizeOf(s) == 0 && state != promoter.TimedRolloutRolledBack {
		return candidate
	}
	return s
}

// trial returns the trial in progress and whether an upstream has the new version.
func (r *rollouts) trial(s identifier.Service, u *registrar.Upstream) (*promoter.TimedRollout, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.services[s]
	if x == nil {
		return nil, false
	}
	return x.trial, u.Version == x.order.To
}

// versionOf is one version of a service.
type versionOf struct {
	service identifier.Service
	version identifier.Version
}

func (r *rollouts) started(s identifier.Service, u *registrar.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[versionOf{s, u.Version}]++
}

func (r *rollouts) ended(s identifier.Service, u *registrar.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := versionOf{s, u.Version}
	if r.active[k]--; r.active[k] <= 0 {
		delete(r.active, k)
	}
}

// others returns the number of requests at upstreams of a service with other versions than that of an order.
func (r *rollouts) others(o *promoter.RolloutOrder) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for k, active := range r.active {
		if k.service == o.Service && k.version != o.To {
			n += active
		}
	}
	return n
}

func (r *rollouts) observe(x forwarder.Result) {
	if t, candidate := r.trial(x.Service, x.Upstream); t != nil {
		t.Observe(candidate, x.Route, x.Failed, x.TimeToFirstEvent)
	}
}

// known reports whether the state of every order is known.
func (r *rollouts) known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.services {
		if !x.known {
			return false
		}
	}
	return true
}

// run carries out the orders until ctx ends.
func (r *rollouts) run(ctx context.Context) error {
	t := time.NewTicker(badStep / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		for _, x := range r.due() {
			r.step(ctx, x)
		}
	}
}

func (r *rollouts) due() []*rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var due []*rollout
	for _, x := range r.services {
		if !x.written && !now.Before(x.nextAt) {
			x.nextAt = now.Add(rolloutStep)
			if bad := x.trial.BadAnswers(); bad > x.bad {
				x.bad, x.nextAt = bad, now.Add(badStep)
			}
			due = append(due, x)
		}
	}
	return due
}

// step brings one order forward.
func (r *rollouts) step(ctx context.Context, x *rollout) {
	var err error
	switch {
	case !x.known:
		err = r.learn(ctx, x)
	case x.verdict.Number != 0:
		err = r.conclude(ctx, x)
	default:
		err = r.judge(ctx, x)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	r.log.Warn("roll-out step failed", "service", x.order.Service, "to", x.order.To, "order", x.order.Number, "error", err.Error())
	if reason, bad := x.trial.DecideLocally(); bad {
		r.log.Warn("new version stopped on own evidence", "service", x.order.Service, "to", x.order.To, "reason", reason)
	}
}

// learn reads the status of an order, and says that it runs if nobody has.
func (r *rollouts) learn(ctx context.Context, x *rollout) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutCall)
	defer cancel()
	st, clock, err := r.store.Status(ctx, x.order.Service)
	if err != nil {
		return err
	}
	x.setClock(clock, r.now())
	if st.Ends(&x.order) {
		r.end(x, promoter.Verdict{Number: x.order.Number, State: st.State, Reason: "status"}, true)
		return nil
	}
	if st.Number < x.order.Number {
		// Another entry may have said so at the same time.
		if err := r.store.SetStatus(ctx, st, x.order.To, ""); err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	r.mu.Lock()
	x.known = true
	r.mu.Unlock()
	return nil
}

// judge writes the own tally, reads those of all entries, and decides.
func (r *rollouts) judge(ctx context.Context, x *rollout) error {
	ctx, cancel := context.WithTimeout(ctx, 2*rolloutCall)
	defer cancel()
	clock, err := r.store.PutTally(ctx, x.order.Service, x.trial.Tally(x.storeNow(r.now()), r.others(&x.order), r.now()))
	if err != nil {
		return err
	}
	x.setClock(clock, r.now())
	tallies, v, clock, err := r.store.Tallies(ctx, x.order.Service)
	if err != nil {
		return err
	}
	x.setClock(clock, r.now())
	if v.Number == x.order.Number {
		r.end(x, v, false)
		return nil
	}
	before := x.trial.Stage()
	state, reason := x.trial.Decide(tallies, clock, r.now())
	if state != before {
		r.log.Info("roll-out stage", "service", x.order.Service, "to", x.order.To, "order", x.order.Number, "from", before, "state", state,
			"reason", reason, "tallies", len(tallies))
	}
	if !promoter.IsFinal(state) {
		return nil
	}
	row := v.RowVersion
	v = promoter.Verdict{Number: x.order.Number, State: state, Reason: reason, By: string(r.entry), RowVersion: row}
	if err := r.store.PutVerdict(ctx, x.order.Service, v); err != nil {
		return err
	}
	r.end(x, v, false)
	return r.conclude(ctx, x)
}

// end takes the verdict on an order.
func (r *rollouts) end(x *rollout, v promoter.Verdict, written bool) {
	r.mu.Lock()
	x.known, x.verdict, x.written = true, v, written
	k := versionOf{x.order.Service, x.order.To}
	if v.State == promoter.TimedRolloutRolledBack {
		r.rejected[k] = true
	} else {
		delete(r.rejected, k)
	}
	r.mu.Unlock()
	r.log.Info("roll-out ended", "service", x.order.Service, "to", x.order.To, "order", x.order.Number, "state", v.State,
		"reason", v.Reason, "by", v.By)
	r.regroup()
}

// conclude makes sure that the status tells the verdict.
func (r *rollouts) conclude(ctx context.Context, x *rollout) error {
	ctx, cancel := context.WithTimeout(ctx, 2*rolloutCall)
	defer cancel()
	st, _, err := r.store.Status(ctx, x.order.Service)
	if err != nil {
		return err
	}
	if !st.Ends(&x.order) {
		if err := r.store.SetStatus(ctx, st, x.order.To, string(x.verdict.State)); err != nil {
			return err
		}
	}
	r.mu.Lock()
	x.written = true
	r.mu.Unlock()
	return nil
}

// State returns the state of each order.
func (r *rollouts) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := map[identifier.Service]any{}
	for name, x := range r.services {
		s[name] = struct {
			Trial   any              `json:"trial"`
			Verdict promoter.Verdict `json:"verdict"`
		}{x.trial.State(), x.verdict}
	}
	return s
}
