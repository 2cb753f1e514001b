package admitter

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// rateTimeConstant is the time constant of the measured rates: long enough to average several requests of a busy
// engine, and short enough to forget an overload within the 10 s in which service must be normal again.
const rateTimeConstant = 5 * time.Second

// rate is an exponentially decaying sum of tokens.
type rate struct {
	sum       float64
	updatedAt time.Time
}

func (r *rate) add(tokens float64, now time.Time) {
	r.sum = r.sum*decay(now.Sub(r.updatedAt)) + tokens
	r.updatedAt = now
}

// perSecond returns the average in tokens per second over the time constant.
func (r *rate) perSecond(now time.Time) float64 {
	return r.sum * decay(now.Sub(r.updatedAt)) / rateTimeConstant.Seconds()
}

func decay(dt time.Duration) float64 {
	return math.Exp(-max(dt, 0).Seconds() / rateTimeConstant.Seconds())
}

// throughput measures the speed of the engine from the runs that have ended.
type throughput struct {
	costSum      float64
	slotSeconds  float64
	updatedAt    time.Time
	outputTokens rate // tokens actually produced
}

func (t *throughput) addRun(cost float64, d time.Duration, now time.Time) {
	factor := decay(now.Sub(t.updatedAt))
	t.costSum = t.costSum*factor + cost
	t.slotSeconds = t.slotSeconds*factor + d.Seconds()
	t.updatedAt = now
}

// costPerSlotSecond returns the cost in tokens that one slot serves per second, or 0 before the first run has ended.
func (t *throughput) costPerSlotSecond() float64 {
	if t.slotSeconds <= 0 {
		return 0
	}
	return t.costSum / t.slotSeconds
}

// expectedDuration returns the expected time in a slot for work of a cost, or 0 before the first run has ended.
func (t *throughput) expectedDuration(cost float64) time.Duration {
	r := t.costPerSlotSecond()
	if r <= 0 {
		return 0
	}
	return durationOfSeconds(cost / r)
}

func durationOfSeconds(seconds float64) time.Duration {
	const maxSeconds = float64(time.Hour / time.Second)
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}

// estimateWait returns the expected wait of new work of a rank and account; 0 when it is unknown or a slot is free.
func (a *Admitter) estimateWait(rankIndex int, account identifier.ClientAccount, cost float64, now time.Time) time.Duration {
	if a.runningCount < a.opts.slots && a.waitingCount() == 0 {
		return 0
	}
	capacity := a.capacity()
	if capacity <= 0 {
		return 0
	}
	q := a.queues[rankIndex]
	// While the work of this account that is ahead is served, round robin serves the other accounts in proportion to
	// their weights.
	weight, costAhead := max(a.opts.weight(account), minWeight), 0.0
	if f, ok := q.flows[account]; ok {
		costAhead = f.waitingCost
	}
	rounds := (costAhead + cost) / weight
	for _, f := range q.activeFlows {
		if f.account != account {
			costAhead += min(f.waitingCost, rounds*f.weight)
		}
	}
	queuedAhead := costAhead
	higherRankCost, takenRate := 0.0, 0.0
	for i, other := range a.queues {
		switch {
		case i < rankIndex:
			higherRankCost += other.waitingCost
			takenRate += other.grantRate.perSecond(now)
		case i > rankIndex && other.waitingCount > 0:
			takenRate += other.rank.Floor * capacity
		}
	}
	availableRate := max(capacity-takenRate, q.rank.Floor*capacity, capacity*minAvailableShare)
	// Unless lower work can be preempted, the next slot becomes free only after about one item's share of the capacity.
	if a.victimFor(rankIndex, nil) == nil {
		costAhead += cost / 2
	}
	wait := higherRankCost/capacity + costAhead/availableRate
	if floorRate := q.rank.Floor * capacity; floorRate > 0 {
		// Once the floor credit is positive, the floor serves new work. The wait for the next slot is left out here: with
		// it, late binding forwards more orders to other engines, which raises the urgent time to first token in a batch
		// flood by up to 2%.
		wait = min(wait, max(queuedAhead-q.floorCredit, 0)/floorRate)
	}
	return durationOfSeconds(wait)
}

// minAvailableShare is the least part of the capacity that estimateWait assumes for a rank; it keeps the estimate
// finite for a rank without a floor under full load.
const minAvailableShare = 0.01

// waitLimit returns the longest time that new work of a rank may wait: a part of the target time to first token,
// reduced for each overloaded rank above it, since the capacity then goes to the more urgent work. For a rank with a
// floor the reduced limit still covers the time in which the floor serves minFloorQueueItems requests; with less, its
// queue runs empty and the floor goes unused.
func (a *Admitter) waitLimit(rankIndex int, now time.Time) time.Duration {
	q := a.queues[rankIndex]
	fullLimit := float64(q.rank.FirstToken) * queueTimeShare
	limit := fullLimit
	for i := range rankIndex {
		if a.overloaded(i, now) {
			limit *= a.opts.queueTimeoutFactor
		}
	}
	if floorRate := a.capacity() * q.rank.Floor; floorRate > 0 {
		limit = max(limit, min(fullLimit, minFloorQueueItems*q.quantum/floorRate*float64(time.Second)))
	}
	return time.Duration(limit)
}

// minFloorQueueItems is the number of requests of the largest recent cost for which the wait limit of a rank with a
// floor leaves time.
const minFloorQueueItems = 4

// capacity returns the measured rate of all slots in tokens per second, or 0 before the first run has ended.
func (a *Admitter) capacity() float64 {
	return a.throughput.costPerSlotSecond() * float64(a.opts.slots)
}

// backlogExceeded reports whether an overloaded rank has more waiting work than can be served soon after the overload.
// A longer queue adds delay without adding throughput.
func (a *Admitter) backlogExceeded(rankIndex int, now time.Time) bool {
	capacity := a.capacity()
	return capacity > 0 && a.overloaded(rankIndex, now) && a.queues[rankIndex].waitingCost/capacity > maxOverloadedBacklog.Seconds()
}

// maxOverloadedBacklog bounds the queue of an overloaded rank by the time that the whole capacity takes to serve it.
// Service must be normal within 10 s after an overload ends, while other work keeps arriving: with 2.5 s draining the
// queue takes up to 13 s, and with 1 s a rank at times misses its floor because too little work is waiting.
const maxOverloadedBacklog = 1500 * time.Millisecond

// overloadOnset is how long waiting work must exceed the delay threshold before its rank counts as overloaded; the
// queue absorbs shorter bursts (as in CoDel).
const overloadOnset = 500 * time.Millisecond

// delayedLimitShare is the part of the unreduced wait limit beyond which waiting work counts as delayed.
const delayedLimitShare = 0.25

func (a *Admitter) overloaded(rankIndex int, now time.Time) bool {
	since := a.queues[rankIndex].delayedSince
	return !since.IsZero() && now.Sub(since) >= overloadOnset
}

// updateOverload records since when the oldest waiting work of each rank has exceeded its delay threshold.
func (a *Admitter) updateOverload(now time.Time) {
	for _, q := range a.queues {
		threshold := min(time.Duration(float64(q.rank.FirstToken)*queueTimeShare*delayedLimitShare), maxOverloadedBacklog/2)
		queuedAt, ok := q.oldestQueuedAt()
		switch {
		case !ok || now.Sub(queuedAt) < threshold:
			q.delayedSince = time.Time{}
		case q.delayedSince.IsZero():
			q.delayedSince = now
		}
	}
}
