package runner

import (
	"context"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// minStepPause bounds the rate at which due steps are looked for.
const minStepPause = 5 * time.Millisecond

// sharedStep is the part of a rollout that concerns steps through a collector.
type sharedStep struct {
	// desk holds the calls of other entries, and choice is the collector of this one.
	desk   collector.Desk
	choice collector.Choice
	// collector is the last one that was chosen.
	collector identifier.Instance
	// stepping is set during a step. endCall ends the call of the collector that the step waits for, which is then superseded.
	stepping, superseded bool
	endCall              context.CancelFunc
	calledAt             time.Time
	// collectorStepAt is the time of the collector's next step as it was told.
	collectorStepAt time.Time
	undecided       int
	// outage is set while the entry reaches the store neither by itself nor through a collector.
	outage bool
}

// duty is how an entry carries out a step.
type duty int

const (
	noDuty duty = iota
	// ownDuty calls the store for this entry alone, callDuty calls the collector, and collectDuty calls the store for other entries too.
	ownDuty
	callDuty
	collectDuty
)

// key identifies the order in calls between entries.
func (r *rollout) key() collector.Order {
	return collector.Order{Service: r.order.Service, To: r.order.To, Number: r.order.At.Version, Era: r.order.At.Era}
}

func (r *rollout) needsStatus() bool {
	return !r.statusKnown || r.statusLost
}

// wantsShort reports whether the short interval is needed after a step.
func (r *rollout) wantsShort(now time.Time) bool {
	return r.timed.IsDeciding(r.storeNow(now)) || r.hasBadAnswers()
}

// isUnplanned reports whether the collector may just have stepped, as its next step is not known or is past. Held for the long interval, the
// tally would be too old to be written, and the row of the entry would count as absent before the step after that.
func (r *rollout) isUnplanned(now time.Time) bool {
	return !r.needsStatus() && !now.Before(r.collectorStepAt)
}

// endOutage forgets the failures of collectors with the first step that works after an outage, so that entries do not end alone.
func (r *rollout) endOutage(self identifier.Instance) {
	if r.outage {
		r.outage = false
		r.choice.Forget(self)
	}
}

// hasBadAnswers reports whether there were bad answers since the last step.
func (r *rollout) hasBadAnswers() bool {
	return r.timed.BadAnswers() > r.badAnswers
}

// answer returns what is known of the order without a further step.
func (r *rollout) answer(now time.Time) collector.Answer {
	a := collector.Answer{
		Era: r.order.At.Era, ClockMillis: r.storeNow(now), StatusRead: !r.needsStatus(), StatusWritten: r.statusWritten,
		NextMillis: r.desk.Next(now).Milliseconds(),
	}
	if r.verdict.State != "" {
		v := r.verdict
		a.Verdict = &v
	}
	return a
}

// runShared carries out the orders through collectors until ctx ends.
func (r *rollouts) runShared(ctx context.Context) error {
	var steps sync.WaitGroup
	defer steps.Wait()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-r.wake:
		case <-r.tallies.wake:
		}
		duties, pause := r.dueShared()
		for x, d := range duties {
			steps.Go(func() {
				r.carryOut(ctx, x, d)
				r.tallies.notify()
			})
		}
		t.Reset(pause)
	}
}

// dueShared returns the orders whose next step is due and how it is to be carried out, and the time until the next look.
func (r *rollouts) dueShared() (map[*rollout]duty, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	others := sync.OnceValues(r.tallies.otherNames)
	due, pause := map[*rollout]duty{}, badTallyInterval/2
	for _, x := range r.services {
		switch {
		case x.stepping && x.endCall != nil && x.desk.HasCalls():
			// Other entries rely on this one, which therefore calls the store itself.
			x.superseded = true
			x.endCall()
			continue
		case x.stepping:
			continue
		case x.statusWritten:
			x.end(encode(x.answer(now)), now)
			continue
		case !r.isCurrent(x):
			x.end(collector.Reply{Err: storer.ErrEraChanged}, now)
			if !now.Before(x.nextStepAt) {
				x.nextStepAt = now.Add(tallyInterval)
				r.decideLocally(x, now)
			}
			continue
		}
		names, known := others()
		d, at := r.nextDuty(x, names, known, now)
		if now.Before(at) {
			pause = min(pause, at.Sub(now))
			continue
		}
		x.stepping = true
		due[x] = d
	}
	return due, max(pause, minStepPause)
}

// nextDuty returns how the next step of an order is to be carried out, and when; r.mu is held.
func (r *rollouts) nextDuty(x *rollout, others []identifier.Instance, known bool, now time.Time) (duty, time.Time) {
	isCollecting := x.desk.IsCollecting(now)
	alone := !known || len(others) == 0
	if alone && !isCollecting || !r.ready.Load() || x.verdictLost || x.verdict.State != "" {
		at := x.nextStepAt
		if x.desk.HasCalls() && x.desk.DueAt().Before(at) {
			at = x.desk.DueAt()
		}
		return ownDuty, at
	}
	name := x.choice.Collector(r.tallies.self, others, x.key())
	if x.collector != "" && name != x.collector {
		r.log.Warn("collector of roll-out changed", "service", x.order.Service, "to", x.order.To, "order", x.order.At.String(),
			"before", x.collector, "collector", name, "failed", x.choice.Failed())
	}
	x.collector = name
	if isCollecting || name == r.tallies.self {
		first := now
		if x.nextStepAt.After(now) {
			first = x.nextStepAt
			if x.choice.Failed() > 0 {
				// The other entries have made their own steps at about the same time, and call when this one's next would be due.
				first = first.Add(collector.CallLead)
			}
		}
		x.desk.Start(first)
		if x.hasBadAnswers() {
			x.desk.WantShort(now)
		}
		return collectDuty, x.desk.DueAt()
	}
	at := x.nextStepAt
	// If the collector was to step later than the short interval needs, the call moves that step forward. Otherwise the tally of a later call
	// is fresher.
	if early := x.calledAt.Add(collector.ShortInterval); x.hasBadAnswers() && at.Sub(early) > collector.ShortInterval-collector.CallLead {
		at = early
	}
	return callDuty, at
}

// end ends the held calls.
func (r *rollout) end(reply collector.Reply, now time.Time) {
	if !r.desk.HasCalls() {
		return
	}
	// The steps that are planned do not matter any more, or are planned anew.
	for _, h := range r.desk.Begin(false, now) {
		h.End(reply)
	}
}

// carryOut carries out one step.
func (r *rollouts) carryOut(ctx context.Context, x *rollout, d duty) {
	switch d {
	case ownDuty:
		r.mu.Lock()
		r.schedule(x, r.now())
		r.mu.Unlock()
		r.tallies.ownSteps.Add(1)
		err := r.tryStep(ctx, x)
		r.mu.Lock()
		reply := collector.Reply{Err: err}
		if err == nil {
			x.endOutage(r.tallies.self)
			reply = encode(x.answer(r.now()))
		}
		x.end(reply, r.now())
		r.mu.Unlock()
	case callDuty:
		r.callCollector(ctx, x)
	case collectDuty:
		r.collect(ctx, x)
	case noDuty:
	}
	r.mu.Lock()
	x.stepping, x.superseded = false, false
	r.mu.Unlock()
}
