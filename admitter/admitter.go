package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Admitter is the queue of one agent in front of its engine; it is safe for concurrent use.
type Admitter struct {
	o options

	mu       sync.Mutex
	queues   []*queue
	ranks    map[identifier.Rank]int
	active   []*Ticket
	running  int
	leaving  int // running tickets that were asked to pause
	paused   int // waiting tickets that have run before
	service  service
	sweptAt  time.Time
	draining bool
	drained  chan struct{}
	counters counters
	// settled holds the outcomes to deliver after the mutex is released.
	settled []outcome
}

type outcome struct {
	t      *Ticket
	settle func(*Ticket, error)
	err    error
}

type counters struct {
	offered, granted, finished, preempted, expired int64
	refused                                        map[string]int64
}

// New returns an admitter with 16 slots and one unnamed rank unless options say otherwise.
func New(opts ...Option) *Admitter {
	o := options{
		now: time.Now, weight: func(identifier.ClientAccount) float64 { return 1 },
		slots: defaultSlots, headroom: defaultSlots / headroomShare,
		queuePerRank: defaultQueuePerRank, queuePerAccount: defaultQueuePerAccount,
		shrink: defaultShrink, estimates: true,
	}
	for _, opt := range opts {
		opt(&o)
	}
	a := &Admitter{
		o: o, ranks: make(map[identifier.Rank]int), drained: make(chan struct{}),
		counters: counters{refused: make(map[string]int64)},
	}
	for i, r := range o.ranks {
		a.queues = append(a.queues, newQueue(r, o.weight))
		a.ranks[r.Name] = i
	}
	return a
}

// change applies f, grants what it made possible and delivers the outcomes without holding the mutex.
func (a *Admitter) change(f func(now time.Time)) {
	a.mu.Lock()
	now := a.o.now()
	f(now)
	a.dispatch(now)
	settled := a.settled
	a.settled = nil
	a.mu.Unlock()
	for _, s := range settled {
		s.settle(s.t, s.err)
	}
}

func (a *Admitter) notify(t *Ticket, err error) {
	a.settled = append(a.settled, outcome{t: t, settle: t.settle, err: err})
}

// Enqueue queues an item without waiting. An error is a *Refusal, and settle is not called; otherwise settle is called
// exactly once, possibly before Offer returns, with nil when the item may run or with a *Refusal.
func (a *Admitter) Enqueue(it QueuedOrder, settle func(*Ticket, error)) (*Ticket, error) {
	it.Cost = max(it.Cost, 1)
	t := &Ticket{a: a, item: it, settle: settle}
	var refusal *Refusal
	a.change(func(now time.Time) {
		a.counters.offered++
		if refusal = a.check(t, now); refusal != nil {
			a.counters.refused[refusal.Code]++
			t.state = stateEnded
			return
		}
		t.queuedAt = now
		a.queues[t.rank].push(t, false)
	})
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// check returns why new work must be refused at once, or nil.
func (a *Admitter) check(t *Ticket, now time.Time) *Refusal {
	order := t.item.Order
	rank, ok := a.ranks[order.Rank]
	if !ok {
		return &Refusal{Code: CodeUnknownRank}
	}
	t.rank = rank
	if a.draining {
		return &Refusal{Code: CodeDraining, RetryAt: now}
	}
	if !order.Deadline.IsZero() && !now.Before(order.Deadline) {
		return &Refusal{Code: CodeDeadline}
	}
	q := a.queues[rank]
	weight, own, count := max(a.o.weight(order.ClientAccount), minWeight), 0.0, 0
	if f, ok := q.flows[order.ClientAccount]; ok {
		own, count = f.tokens, len(f.waiting)
	}
	wait := a.estimate(rank, order.ClientAccount, t.item.Cost, now)
	if by := order.StartDeadline; !by.IsZero() && !a.startsBy(t, wait, by, now) {
		return &Refusal{Code: CodeBusy, RetryAt: now.Add(max(wait, minRetry))}
	}
	limit := a.waitLimit(rank, now)
	if a.o.estimates {
		if wait > limit || a.full(rank, now) && !a.makeRoom(q, weight, own+t.item.Cost, now) {
			return &Refusal{Code: CodeWaitTooLong, RetryAt: now.Add(max(wait-limit, minRetry))}
		}
		if d := order.Deadline; !d.IsZero() && now.Add(wait+a.service.duration(t.item.Cost)).After(d) {
			return &Refusal{Code: CodeDeadline, RetryAt: now.Add(max(wait, minRetry))}
		}
	}
	if count >= a.o.queuePerAccount {
		return &Refusal{Code: CodeQueueFull, RetryAt: now.Add(max(wait/2, minRetry))}
	}
	if q.items >= a.o.queuePerRank && !a.makeRoom(q, weight, own+t.item.Cost, now) {
		return &Refusal{Code: CodeQueueFull, RetryAt: now.Add(max(wait/2, minRetry))}
	}
	return nil
}

// startsBy reports whether new work with an estimated wait is expected to start by a time. Work that can start at once
// passes whatever the clock of its sender; without a measured rate only such work passes.
func (a *Admitter) startsBy(t *Ticket, wait time.Duration, by, now time.Time) bool {
	if a.waiting() == 0 && (a.running-min(a.leaving, a.o.headroom) < a.o.slots || a.canPreempt(t.rank)) {
		return true
	}
	return a.capacity() > 0 && !now.Add(wait).After(by)
}

// canPreempt reports whether work of a rank could take the slot of a lower rank now.
func (a *Admitter) canPreempt(rank int) bool {
	return a.leaving < max(a.o.headroom, 1) && a.paused < pausedPerSlot*a.o.slots && a.victim(rank, nil) != nil
}

// minRetry keeps refused work from being sent again within the same moment.
const minRetry = 100 * time.Millisecond

// makeRoom refuses the newest work of the account with the longest queue if the new work's account has a shorter one,
// so that one account cannot occupy the whole rank.
func (a *Admitter) makeRoom(q *queue, weight, tokens float64, now time.Time) bool {
	f := q.longest()
	if f == nil || f.tokens/f.weight <= tokens/weight {
		return false
	}
	a.drop(f.waiting[len(f.waiting)-1], CodeQueueFull, now, minRetry)
	return true
}

func (a *Admitter) waiting() int {
	n := 0
	for _, q := range a.queues {
		n += q.items
	}
	return n
}

// Admit waits for a slot. An error is a *Refusal, also when ctx ends: the work was not started and never will be.
func (a *Admitter) Admit(ctx context.Context, it QueuedOrder) (*Ticket, error) {
	ready := make(chan error, 1)
	t, err := a.Enqueue(it, func(_ *Ticket, err error) { ready <- err })
	if err != nil {
		return nil, err
	}
	if err := a.wait(ctx, t, ready); err != nil {
		return nil, err
	}
	return t, nil
}

// wait returns the outcome of a waiting ticket; it wakes up regularly, since an idle queue has no other event on which
// to drop overdue work.
func (a *Admitter) wait(ctx context.Context, t *Ticket, ready <-chan error) error {
	ticker := time.NewTicker(2 * sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ready:
			return err
		case <-ticker.C:
			a.Tick()
		case <-ctx.Done():
			return a.cancel(t, ready)
		}
	}
}

func (a *Admitter) cancel(t *Ticket, ready <-chan error) error {
	a.change(func(now time.Time) {
		switch t.state {
		case stateWaiting:
			a.drop(t, CodeCanceled, now, 0)
		case stateRunning:
			// The slot was granted while ctx ended; the caller has not started anything on it.
			paused := t.paused
			a.release(t, 0, now, true)
			t.state = stateEnded
			if paused {
				a.counters.expired++
			} else {
				a.counters.refused[CodeCanceled]++
			}
			a.settleDrain()
		}
	})
	if err := <-ready; err != nil {
		return err
	}
	if t.paused {
		return ErrPausedExpired
	}
	return &Refusal{Code: CodeCanceled, RetryAt: a.o.now()}
}

// Tick drops overdue work; waiting calls of Admit do so by themselves, users of Offer call it every 100 ms or so.
func (a *Admitter) Tick() {
	a.change(func(time.Time) {})
}

// Drain refuses new and waiting work at once, so that it can be sent elsewhere; running and paused work continues.
func (a *Admitter) Drain() {
	a.change(func(now time.Time) {
		a.draining = true
		for _, q := range a.queues {
			var waiting []*Ticket
			for _, f := range q.round {
				waiting = append(waiting, f.waiting...)
			}
			for _, t := range waiting {
				if !t.paused {
					a.drop(t, CodeDraining, now, 0)
				}
			}
		}
		a.settleDrain()
	})
}

// Drained is closed once Drain was called and no work is running or paused.
func (a *Admitter) Drained() <-chan struct{} {
	return a.drained
}

func (a *Admitter) settleDrain() {
	if !a.draining || a.running > 0 || a.paused > 0 {
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}
