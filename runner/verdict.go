package runner

import (
	"context"
	"errors"

	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// readStatus reads the status of an order from the store, and writes that the order is in progress if no entry has done so.
func (r *rollouts) readStatus(ctx context.Context, x *rollout, order *promoter.RolloutOrder) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	status, clock, err := r.store.Status(ctx, order.Service)
	if err != nil {
		return err
	}
	if status.At.Era != order.At.Era {
		return storer.ErrEraChanged
	}
	r.setClock(x, clock)
	if err := r.learnRolledBack(ctx, x, order); err != nil {
		return err
	}
	if status.Ends(order) {
		r.setVerdict(x, promoter.Verdict{
			To: order.To, Number: order.At.Version, Era: order.At.Era, State: status.State, Reason: "status", At: clock,
		}, true)
		return nil
	}
	if status.At.Before(order.At) {
		// On a conflict another entry has written the status at the same time.
		if err := r.store.SetStatus(ctx, status, order.To, ""); err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	r.mu.Lock()
	x.statusKnown, x.statusLost = true, false
	r.mu.Unlock()
	r.adopt(x)
	return nil
}

// learnRolledBack reads the versions that earlier orders have rolled back, unless this entry was there.
func (r *rollouts) learnRolledBack(ctx context.Context, x *rollout, order *promoter.RolloutOrder) error {
	if r.ready.Load() {
		return nil
	}
	records, err := r.readRecords(ctx, x, order)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, version := range promoter.RolledBack(records.Verdicts, order) {
		r.rolledBack[serviceVersion{order.Service, version}] = true
	}
	return nil
}

// decide writes this entry's tally, reads those of all entries, and decides on the state of the order.
func (r *rollouts) decide(ctx context.Context, x *rollout, order *promoter.RolloutOrder) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	clock, err := r.store.PutTally(ctx, order.Service,
		x.timed.Tally(x.storeNow(r.now()), r.activeOnOtherVersions(order), r.now()))
	if err != nil {
		return err
	}
	r.setClock(x, clock)
	records, err := r.readRecords(ctx, x, order)
	if err != nil {
		return err
	}
	if v, ok := promoter.FirstVerdict(records.Verdicts, order); ok {
		r.setVerdict(x, v, false)
		return nil
	}
	return r.decideOn(ctx, x, order, &records, records.Tallies, len(records.Tallies))
}

// conclude ends an order on the verdict among the records and has the status show it, or decides on tallies.
func (r *rollouts) conclude(
	ctx context.Context, x *rollout, order *promoter.RolloutOrder, records *RolloutRecords, tallies []promoter.Tally, parts int,
) error {
	if v, ok := promoter.FirstVerdict(records.Verdicts, order); ok {
		r.setVerdict(x, v, false)
		return r.writeStatus(ctx, x, order, v)
	}
	return r.decideOn(ctx, x, order, records, tallies, parts)
}

// decideOn decides on the state of an order from tallies, and writes a verdict if that is final.
func (r *rollouts) decideOn(
	ctx context.Context, x *rollout, order *promoter.RolloutOrder, records *RolloutRecords, tallies []promoter.Tally, parts int,
) error {
	state, reason := r.judge(x, order, tallies, parts, records.ClockMillis)
	if !promoter.IsFinal(state) || !r.isSettled(x) {
		return nil
	}
	verdict := promoter.Verdict{
		To: order.To, Number: order.At.Version, Era: order.At.Era, State: state, Reason: reason, By: string(r.entry), At: records.ClockMillis,
	}
	if err := r.store.PutVerdict(ctx, order.Service, verdict, promoter.OldVerdicts(records.Verdicts, order, records.ClockMillis)); err != nil {
		return err
	}
	r.setVerdict(x, verdict, false)
	return r.writeStatus(ctx, x, order, verdict)
}

// judge updates the state and the exposure from tallies, of which there are so many parts, at a time of the store's clock in milliseconds.
func (r *rollouts) judge(
	x *rollout, order *promoter.RolloutOrder, tallies []promoter.Tally, parts int, storeNow int64,
) (interpreter.State, string) {
	before, exposureBefore := x.timed.Stage()
	state, reason := x.timed.Decide(tallies, storeNow, r.now())
	if _, exposure := x.timed.Stage(); state != before || exposure != exposureBefore {
		r.log.Info("roll-out state changed", "service", order.Service, "to", order.To, "order", order.At.String(),
			"from", before, "state", state, "exposure", exposure, "reason", reason, "tallies", parts)
	}
	return state, reason
}

// isSettled reports whether this entry may reach a verdict.
func (r *rollouts) isSettled(x *rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.now().Before(x.settledAt)
}

// readRecords reads the tallies and verdicts, which must be of the era of the order.
func (r *rollouts) readRecords(ctx context.Context, x *rollout, order *promoter.RolloutOrder) (RolloutRecords, error) {
	records, err := r.store.Records(ctx, order.Service)
	if err != nil {
		return records, err
	}
	if records.Era != order.At.Era {
		return records, storer.ErrEraChanged
	}
	r.setClock(x, records.ClockMillis)
	return records, nil
}

// setVerdict ends an order with a verdict; statusWritten is set if the status in the store shows it.
func (r *rollouts) setVerdict(x *rollout, v promoter.Verdict, statusWritten bool) {
	r.mu.Lock()
	v.Number = x.order.At.Version
	x.statusKnown, x.statusLost, x.verdict, x.statusWritten, x.endedAt = true, false, v, statusWritten, r.now()
	version := serviceVersion{x.order.Service, x.order.To}
	if v.State == promoter.TimedRolloutRolledBack {
		r.rolledBack[version] = true
	} else {
		delete(r.rolledBack, version)
	}
	order := x.order
	r.mu.Unlock()
	r.log.Info("roll-out ended", "service", order.Service, "to", order.To, "order", order.At.String(), "state", v.State,
		"reason", v.Reason, "by", v.By, "era", v.Era)
	r.regroup()
}

// writeStatus writes the verdict to the status in the store, unless it is there.
func (r *rollouts) writeStatus(ctx context.Context, x *rollout, order *promoter.RolloutOrder, verdict promoter.Verdict) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	status, _, err := r.store.Status(ctx, order.Service)
	if err != nil {
		return err
	}
	if status.At.Era != order.At.Era {
		return storer.ErrEraChanged
	}
	if !status.Ends(order) || status.State != verdict.State {
		if err := r.store.SetStatus(ctx, status, order.To, string(verdict.State)); err != nil {
			return err
		}
	}
	r.mu.Lock()
	x.statusWritten = true
	r.mu.Unlock()
	return nil
}
