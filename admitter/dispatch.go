package admitter

import (
	"slices"
	"time"
)

// maxPauses bounds how often one item is preempted by others of its rank, which would otherwise take turns. More urgent
// work is not bound by it, since the floors protect the lower ranks.
const maxPauses = 3

// pausedPerSlot bounds the paused work, whose state the engine keeps in memory.
const pausedPerSlot = 4

// dispatch grants slots until none is free and nothing may be preempted.
func (a *Admitter) dispatch(now time.Time) {
	a.sweepAt(now)
	for a.running-min(a.leaving, a.o.headroom) < a.o.slots {
		t, floored := a.pick()
		if t == nil {
			return
		}
		if a.expired(t, now) {
			continue
		}
		a.grant(t, floored, now)
	}
	for a.leaving < max(a.o.headroom, 1) {
		t, v := a.preemption()
		if t == nil || a.expired(t, now) {
			return
		}
		v.preempting = true
		v.outranked = v.rank > t.rank
		v.flow.leaving++
		close(v.preempted)
		a.leaving++
		if a.running-min(a.leaving, a.o.headroom) >= a.o.slots {
			return // without headroom the slot is granted once the victim has left
		}
		a.grant(t, false, now)
	}
}

// expired drops a waiting ticket whose deadline has passed and reports whether it did.
func (a *Admitter) expired(t *Ticket, now time.Time) bool {
	d := t.item.Order.Deadline
	if d.IsZero() || now.Before(d) {
		return false
	}
	a.drop(t, CodeDeadline, now, 0)
	return true
}

// pick returns the ticket for a free slot: a rank whose floor is owed first, then strictly by rank. Any credit suffices
// for a whole request, whose cost beyond it is owed: waiting for the whole cost takes longer than the wait limit on small
// engines, and the queue then runs empty before the floor is used.
func (a *Admitter) pick() (t *Ticket, floored bool) {
	var first *Ticket
	var owed *Ticket
	most := 0.0
	for _, q := range a.queues {
		t := q.next()
		if t == nil {
			continue
		}
		if first == nil {
			first = t
			continue
		}
		if q.rank.Floor > 0 && q.credit > 0 && (owed == nil || q.credit > most) {
			owed, most = t, q.credit
		}
	}
	if owed != nil {
		return owed, true
	}
	return first, false
}

// preemption returns a waiting ticket and the running one that should make room for it, or nils. Ranks come first;
// within a rank an account with few slots takes one from the account with the most.
func (a *Admitter) preemption() (t, victim *Ticket) {
	if a.paused >= pausedPerSlot*a.o.slots {
		return nil, nil
	}
	for i, q := range a.queues {
		if q.items == 0 {
			continue
		}
		if v := a.victim(i, nil); v != nil {
			return q.next(), v
		}
		if f := q.neediest(); f != nil {
			if v := a.victim(i, f); v != nil {
				return f.waiting[0], v
			}
		}
	}
	return nil, nil
}

// neediest returns the waiting flow with the fewest slots per weight, or nil.
func (q *queue) neediest() *flow {
	var best *flow
	for _, f := range q.round {
		if best == nil || float64(f.running+1)/f.weight < float64(best.running+1)/best.weight {
			best = f
		}
	}
	return best
}

// partMargin, in slots, is what an account keeps beyond its equal part when others of its rank take slots from it. On an
// engine of 8 slots a part is about one slot, and without the margin ten accounts with equal demand pause each other's
// work so often that the time between tokens exceeds its target.
const partMargin = 0.5

// victim returns the running ticket to preempt for work of a rank: of the lowest rank below it, or, with a flow, of
// the account of the same rank with the most slots per weight, if that still has as many without it as the flow has
// with it (max-min fairness) and more than its part. The latest start loses, since it has produced least; but within a
// rank work is not paused before its first token, which would then come late by a whole turn of the round.
func (a *Admitter) victim(rank int, f *flow) *Ticket {
	var best *Ticket
	part := a.queues[rank].part(a.o.slots)
	for _, t := range a.active {
		if !t.item.Resumable || t.preempting || t.floored || t.item.Order.NonIdempotent {
			continue
		}
		if f == nil {
			if t.rank > rank && (best == nil || t.rank > best.rank || t.rank == best.rank && !t.grantedAt.Before(best.grantedAt)) {
				best = t
			}
			continue
		}
		if t.rank != rank || t.flow == f || t.pauses >= maxPauses || !t.begun {
			continue
		}
		have := t.flow.slots()
		if have < float64(f.running+1)/f.weight || have < part+partMargin/t.flow.weight {
			continue
		}
		if best == nil || have > best.flow.slots() || have == best.flow.slots() && !t.grantedAt.Before(best.grantedAt) {
			best = t
		}
	}
	return best
}

// slots returns what victim compares: the slots per weight of a flow after one more of its tickets has left.
func (f *flow) slots() float64 {
	return float64(f.running-f.leaving-1) / f.weight
}

// grant starts a waiting ticket.
func (a *Admitter) grant(t *Ticket, floored bool, now time.Time) {
	q := a.queues[t.rank]
	if t.paused {
		a.paused--
	}
	q.remove(t)
	f := t.flow
	// remove forgets a flow without work; this one runs now.
	q.flows[f.account] = f
	f.deficit = max(f.deficit-t.cost, -maxDebt*q.quantum)
	f.running++
	q.running++
	a.running++
	q.granted.add(t.cost, now)
	a.earn(t.rank, t.cost)
	spent := t.cost * (1 - q.rank.Floor)
	if !floored {
		// Work granted by strict order does not count against the floor later on.
		spent = min(spent, max(q.credit, 0))
	}
	q.credit -= spent
	t.state, t.floored, t.preempting, t.outranked, t.grantedAt = stateRunning, floored, false, false, now
	t.preempted = make(chan struct{})
	a.active = append(a.active, t)
	a.counters.granted++
	a.notify(t, nil)
}

// floorMargin is earned on top of a floor, since grants of whole requests lag behind by up to the cost of one.
const floorMargin = 1.1

// earn credits the floors of the other ranks with their share of tokens served to a rank. A rank without work earns too,
// up to one request: the queue of a small engine is often empty, and without this it misses its floor by up to 13%.
func (a *Admitter) earn(rank int, tokens float64) {
	for i, q := range a.queues {
		if i != rank {
			q.addCredit(q.rank.Floor * floorMargin * tokens)
		}
	}
}

// addCredit adds to the floor credit, which is at most the largest cost seen lately.
func (q *queue) addCredit(tokens float64) {
	q.credit = min(q.credit+tokens, max(q.quantum, 1))
}

// release takes a running ticket off its slot after it produced tokens in this run.
func (a *Admitter) release(t *Ticket, tokens int, now time.Time, complete bool) {
	q, f := a.queues[t.rank], t.flow
	i := slices.Index(a.active, t)
	last := len(a.active) - 1
	a.active[i] = a.active[last]
	a.active[last] = nil
	a.active = a.active[:last]
	f.running--
	q.running--
	a.running--
	if t.preempting {
		a.leaving--
		f.leaving--
		t.preempting = false
	}
	// The account pays for what its work produced instead of the estimate.
	f.deficit = max(f.deficit+t.cost-float64(tokens), -maxDebt*q.quantum)
	// Round robin itself lets a deficit reach a quantum above one round's grant; only a refund beyond that is cut.
	f.deficit = min(f.deficit, q.quantum*(f.weight+1))
	// Floors are shares of what was produced, so the credits of the estimate are corrected.
	a.earn(t.rank, float64(tokens)-t.cost)
	if t.floored {
		q.addCredit(t.cost - float64(tokens))
	}
	cost := t.cost
	if !complete {
		cost = min(cost, float64(tokens))
	}
	if tokens > 0 {
		// Work that failed or was canceled before its first token says nothing about the speed of the engine.
		a.service.add(cost, now.Sub(t.grantedAt), now)
		a.service.output.add(float64(tokens), now)
	}
	if complete {
		q.forget(f)
	}
}

// drop ends a waiting ticket without running it further.
func (a *Admitter) drop(t *Ticket, code string, now time.Time, retry time.Duration) {
	a.queues[t.rank].remove(t)
	t.state = stateEnded
	if t.paused {
		a.paused--
		a.counters.expired++
		a.notify(t, ErrPausedExpired)
		a.settleDrain()
		return
	}
	a.counters.refused[code]++
	a.notify(t, &Refusal{Code: code, RetryAt: now.Add(retry)})
}

// sweepInterval bounds the cost of searching the queues for work that has waited too long.
const sweepInterval = 50 * time.Millisecond

// sweepAt drops waiting work that is past its deadline or its queue timeout.
func (a *Admitter) sweepAt(now time.Time) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	a.observeDelay(now)
	for i, q := range a.queues {
		for a.full(i, now) {
			// What arrived before the overload showed is trimmed from the longest queues, newest first.
			f := q.longest()
			if f == nil {
				break
			}
			a.drop(f.waiting[len(f.waiting)-1], CodeWaitTooLong, now, max(overloadedBacklog, minRetry))
		}
		limit := a.waitLimit(i, now)
		for _, f := range slices.Clone(q.round) {
			for _, t := range slices.Clone(f.waiting) {
				if a.expired(t, now) || t.paused {
					continue
				}
				a.dropLate(t, limit, now)
			}
		}
	}
}

// dropLate drops waiting work that is past its start-by or the wait limit of its rank.
func (a *Admitter) dropLate(t *Ticket, limit time.Duration, now time.Time) {
	by := t.item.Order.StartDeadline
	switch {
	case !by.IsZero() && now.After(by) && now.After(t.queuedAt):
		// Work queued at this moment may still be granted, whatever the clock of its sender.
		a.drop(t, CodeBusy, now, minRetry)
	case now.Sub(t.queuedAt) > limit:
		a.drop(t, CodeQueueTimeout, now, limit)
	}
}
