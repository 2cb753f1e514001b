package admitter

import (
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// flow is the work of one client account within one rank.
type flow struct {
	account identifier.ClientAccount
	weight  float64
	waiting []*Ticket
	tokens  float64 // cost of the waiting items
	deficit float64 // tokens that the flow may still be granted in this round
	running int
	leaving int // running tickets that were asked to pause
}

// queue is the work of one rank, served by deficit round robin between its flows.
type queue struct {
	rank    configurer.Rank
	weight  func(identifier.ClientAccount) float64
	flows   map[identifier.ClientAccount]*flow
	round   []*flow // flows with waiting work in the order of service
	quantum float64 // tokens per round and unit of weight: the largest cost seen lately
	items   int
	tokens  float64
	running int
	// outranked is the number of waiting tickets that lost their slot to a higher rank.
	outranked int
	// credit is the number of tokens by which grants lag behind the floor; it is negative after a request that cost more.
	credit float64
	// delayedSince is when the oldest waiting work began to exceed its target wait; zero while it does not.
	delayedSince time.Time
	granted      rate
}

const (
	minWeight = 0.01
	// quantumDecay lets the quantum follow the costs down after a few hundred requests.
	quantumDecay = 0.995
	// maxDebt bounds, in quanta, what a flow pays back for work that cost more than estimated.
	maxDebt = 4
)

func newQueue(r configurer.Rank, weight func(identifier.ClientAccount) float64) *queue {
	return &queue{rank: r, weight: weight, flows: make(map[identifier.ClientAccount]*flow)}
}

// flowOf returns the account's flow and whether it is new.
func (q *queue) flowOf(account identifier.ClientAccount) (*flow, bool) {
	if f, ok := q.flows[account]; ok {
		return f, false
	}
	f := &flow{account: account, weight: max(q.weight(account), minWeight)}
	q.flows[account] = f
	return f, true
}

// push adds a ticket; a paused one goes to the front of its flow.
func (q *queue) push(t *Ticket, front bool) {
	f, fresh := q.flowOf(t.item.Order.ClientAccount)
	t.flow = f
	t.cost = max(t.item.Cost-float64(t.done), 1)
	q.quantum = max(q.quantum*quantumDecay, t.cost)
	if len(f.waiting) == 0 {
		if fresh {
			// An account with no other work goes first once, so that sparse accounts do not wait for a round.
			f.deficit = max(q.quantum*f.weight, t.cost)
			q.round = slices.Insert(q.round, 0, f)
		} else {
			f.deficit = min(f.deficit, 0)
			q.round = append(q.round, f)
		}
	}
	if front {
		f.waiting = slices.Insert(f.waiting, 0, t)
	} else {
		f.waiting = append(f.waiting, t)
	}
	f.tokens += t.cost
	q.items++
	q.tokens += t.cost
	if t.outranked {
		q.outranked++
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
	f.tokens -= t.cost
	q.items--
	q.tokens -= t.cost
	if t.outranked {
		q.outranked--
	}
	if len(f.waiting) == 0 {
		f.tokens = 0
		if j := slices.Index(q.round, f); j >= 0 {
			q.round = slices.Delete(q.round, j, j+1)
		}
		q.forget(f)
	}
	if q.items == 0 {
		q.tokens = 0
	}
}

// forget drops a flow without work, which bounds the memory by the bounds of queue and slots.
func (q *queue) forget(f *flow) {
	if len(f.waiting) == 0 && f.running == 0 {
		delete(q.flows, f.account)
	}
}

// next returns the ticket that deficit round robin serves next, or nil; the ticket stays in the queue.
func (q *queue) next() *Ticket {
	if len(q.round) == 0 {
		return nil
	}
	if q.outranked > 0 {
		// New work would add to the paused work, which must all be served before service is normal after an overload.
		return q.firstOutranked()
	}
	for {
		f := q.round[0]
		if t := f.waiting[0]; f.deficit >= t.cost {
			return t
		}
		f.deficit += q.quantum * f.weight
		q.round = append(slices.Delete(q.round, 0, 1), f)
	}
}

// firstOutranked returns the waiting ticket that lost its slot to a higher rank first.
func (q *queue) firstOutranked() *Ticket {
	var first *Ticket
	for _, f := range q.round {
		for _, t := range f.waiting {
			if t.outranked && (first == nil || t.queuedAt.Before(first.queuedAt)) {
				first = t
			}
		}
	}
	return first
}

// part returns the slots per weight that each flow has if those with work share the slots equally.
func (q *queue) part(slots int) float64 {
	weights := 0.0
	for _, f := range q.flows {
		weights += f.weight
	}
	return float64(slots) / max(weights, minWeight)
}

// oldest returns the time at which the longest waiting work was queued.
func (q *queue) oldest() (time.Time, bool) {
	var at time.Time
	for _, f := range q.round {
		for _, t := range f.waiting {
			if !t.paused && (at.IsZero() || t.queuedAt.Before(at)) {
				at = t.queuedAt
				break
			}
		}
	}
	return at, !at.IsZero()
}

// longest returns the flow with the most waiting work per weight that holds work which may be refused.
func (q *queue) longest() *flow {
	var best *flow
	for _, f := range q.round {
		if f.waiting[len(f.waiting)-1].paused {
			continue
		}
		if best == nil || f.tokens/f.weight > best.tokens/best.weight {
			best = f
		}
	}
	return best
}
