package admitter

import (
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// flow holds the waiting work of one client account within one rank and counts the running work.
type flow struct {
	account         identifier.ClientAccount
	weight          float64
	waiting         []*Ticket
	waitingCost     float64 // tokens
	deficit         float64 // tokens that the flow may still be granted in this round; negative while in debt
	runningCount    int
	preemptingCount int // running tickets that were asked to pause
}

// queue holds the waiting work of one rank, which deficit round robin serves between the flows.
type queue struct {
	rank         configurer.Rank
	weight       func(identifier.ClientAccount) float64
	flows        map[identifier.ClientAccount]*flow
	activeFlows  []*flow // flows with waiting work, in round-robin order
	quantum      float64 // tokens that a round adds for each unit of weight: the largest recent cost of a request
	waitingCount int
	waitingCost  float64 // tokens
	runningCount int
	// outrankedCount is the number of waiting tickets that a higher rank preempted.
	outrankedCount int
	// floorCredit is the number of tokens by which grants lag behind the floor; it is negative after a request that cost
	// more than the credit.
	floorCredit float64
	// delayedSince is when the oldest waiting work began to exceed the delay threshold; zero while it does not.
	delayedSince time.Time
	grantRate    rate
}

const (
	minWeight = 0.01
	// quantumDecay is applied to the quantum with each request, so that it follows falling costs within a few hundred
	// requests.
	quantumDecay = 0.995
	// maxDebtQuanta bounds, in quanta, the negative deficit of a flow after work that cost more than estimated.
	maxDebtQuanta = 4
)

func newQueue(r configurer.Rank, weight func(identifier.ClientAccount) float64) *queue {
	return &queue{rank: r, weight: weight, flows: make(map[identifier.ClientAccount]*flow)}
}

// flowFor returns the flow of an account, which it creates if necessary, and whether it is new.
func (q *queue) flowFor(account identifier.ClientAccount) (*flow, bool) {
	if f, ok := q.flows[account]; ok {
		return f, false
	}
	f := &flow{account: account, weight: max(q.weight(account), minWeight)}
	q.flows[account] = f
	return f, true
}

// push adds a ticket to its flow; paused work goes to the front.
func (q *queue) push(t *Ticket, front bool) {
	f, isNew := q.flowFor(t.item.Order.ClientAccount)
	t.flow = f
	t.cost = max(t.item.Cost-float64(t.doneTokens), 1)
	q.quantum = max(q.quantum*quantumDecay, t.cost)
	if len(f.waiting) == 0 {
		if isNew {
			// An account without other work is served first once, so that accounts that send little do not wait for a
			// whole round.
			f.deficit = max(q.quantum*f.weight, t.cost)
			q.activeFlows = slices.Insert(q.activeFlows, 0, f)
		} else {
			f.deficit = min(f.deficit, 0)
			q.activeFlows = append(q.activeFlows, f)
		}
	}
	if front {
		f.waiting = slices.Insert(f.waiting, 0, t)
	} else {
		f.waiting = append(f.waiting, t)
	}
	f.waitingCost += t.cost
	q.waitingCount++
	q.waitingCost += t.cost
	if t.outranked {
		q.outrankedCount++
	}
}

// remove takes a waiting ticket out of the queue.
func (q *queue) remove(t *Ticket) {
	f := t.flow
	i := slices.Index(f.waiting, t)
	if i < 0 {
		panic("admitter: ticket is not in its queue")
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.waitingCost -= t.cost
	q.waitingCount--
	q.waitingCost -= t.cost
	if t.outranked {
		q.outrankedCount--
	}
	if len(f.waiting) == 0 {
		f.waitingCost = 0
		if j := slices.Index(q.activeFlows, f); j >= 0 {
			q.activeFlows = slices.Delete(q.activeFlows, j, j+1)
		}
		q.removeIfIdle(f)
	}
	if q.waitingCount == 0 {
		q.waitingCost = 0
	}
}

// removeIfIdle deletes a flow without waiting or running work, so that the limits on both also bound the memory for
// flows.
func (q *queue) removeIfIdle(f *flow) {
	if len(f.waiting) == 0 && f.runningCount == 0 {
		delete(q.flows, f.account)
	}
}

// next returns the ticket to serve next by deficit round robin, or nil; the ticket stays in the queue.
func (q *queue) next() *Ticket {
	if len(q.activeFlows) == 0 {
		return nil
	}
	if q.outrankedCount > 0 {
		// Outranked work goes before new work, which might be preempted in turn and add to the paused work. All paused
		// work must be served before service is normal after an overload.
		return q.firstOutranked()
	}
	for {
		f := q.activeFlows[0]
		if t := f.waiting[0]; f.deficit >= t.cost {
			return t
		}
		f.deficit += q.quantum * f.weight
		q.activeFlows = append(slices.Delete(q.activeFlows, 0, 1), f)
	}
}

// firstOutranked returns the waiting ticket that a higher rank preempted and that was put back first.
func (q *queue) firstOutranked() *Ticket {
	var first *Ticket
	for _, f := range q.activeFlows {
		for _, t := range f.waiting {
			if t.outranked && (first == nil || t.queuedAt.Before(first.queuedAt)) {
				first = t
			}
		}
	}
	return first
}

// fairShare returns the slots per weight of each flow if all flows with work shared the slots in proportion to their
// weights.
func (q *queue) fairShare(slots int) float64 {
	weightSum := 0.0
	for _, f := range q.flows {
		weightSum += f.weight
	}
	return float64(slots) / max(weightSum, minWeight)
}

// oldestQueuedAt returns when the oldest waiting work that has not run yet was queued, and false if there is none.
func (q *queue) oldestQueuedAt() (time.Time, bool) {
	var oldest time.Time
	for _, f := range q.activeFlows {
		for _, t := range f.waiting {
			if !t.paused && (oldest.IsZero() || t.queuedAt.Before(oldest)) {
				oldest = t.queuedAt
				break
			}
		}
	}
	return oldest, !oldest.IsZero()
}

// longestFlow returns the flow with the most waiting cost per weight among those whose newest ticket may be refused, or
// nil.
func (q *queue) longestFlow() *flow {
	var best *flow
	for _, f := range q.activeFlows {
		if f.waiting[len(f.waiting)-1].paused {
			continue
		}
		if best == nil || f.waitingCost/f.weight > best.waitingCost/best.weight {
			best = f
		}
	}
	return best
}
