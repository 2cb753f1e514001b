package runner

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// tallyInterval is the time between two tallies of an entry, and badTallyInterval that while the new version returns bad
	// answers or its exposure grows. A bad version must get no requests from 5 s after its 50th bad answer, so two steps may fail.
	tallyInterval    = 1500 * time.Millisecond
	badTallyInterval = 500 * time.Millisecond
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 700 * time.Millisecond
	// maxRecentSessions bounds the recent sessions of this entry that a new order keeps on the former version.
	maxRecentSessions = 20_000
)

// RolloutRecords are the tallies and verdicts of a service that the store holds.
type RolloutRecords struct {
	Tallies  []promoter.Tally
	Verdicts []promoter.Verdict
	// ClockMillis is the store's clock in milliseconds, and Era its era.
	ClockMillis int64
	Era         uint64
}

// RolloutStore reads and writes the status, the tallies and the verdicts of roll-outs in the platform's store.
type RolloutStore struct {
	Status    func(context.Context, identifier.Service) (promoter.RolloutStatus, int64, error)
	SetStatus func(context.Context, promoter.RolloutStatus, identifier.Version, string) error
	PutTally  func(context.Context, identifier.Service, promoter.Tally) (int64, error)
	// PutTallies writes those of several entries.
	PutTallies func(context.Context, identifier.Service, []promoter.Tally) (int64, error)
	Records    func(context.Context, identifier.Service) (RolloutRecords, error)
	// PutVerdict writes a verdict unless there is one on the same order of the same era, and removes old ones.
	PutVerdict func(ctx context.Context, s identifier.Service, v promoter.Verdict, old []promoter.Verdict) error
}

// rollout is the last order for a service and its progress.
type rollout struct {
	order promoter.RolloutOrder
	timed *promoter.TimedRollout
	// statusKnown is set once the status was read from the store, verdict once the order has ended, at endedAt, and statusWritten once the
	// status in the store shows the verdict.
	statusKnown, statusWritten bool
	verdict                    promoter.Verdict
	endedAt                    time.Time
	// statusLost and verdictLost are set while the store may have lost what it held of the status and the verdict, and vouchUntil is the
	// time until which to look for the verdict.
	statusLost, verdictLost bool
	vouchUntil              time.Time
	// settledAt is the time from which this entry may reach a verdict.
	settledAt time.Time
	// storeClockMillis is the store's clock in milliseconds at clockReadAt.
	storeClockMillis int64
	clockReadAt      time.Time
	nextStepAt       time.Time
	// badAnswers is the number of bad answers of the new version at the last step.
	badAnswers int64
	sharedStep
}

// storeNow returns the store's clock in milliseconds, extrapolated from the last reading, or 0 if it was never read.
func (r *rollout) storeNow(now time.Time) int64 {
	if r.clockReadAt.IsZero() {
		return 0
	}
	return r.storeClockMillis + now.Sub(r.clockReadAt).Milliseconds()
}

func (r *rollout) setClock(ms int64, now time.Time) {
	r.storeClockMillis, r.clockReadAt = ms, now
}

// rollouts carries out the operator's roll-out orders.
type rollouts struct {
	store RolloutStore
	entry identifier.Instance
	bound promoter.ExposureBound
	// sessionTime is the time without use after which a session has ended.
	sessionTime    time.Duration
	now            func() time.Time
	log            *slog.Logger
	regroup        func()
	groupSize      func(identifier.Service, matcher.Regions) int
	recentSessions *pinner.RecentSessions

	mu       sync.Mutex
	services map[identifier.Service]*rollout
	orders   map[identifier.Service]*promoter.Orders
	// era is the era of the store since it last came back from an older copy, or 0 if it has not.
	era uint64
	// rolledBack holds the versions that were rolled back; a later order to another version does not return them to service.
	rolledBack     map[serviceVersion]bool
	activeRequests map[serviceVersion]int64
	// learned holds the verdicts that other entries stated while this one started.
	learned map[identifier.Service][]statedVerdict
	// ready is set once the entry was ready; before, run is woken to read the status of an order.
	ready atomic.Bool
	wake  chan struct{}
	// tallies lets the entries step through collectors; nil if each steps for itself.
	tallies *tallySharing
	// isStoreOut reports whether no step is to begin, as its calls would fail; it may be nil.
	isStoreOut func() bool
}

// addOrder starts an order that the store shows, unless it is known. mayBeOld is set if the store may have had it before it came back
// from an older copy.
func (r *rollouts) addOrder(o promoter.RolloutOrder, mayBeOld bool) {
	now := r.now()
	r.mu.Lock()
	if r.orders[o.Service] == nil {
		r.orders[o.Service] = &promoter.Orders{}
	}
	switch r.orders[o.Service].Offer(o, mayBeOld, now) {
	case promoter.OrderIgnored:
		r.mu.Unlock()
		return
	case promoter.OrderConfirmed:
		x := r.services[o.Service]
		before := x.order.At
		x.order.At = o.At
		x.timed.Confirm(o.At)
		r.vouch(x, now)
		r.mu.Unlock()
		r.log.Info("roll-out order written again", "service", o.Service, "to", o.To, "before", before.String(), "order", o.At.String())
		return
	}
	t := promoter.NewTimedRollout(o, r.entry, r.bound, r.sessionTime, now)
	t.HoldSessions(r.recentSessions.List(now, maxRecentSessions), now)
	r.services[o.Service] = &rollout{order: o, timed: t, settledAt: now.Add(settleTime)}
	r.mu.Unlock()
	if !r.ready.Load() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	r.log.Info("roll-out ordered", "service", o.Service, "to", o.To, "duration", o.Duration, "order", o.At.String())
	r.regroup()
}

// configure sets the bound of the exposure and the session time for later orders.
func (r *rollouts) configure(bound promoter.ExposureBound, sessionTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bound, r.sessionTime = bound, sessionTime
}

// group returns the group to which the upstreams of a version belong.
func (r *rollouts) group(s identifier.Service, v identifier.Version) identifier.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.services[s]
	if x == nil {
		return s
	}
	isTarget := v == x.order.To
	switch {
	case !isTarget && r.rolledBack[serviceVersion{s, v}]:
		return s + excludedSuffix
	case x.verdict.State == promoter.TimedRolloutSucceeded:
		if isTarget {
			return s
		}
		return s + excludedSuffix
	case x.verdict.State == promoter.TimedRolloutRolledBack && isTarget:
		return s + excludedSuffix
	case isTarget:
		return s + candidateSuffix
	}
	return s
}

// sessionGroup returns the group to which the requests of a session go that are bound to some regions. Without an upstream of the new version
// in these regions, they go to the former one; that the former one has none there does not raise the exposure.
func (r *rollouts) sessionGroup(s identifier.Service, session uint64, bound matcher.Regions) identifier.Service {
	now := r.now()
	r.mu.Lock()
	x := r.services[s]
	if x == nil {
		// An order that is added next finds the session.
		r.recentSessions.Use(session, now)
		r.mu.Unlock()
		return s
	}
	statusKnown, state := x.statusKnown, x.verdict.State
	r.mu.Unlock()
	candidate := s + candidateSuffix
	hasCandidates := r.groupSize(candidate, bound) > 0
	if state == "" {
		if statusKnown && hasCandidates && x.timed.UsesNewVersion(session, now) {
			return candidate
		}
		// Until the status is read, sessions are served on the former version too.
		x.timed.HoldSessions([]uint64{session}, now)
	}
	r.recentSessions.Use(session, now)
	if hasCandidates && r.groupSize(s, nil) == 0 && state != promoter.TimedRolloutRolledBack {
		return candidate
	}
	return s
}

// timedRollout returns the last roll-out of a service, or nil, and whether an upstream has its new version.
func (r *rollouts) timedRollout(s identifier.Service, u *registrar.Upstream) (*promoter.TimedRollout, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.services[s]
	if x == nil {
		return nil, false
	}
	return x.timed, u.Version == x.order.To
}

// serviceVersion is one version of a service.
type serviceVersion struct {
	Service identifier.Service `json:"service"`
	Version identifier.Version `json:"version"`
}

// activeOnOtherVersions returns the number of requests in flight at upstreams whose version is not that of the order.
func (r *rollouts) activeOnOtherVersions(o *promoter.RolloutOrder) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for k, active := range r.activeRequests {
		if k.Service == o.Service && k.Version != o.To {
			n += active
		}
	}
	return n
}

// allKnown reports whether the status of every order was read from the store.
func (r *rollouts) allKnown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.services {
		if !x.statusKnown {
			return false
		}
	}
	return true
}

// run carries out the orders until ctx ends.
func (r *rollouts) run(ctx context.Context) error {
	if r.tallies != nil {
		return r.runShared(ctx)
	}
	t := time.NewTicker(badTallyInterval / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-r.wake:
		}
		for _, x := range r.due() {
			r.step(ctx, x)
		}
	}
}

// due returns the orders whose next step is due, and schedules the step after it. While the store has not shown an order in its present
// era, only this entry's own evidence counts.
func (r *rollouts) due() []*rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var due []*rollout
	for _, x := range r.services {
		if x.statusWritten || now.Before(x.nextStepAt) {
			continue
		}
		if !r.isCurrent(x) {
			x.nextStepAt = now.Add(tallyInterval)
			r.decideLocally(x, now)
			continue
		}
		if r.isStoreOut != nil && r.isStoreOut() {
			x.nextStepAt = now.Add(badTallyInterval)
			r.decideLocally(x, now)
			continue
		}
		r.schedule(x, now)
		due = append(due, x)
	}
	return due
}

// schedule schedules the step after one that this entry carries out by itself; r.mu is held.
func (r *rollouts) schedule(x *rollout, now time.Time) {
	x.nextStepAt = now.Add(tallyInterval)
	if x.timed.IsDeciding(x.storeNow(now)) {
		x.nextStepAt = now.Add(badTallyInterval)
	}
	if bad := x.timed.BadAnswers(); bad > x.badAnswers {
		x.badAnswers, x.nextStepAt = bad, now.Add(badTallyInterval)
	}
}

// step carries out the next step of an order.
func (r *rollouts) step(ctx context.Context, x *rollout) {
	// A failure has been logged, and a later step tries again.
	_ = r.tryStep(ctx, x)
}

// tryStep carries out the next step of an order by calls of the store and returns why it failed.
func (r *rollouts) tryStep(ctx context.Context, x *rollout) error {
	r.mu.Lock()
	order, verdict, verdictLost := x.order, x.verdict, x.verdictLost
	needsStatus := x.needsStatus()
	r.mu.Unlock()
	var err error
	switch {
	case verdictLost:
		err = r.restoreVerdict(ctx, x, &order, verdict)
	case verdict.State != "":
		err = r.writeStatus(ctx, x, &order, verdict)
	case needsStatus:
		err = r.readStatus(ctx, x, &order)
	default:
		err = r.decide(ctx, x, &order)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	r.stepFailed(x, &order, err)
	return err
}

// stepFailed logs a failed step and stops a version that is bad on this entry's own evidence.
func (r *rollouts) stepFailed(x *rollout, order *promoter.RolloutOrder, err error) {
	r.log.Warn("roll-out step failed", "service", order.Service, "to", order.To, "order", order.At.String(), "error", err.Error())
	r.mu.Lock()
	if !x.statusKnown {
		// The entry is not ready before.
		x.nextStepAt = r.now().Add(badTallyInterval)
	}
	r.mu.Unlock()
	r.decideLocally(x, r.now())
}

// decideLocally stops a new version on the evidence of this entry alone.
func (r *rollouts) decideLocally(x *rollout, now time.Time) {
	if reason, bad := x.timed.DecideLocally(now); bad {
		r.log.Warn("new version stopped on this entry's own evidence", "service", x.order.Service, "to", x.order.To, "reason", reason)
	}
}

func (r *rollouts) setClock(x *rollout, clock int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.setClock(clock, r.now())
}

// State returns the state of each order.
func (r *rollouts) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := map[identifier.Service]any{}
	for name, x := range r.services {
		s[name] = struct {
			Rollout   any                 `json:"trial"`
			Verdict   promoter.Verdict    `json:"verdict"`
			Collector identifier.Instance `json:"collector,omitempty"`
		}{x.timed.State(), x.verdict, x.collector}
	}
	return s
}
