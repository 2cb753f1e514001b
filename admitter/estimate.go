package admitter

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// rateWindow is the time constant of the measured rates; it spans several requests of a busy engine, yet forgets an
// overload within the 10 s in which service must be normal again.
const rateWindow = 5 * time.Second

// rate is an exponentially decaying sum of tokens.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(tokens float64, now time.Time) {
	r.sum = r.sum*decay(now.Sub(r.at)) + tokens
	r.at = now
}

// perSecond returns the average over the window in tokens per second.
func (r *rate) perSecond(now time.Time) float64 {
	return r.sum * decay(now.Sub(r.at)) / rateWindow.Seconds()
}

func decay(dt time.Duration) float64 {
	return math.Exp(-max(dt, 0).Seconds() / rateWindow.Seconds())
}

// service measures the engine from ended runs: cost in tokens per second of a slot.
type service struct {
	cost    float64
	seconds float64
	at      time.Time
	output  rate // tokens actually produced
}

func (s *service) add(cost float64, d time.Duration, now time.Time) {
	k := decay(now.Sub(s.at))
	s.cost = s.cost*k + cost
	s.seconds = s.seconds*k + d.Seconds()
	s.at = now
}

// perSlot returns the cost that one slot serves per second, or 0 before the first run has ended.
func (s *service) perSlot() float64 {
	if s.seconds <= 0 {
		return 0
	}
	return s.cost / s.seconds
}

// duration returns the expected time to run work of a cost.
func (s *service) duration(cost float64) time.Duration {
	r := s.perSlot()
	if r <= 0 {
		return 0
	}
	return seconds(cost / r)
}

func seconds(s float64) time.Duration {
	const limit = float64(time.Hour / time.Second)
	return time.Duration(min(s, limit) * float64(time.Second))
}

// estimate returns the expected wait of new work of a rank; 0 when it is unknown or a slot is free.
func (a *Admitter) estimate(rank int, account identifier.ClientAccount, cost float64, now time.Time) time.Duration {
	if a.running < a.o.slots && a.waiting() == 0 {
		return 0
	}
	total := a.capacity()
	if total <= 0 {
		return 0
	}
	q := a.queues[rank]
	// Round robin serves other accounts in proportion while the account's own work ahead is served.
	weight, own := max(a.o.weight(account), minWeight), 0.0
	if f, ok := q.flows[account]; ok {
		own = f.tokens
	}
	round := (own + cost) / weight
	for _, f := range q.round {
		if f.account != account {
			own += min(f.tokens, round*f.weight)
		}
	}
	ahead := own
	higher, taken := 0.0, 0.0
	for i, other := range a.queues {
		switch {
		case i < rank:
			higher += other.tokens
			taken += other.granted.perSecond(now)
		case i > rank && other.items > 0:
			taken += other.rank.Floor * total
		}
	}
	available := max(total-taken, q.rank.Floor*total, total*minAvailable)
	// The next slot becomes free after about one item's share of the capacity, unless lower work can be preempted.
	if a.victim(rank, nil) == nil {
		own += cost / 2
	}
	wait := higher/total + own/available
	if floor := q.rank.Floor * total; floor > 0 {
		// The floor serves new work once the credit is positive. The wait for the next slot is left out: with it, late binding
		// sends more orders on to other engines, and the urgent first token in a batch flood grew by up to 2%.
		wait = min(wait, max(ahead-q.credit, 0)/floor)
	}
	return seconds(wait)
}

// minAvailable keeps the estimate finite for a rank without a floor under full load.
const minAvailable = 0.01

// waitLimit is the longest time that new work of a rank may wait: a part of the target time to the first token,
// less for each overloaded rank above, because its capacity will go to the more urgent work. A rank with a floor keeps
// the time in which its floor serves a few requests; with less its queue runs empty and the floor is not used.
func (a *Admitter) waitLimit(rank int, now time.Time) time.Duration {
	q := a.queues[rank]
	full := float64(q.rank.FirstToken) * waitShare
	limit := full
	for i := range rank {
		if a.overloaded(i, now) {
			limit *= a.o.shrink
		}
	}
	if r := a.capacity() * q.rank.Floor; r > 0 {
		limit = max(limit, min(full, floorQueue*q.quantum/r*float64(time.Second)))
	}
	return time.Duration(limit)
}

// floorQueue is the number of the largest requests that a rank with a floor may always queue.
const floorQueue = 4

// capacity returns the measured rate of all slots in tokens per second, or 0 before the first run has ended.
func (a *Admitter) capacity() float64 {
	return a.service.perSlot() * float64(a.o.slots)
}

// full reports whether an overloaded rank has as much waiting work as can be served soon after the overload. A longer
// queue adds delay without adding throughput.
func (a *Admitter) full(rank int, now time.Time) bool {
	total := a.capacity()
	return total > 0 && a.overloaded(rank, now) && a.queues[rank].tokens/total > overloadedBacklog.Seconds()
}

// overloadedBacklog bounds the queue of an overloaded rank by the time that the whole capacity takes for it. Service
// must be normal within 10 s of the end of an overload, and other work keeps arriving while the queue drains: with 2.5 s
// draining took up to 13 s, with 1 s the floor of a rank was missed at times for want of waiting work.
const overloadedBacklog = 1500 * time.Millisecond

// overloadAfter is how long work must keep waiting beyond its target before the rank counts as overloaded; shorter
// bursts are absorbed by the queue (as in CoDel).
const overloadAfter = 500 * time.Millisecond

// delayShare is the part of the wait limit above which waiting work counts as delayed.
const delayShare = 0.25

func (a *Admitter) overloaded(rank int, now time.Time) bool {
	since := a.queues[rank].delayedSince
	return !since.IsZero() && now.Sub(since) >= overloadAfter
}

// observeDelay updates the sign of overload of each rank.
func (a *Admitter) observeDelay(now time.Time) {
	for _, q := range a.queues {
		target := min(time.Duration(float64(q.rank.FirstToken)*waitShare*delayShare), overloadedBacklog/2)
		oldest, ok := q.oldest()
		switch {
		case !ok || now.Sub(oldest) < target:
			q.delayedSince = time.Time{}
		case q.delayedSince.IsZero():
			q.delayedSince = now
		}
	}
}
