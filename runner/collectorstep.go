package runner

import (
	"context"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/promoter"
)

// maxVerdictDelay is how long a collector delays its answers so that they show a verdict and its status.
const maxVerdictDelay = 250 * time.Millisecond

// collect carries out a step for this entry and those whose calls it holds.
func (r *rollouts) collect(ctx context.Context, x *rollout) {
	r.mu.Lock()
	now := r.now()
	short := x.wantsShort(now)
	x.badAnswers = x.timed.BadAnswers()
	calls := x.desk.Begin(short, now)
	order, needsStatus := x.order, x.needsStatus()
	x.nextStepAt = x.desk.DueAt()
	r.mu.Unlock()
	r.tallies.ownSteps.Add(1)
	var sum *promoter.Tally
	parts := 0
	reply := func() {
		r.mu.Lock()
		a := x.answer(r.now())
		a.Sum, a.Tallies = sum, parts
		r.mu.Unlock()
		encoded := encode(a)
		for _, h := range calls {
			h.End(encoded)
		}
	}
	var err error
	if needsStatus {
		if err = r.readStatus(ctx, x, &order); err == nil {
			reply()
		}
	} else {
		err = r.decideFor(ctx, x, &order, calls, func(t *promoter.Tally, n int) func() {
			sum, parts = t, n
			return reply
		})
	}
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		x.endOutage(r.tallies.self)
		return
	}
	if ctx.Err() != nil {
		return
	}
	for _, h := range calls {
		h.End(collector.Reply{Err: err})
	}
	r.mu.Lock()
	x.outage = true
	if !x.statusKnown {
		x.desk.WantShort(r.now())
	}
	r.mu.Unlock()
	r.stepFailed(x, &order, err)
}

// decideFor writes the tallies of the held calls and of this entry, reads those of all, and decides on the state of the order. onSum
// receives the sum and returns what answers the calls.
func (r *rollouts) decideFor(
	ctx context.Context, x *rollout, order *promoter.RolloutOrder, calls []*collector.Held, onSum func(*promoter.Tally, int) func(),
) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	now := r.now()
	r.mu.Lock()
	storeNow := x.storeNow(now)
	r.mu.Unlock()
	tallies := slices.DeleteFunc(collector.Fresh(calls, storeNow, now), func(t promoter.Tally) bool { return t.Entry == r.entry })
	tallies = append(tallies, x.timed.Tally(storeNow, r.activeOnOtherVersions(order), now))
	clock, err := r.store.PutTallies(ctx, order.Service, tallies)
	if err != nil {
		return err
	}
	r.setClock(x, clock)
	records, err := r.readRecords(ctx, x, order)
	if err != nil {
		return err
	}
	sum, parts := promoter.Sum(records.Tallies, order, records.ClockMillis)
	reply := onSum(&sum, parts)
	// The other entries stop a bad version on the sum, also if the writes that follow from it take long.
	t := time.AfterFunc(maxVerdictDelay, reply)
	defer func() {
		t.Stop()
		reply()
	}()
	return r.conclude(ctx, x, order, &records, []promoter.Tally{sum}, parts)
}
