package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// vouchSpread is the time over which the entries look whether a store that has come back from an older copy has lost a verdict, and
	// vouchInterval the time after which they look once more, until vouchTime after the return.
	vouchSpread   = time.Second
	vouchInterval = 4 * time.Second
	vouchTime     = 6 * time.Second
	// settleTime is how long after such a return, or after its own start, an entry reaches no verdict, so that those that know of
	// one can write it again.
	settleTime = 2 * time.Second
	// verdictMemory is how long a verdict may be lost: the copies are some seconds old.
	verdictMemory = 10 * time.Minute
)

// statedVerdict is the verdict of another entry on the last order for a service.
type statedVerdict struct {
	Service identifier.Service `json:"service"`
	To      identifier.Version `json:"to"`
	// Number and Era are the position of the order.
	Number uint64 `json:"number"`
	Era    uint64 `json:"era"`
	// State and VerdictEra are the verdict and the era in which it was reached.
	State      string `json:"state"`
	VerdictEra uint64 `json:"verdict-era"`
}

// storeReturned records that the store has come back from an older copy. Until it shows an order in its new era, which the operator may
// have to write again, no step of that order is carried out.
func (r *rollouts) storeReturned(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.era = era
	for _, o := range r.orders {
		o.MarkReturned(now)
	}
	for _, x := range r.services {
		x.settledAt = now.Add(settleTime)
	}
}

// vouch has the store looked through for what it may have lost of an order; r.mu is held.
func (r *rollouts) vouch(x *rollout, now time.Time) {
	x.nextStepAt = now.Add(rand.N(vouchSpread))
	if x.verdict.State == "" {
		x.statusLost = true
		return
	}
	x.verdict.Number = x.order.At.Version
	if now.Sub(x.endedAt) < verdictMemory {
		x.verdictLost, x.statusWritten, x.vouchUntil = true, false, now.Add(vouchTime)
	}
}

// isCurrent reports whether the store has shown an order in its present era; r.mu is held.
func (r *rollouts) isCurrent(x *rollout) bool {
	return r.era == 0 || x.order.At.Era == r.era
}

// restoreVerdict writes the verdict again if the store has lost it, or takes over one of an earlier era.
func (r *rollouts) restoreVerdict(ctx context.Context, x *rollout, order *promoter.RolloutOrder, verdict promoter.Verdict) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	records, err := r.readRecords(ctx, x, order)
	if err != nil {
		return err
	}
	first, ok := promoter.FirstVerdict(records.Verdicts, order)
	switch {
	case !ok || verdict.Era < first.Era:
		if err := r.store.PutVerdict(ctx, order.Service, verdict, nil); err != nil {
			return err
		}
		r.log.Warn("verdict written again", "service", order.Service, "to", order.To, "order", order.At.String(), "state", verdict.State,
			"era", verdict.Era)
	case first.State != verdict.State && first.Era < verdict.Era:
		verdict = first
		r.setVerdict(x, first, false)
	}
	if err := r.writeStatus(ctx, x, order, verdict); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Before(x.vouchUntil) {
		x.statusWritten, x.nextStepAt = false, r.now().Add(vouchInterval+rand.N(vouchSpread))
		return nil
	}
	x.verdictLost = false
	return nil
}

// stated returns at most a number of the verdicts on the present orders, and of the versions that were rolled back by earlier ones.
func (r *rollouts) stated(most int) ([]statedVerdict, []serviceVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var verdicts []statedVerdict
	for name, x := range r.services {
		if len(verdicts) < most && x.verdict.State != "" {
			verdicts = append(verdicts, statedVerdict{
				Service: name, To: x.order.To, Number: x.order.At.Version, Era: x.order.At.Era, State: string(x.verdict.State),
				VerdictEra: x.verdict.Era,
			})
		}
	}
	var rolledBack []serviceVersion
	for version := range r.rolledBack {
		if len(rolledBack) < most {
			rolledBack = append(rolledBack, version)
		}
	}
	return verdicts, rolledBack
}

// learn takes over what another entry states.
func (r *rollouts) learn(verdicts []statedVerdict, rolledBack []serviceVersion) {
	r.mu.Lock()
	for _, v := range verdicts {
		if !slices.Contains(r.learned[v.Service], v) {
			r.learned[v.Service] = append(r.learned[v.Service], v)
		}
	}
	for _, version := range rolledBack {
		r.rolledBack[version] = true
	}
	var known []*rollout
	for _, x := range r.services {
		if x.statusKnown {
			known = append(known, x)
		}
	}
	r.mu.Unlock()
	for _, x := range known {
		r.adopt(x)
	}
}

// adopt ends an order whose verdict another entry has stated and the store does not show.
func (r *rollouts) adopt(x *rollout) {
	r.mu.Lock()
	var adopted *statedVerdict
	if x.verdict.State == "" {
		for _, v := range r.learned[x.order.Service] {
			if v.isOn(x) {
				adopted = &v
			}
		}
	}
	r.mu.Unlock()
	if adopted != nil {
		r.setVerdict(x, promoter.Verdict{
			To: adopted.To, Era: adopted.VerdictEra, State: interpreter.State(adopted.State), Reason: "stated by another entry",
		}, false)
	}
}

// isOn reports whether a verdict is that on an order. An entry that does not know yet that the store has come back states the position
// of the order in the era before.
func (v *statedVerdict) isOn(x *rollout) bool {
	if v.To != x.order.To {
		return false
	}
	return v.Era == x.order.At.Era && v.Number == x.order.At.Version || v.Era < x.order.At.Era
}
