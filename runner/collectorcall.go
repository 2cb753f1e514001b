package runner

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// maxUndecided is the number of answers without a verdict, after this entry's own decision was final, from which the entry decides by its
// own calls of the store: its collector may have started later and not be ready to.
const maxUndecided = 2

// callCollector carries out a step through the collector, or by own calls of the store if that fails.
func (r *rollouts) callCollector(ctx context.Context, x *rollout) {
	others, _ := r.tallies.others()
	r.mu.Lock()
	now := r.now()
	order, name := x.order, x.choice.Current()
	short := x.wantsShort(now)
	call := collector.Call{Order: x.key(), Short: short || x.isUnplanned(now), NeedsStatus: x.needsStatus()}
	deadline := collector.CallDeadline(call.Short, x.collectorStepAt, now)
	ctxCall, cancel := context.WithTimeout(ctx, deadline.Sub(now))
	defer cancel()
	x.badAnswers, x.calledAt, x.nextStepAt, x.collectorStepAt, x.endCall = x.timed.BadAnswers(), now, now.Add(tallyInterval), time.Time{}, cancel
	storeNow := x.storeNow(now)
	r.mu.Unlock()
	call.Tally = x.timed.Tally(storeNow, r.activeOnOtherVersions(&order), now)
	answer, err := r.ask(ctxCall, others[name], call)
	now = r.now()
	if err == nil && !now.Before(deadline) {
		err = errLateAnswer
	}
	r.mu.Lock()
	superseded := x.superseded
	x.endCall = nil
	r.mu.Unlock()
	if superseded || ctx.Err() != nil {
		return
	}
	if err == nil {
		err = r.take(x, &order, &answer, now)
	}
	switch {
	case err == nil:
		r.tallies.collectedSteps.Add(1)
		r.mu.Lock()
		defer r.mu.Unlock()
		x.endOutage(r.tallies.self)
		return
	case errors.Is(err, storer.ErrEraChanged):
		r.stepFailed(x, &order, err)
		return
	}
	r.tallies.callsFailed.Add(1)
	var answered *messenger.Error
	isAnswered := errors.As(err, &answered)
	r.log.Info("call of collector failed", "service", order.Service, "to", order.To, "order", order.At.String(), "collector", name,
		"error", err.Error())
	r.tallies.ownSteps.Add(1)
	err = r.tryStep(ctx, x)
	r.mu.Lock()
	defer r.mu.Unlock()
	x.nextStepAt = now.Add(tallyInterval)
	if short {
		x.nextStepAt = now.Add(badTallyInterval)
	}
	reached := err == nil || errors.Is(err, storer.ErrConflict)
	if reached || !isAnswered {
		// A collector that answers with an error while this entry does not reach the store either would not be replaced by a better one.
		x.choice.Fail()
	}
	if !reached {
		x.outage = true
	}
}

// ask calls a collector and decodes its answer.
func (r *rollouts) ask(ctx context.Context, address netip.AddrPort, call collector.Call) (collector.Answer, error) {
	data, err := r.tallies.call(ctx, address, call)
	if err != nil {
		return collector.Answer{}, err
	}
	return collector.ParseAnswer(data, call.Order)
}

// take acts on an answer as on own reads of the store.
func (r *rollouts) take(x *rollout, order *promoter.RolloutOrder, a *collector.Answer, now time.Time) error {
	r.mu.Lock()
	if a.Era != order.At.Era || x.order.At != order.At {
		r.mu.Unlock()
		return storer.ErrEraChanged
	}
	if a.ClockMillis > 0 {
		x.setClock(a.ClockMillis, now)
	}
	x.collectorStepAt = now.Add(a.Next())
	x.nextStepAt = now.Add(max(a.Next()-collector.CallLead, 0))
	first := x.needsStatus()
	if a.StatusRead {
		x.statusKnown, x.statusLost = true, false
	}
	r.mu.Unlock()
	if a.Verdict != nil {
		r.setVerdict(x, *a.Verdict, a.StatusWritten)
		return nil
	}
	if first {
		r.adopt(x)
	}
	if a.Sum == nil {
		return nil
	}
	state, _ := r.judge(x, order, []promoter.Tally{*a.Sum}, a.Tallies, a.ClockMillis)
	if !promoter.IsFinal(state) || !r.isSettled(x) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.undecided++; x.undecided >= maxUndecided {
		x.undecided = 0
		return errNotCollecting
	}
	return nil
}
