package admitter

import (
	"slices"
	"time"
)

// maxPreemptions bounds how often work of the same rank preempts one item; without it, items of a rank would keep
// preempting each other in turn. Preemption by a higher rank is not bounded, since the floors protect the lower ranks.
const maxPreemptions = 3

// maxPausedPerSlot bounds the paused work for each slot, since the engine keeps its state in memory.
const maxPausedPerSlot = 4

// dispatch grants slots until none is free and no running work may be preempted for waiting work.
func (a *Admitter) dispatch(now time.Time) {
	a.sweep(now)
	for a.runningCount-min(a.preemptingCount, a.opts.headroom) < a.opts.slots {
		t, byFloor := a.nextForFreeSlot()
		if t == nil {
			return
		}
		if a.dropIfExpired(t, now) {
			continue
		}
		a.grant(t, byFloor, now)
	}
	for a.preemptingCount < max(a.opts.headroom, 1) {
		t, victim := a.nextPreemption()
		if t == nil || a.dropIfExpired(t, now) {
			return
		}
		victim.preempting = true
		victim.outranked = victim.rankIndex > t.rankIndex
		victim.flow.preemptingCount++
		close(victim.preemptionRequested)
		a.preemptingCount++
		if a.runningCount-min(a.preemptingCount, a.opts.headroom) >= a.opts.slots {
			return // without headroom the slot is granted once the victim has left
		}
		a.grant(t, false, now)
	}
}

// dropIfExpired drops a waiting ticket whose deadline has passed and reports whether it did.
func (a *Admitter) dropIfExpired(t *Ticket, now time.Time) bool {
	d := t.item.Order.Deadline
	if d.IsZero() || now.Before(d) {
		return false
	}
	a.drop(t, CodeDeadline, now, 0)
	return true
}

// nextForFreeSlot returns the next ticket for a free slot and whether it is granted by the floor of its rank. The lower
// rank with the most floor credit goes first, then the highest rank with waiting work. Any positive credit pays for a
// whole request, and what it costs beyond the credit leaves the credit negative. If the credit had to cover the whole
// cost first, that would take longer than the wait limit on small engines, and the queue would run empty before the
// floor is used.
func (a *Admitter) nextForFreeSlot() (t *Ticket, byFloor bool) {
	var first *Ticket
	var belowFloor *Ticket
	maxCredit := 0.0
	for _, q := range a.queues {
		t := q.next()
		if t == nil {
			continue
		}
		if first == nil {
			first = t
			continue
		}
		if q.rank.Floor > 0 && q.floorCredit > 0 && (belowFloor == nil || q.floorCredit > maxCredit) {
			belowFloor, maxCredit = t, q.floorCredit
		}
	}
	if belowFloor != nil {
		return belowFloor, true
	}
	return first, false
}

// nextPreemption returns a waiting ticket and the running one to preempt for it, or nils. Work of a lower rank is
// preempted first; within a rank, the account with the fewest slots per weight takes one from the account with the
// most.
func (a *Admitter) nextPreemption() (t, victim *Ticket) {
	if a.pausedCount >= maxPausedPerSlot*a.opts.slots {
		return nil, nil
	}
	for i, q := range a.queues {
		if q.waitingCount == 0 {
			continue
		}
		if victim := a.victimFor(i, nil); victim != nil {
			return q.next(), victim
		}
		if f := q.leastServedFlow(); f != nil {
			if victim := a.victimFor(i, f); victim != nil {
				return f.waiting[0], victim
			}
		}
	}
	return nil, nil
}

// leastServedFlow returns the waiting flow with the fewest slots per weight, or nil.
func (q *queue) leastServedFlow() *flow {
	var best *flow
	for _, f := range q.activeFlows {
		if best == nil || float64(f.runningCount+1)/f.weight < float64(best.runningCount+1)/best.weight {
			best = f
		}
	}
	return best
}

// fairShareMarginSlots is how many slots more than its fair share an account keeps when other accounts of its rank
// preempt its work. On an engine of 8 slots with ten accounts a fair share is about one slot; without the margin,
// accounts with equal demand preempt each other so often that the time between tokens exceeds its target.
const fairShareMarginSlots = 0.5

// victimFor returns the running ticket to preempt for work of a rank, or nil. Without a flow it looks in the lowest
// rank below. With a flow it looks in the other accounts of the same rank for the one with the most slots per weight,
// if that account after losing one still has as many as the flow after gaining one (max-min fairness) and more than its
// fair share. Of several tickets the one granted last is preempted, since it has produced least. Within a rank, work is
// not preempted before its first token, which would otherwise be late by a whole round.
func (a *Admitter) victimFor(rankIndex int, f *flow) *Ticket {
	var best *Ticket
	fairShare := a.queues[rankIndex].fairShare(a.opts.slots)
	for _, t := range a.runningTickets {
		if !t.item.Resumable || t.preempting || t.grantedByFloor || t.item.Order.NonIdempotent {
			continue
		}
		if f == nil {
			if t.rankIndex > rankIndex && (best == nil || t.rankIndex > best.rankIndex ||
				t.rankIndex == best.rankIndex && !t.grantedAt.Before(best.grantedAt)) {
				best = t
			}
			continue
		}
		if t.rankIndex != rankIndex || t.flow == f || t.preemptions >= maxPreemptions || !t.hasFirstToken {
			continue
		}
		remaining := t.flow.slotsPerWeightAfterRelease()
		if remaining < float64(f.runningCount+1)/f.weight || remaining < fairShare+fairShareMarginSlots/t.flow.weight {
			continue
		}
		if best == nil || remaining > best.flow.slotsPerWeightAfterRelease() ||
			remaining == best.flow.slotsPerWeightAfterRelease() && !t.grantedAt.Before(best.grantedAt) {
			best = t
		}
	}
	return best
}

// slotsPerWeightAfterRelease returns the slots per weight that the flow keeps if one more of its tickets is preempted.
func (f *flow) slotsPerWeightAfterRelease() float64 {
	return float64(f.runningCount-f.preemptingCount-1) / f.weight
}

// grant starts a waiting ticket.
func (a *Admitter) grant(t *Ticket, byFloor bool, now time.Time) {
	q := a.queues[t.rankIndex]
	if t.paused {
		a.pausedCount--
	}
	q.remove(t)
	f := t.flow
	// remove may have deleted the flow as idle; it now has running work.
	q.flows[f.account] = f
	f.deficit = max(f.deficit-t.cost, -maxDebtQuanta*q.quantum)
	f.runningCount++
	q.runningCount++
	a.runningCount++
	q.grantRate.add(t.cost, now)
	a.accrueFloorCredit(t.rankIndex, t.cost)
	creditSpent := t.cost * (1 - q.rank.Floor)
	if !byFloor {
		// Work granted in rank order uses up the credit but does not make it negative, so it does not count against the
		// floor later.
		creditSpent = min(creditSpent, max(q.floorCredit, 0))
	}
	q.floorCredit -= creditSpent
	t.state, t.grantedByFloor, t.preempting, t.outranked, t.grantedAt = stateRunning, byFloor, false, false, now
	t.preemptionRequested = make(chan struct{})
	a.runningTickets = append(a.runningTickets, t)
	a.counters.granted++
	a.recordDecision(t, nil)
}

// floorCreditFactor multiplies the credit that a floor accrues, since grants of whole requests lag behind the floor by
// up to the cost of one request.
const floorCreditFactor = 1.1

// accrueFloorCredit credits the floors of all ranks but one with their share of the tokens served to that one. A rank
// without waiting work accrues credit too, up to the cost of one request: the queue of a small engine is often empty,
// and without this the rank misses its floor by up to 13%.
func (a *Admitter) accrueFloorCredit(servedRankIndex int, tokens float64) {
	for i, q := range a.queues {
		if i != servedRankIndex {
			q.addFloorCredit(q.rank.Floor * floorCreditFactor * tokens)
		}
	}
}

// addFloorCredit adds tokens to the floor credit and caps it at the quantum, the largest recent cost of a request.
func (q *queue) addFloorCredit(tokens float64) {
	q.floorCredit = min(q.floorCredit+tokens, max(q.quantum, 1))
}

// release frees the slot of a running ticket, which produced tokens in this run; complete is false if it will run
// again.
func (a *Admitter) release(t *Ticket, tokens int, now time.Time, complete bool) {
	q, f := a.queues[t.rankIndex], t.flow
	i := slices.Index(a.runningTickets, t)
	last := len(a.runningTickets) - 1
	a.runningTickets[i] = a.runningTickets[last]
	a.runningTickets[last] = nil
	a.runningTickets = a.runningTickets[:last]
	f.runningCount--
	q.runningCount--
	a.runningCount--
	if t.preempting {
		a.preemptingCount--
		f.preemptingCount--
		t.preempting = false
	}
	// Charges the account for the tokens produced instead of the estimated cost.
	f.deficit = max(f.deficit+t.cost-float64(tokens), -maxDebtQuanta*q.quantum)
	// Round robin alone lets a deficit grow to one quantum more than a round adds, so only a refund beyond that is cut
	// off.
	f.deficit = min(f.deficit, q.quantum*(f.weight+1))
	// Floors are shares of the tokens produced, so credit given for the estimated cost is corrected.
	a.accrueFloorCredit(t.rankIndex, float64(tokens)-t.cost)
	if t.grantedByFloor {
		q.addFloorCredit(t.cost - float64(tokens))
	}
	cost := t.cost
	if !complete {
		cost = min(cost, float64(tokens))
	}
	if tokens > 0 {
		// A run that failed or was canceled before its first token says nothing about the speed of the engine.
		a.throughput.addRun(cost, now.Sub(t.grantedAt), now)
		a.throughput.outputTokens.add(float64(tokens), now)
	}
	if complete {
		q.removeIfIdle(f)
	}
}

// drop removes a waiting ticket from its queue and ends it: with ErrPausedExpired if it has run before, otherwise with
// a refusal.
func (a *Admitter) drop(t *Ticket, code string, now time.Time, retryDelay time.Duration) {
	a.queues[t.rankIndex].remove(t)
	t.state = stateEnded
	if t.paused {
		a.pausedCount--
		a.counters.pausedExpired++
		a.recordDecision(t, ErrPausedExpired)
		a.closeIfDrained()
		return
	}
	a.counters.refused[code]++
	a.recordDecision(t, &Refusal{Code: code, RetryAt: now.Add(retryDelay)})
}

// sweepInterval is the least time between two searches of the queues for overdue work, which bounds their cost.
const sweepInterval = 50 * time.Millisecond

// sweep drops waiting work that is past a deadline or the wait limit of its rank, and shortens the queues of overloaded
// ranks.
func (a *Admitter) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	a.updateOverload(now)
	for i, q := range a.queues {
		for a.backlogExceeded(i, now) {
			// Work that arrived before the overload was detected is dropped from the longest flows, newest first.
			f := q.longestFlow()
			if f == nil {
				break
			}
			a.drop(f.waiting[len(f.waiting)-1], CodeWaitTooLong, now, max(maxOverloadedBacklog, minRetryDelay))
		}
		waitLimit := a.waitLimit(i, now)
		for _, f := range slices.Clone(q.activeFlows) {
			for _, t := range slices.Clone(f.waiting) {
				if a.dropIfExpired(t, now) || t.paused {
					continue
				}
				a.dropLate(t, waitLimit, now)
			}
		}
	}
}

// dropLate drops waiting work that is past its start deadline or the wait limit of its rank.
func (a *Admitter) dropLate(t *Ticket, waitLimit time.Duration, now time.Time) {
	startDeadline := t.item.Order.StartDeadline
	switch {
	case !startDeadline.IsZero() && now.After(startDeadline) && now.After(t.queuedAt):
		// Work queued at this very moment may still be granted even if its start deadline has passed, since the clock of
		// its sender may be wrong.
		a.drop(t, CodeBusy, now, minRetryDelay)
	case now.Sub(t.queuedAt) > waitLimit:
		a.drop(t, CodeQueueTimeout, now, waitLimit)
	}
}
