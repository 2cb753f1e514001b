package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Admitter queues the work of one agent in front of its engine and grants slots; it is safe for concurrent use.
type Admitter struct {
	opts options

	mu              sync.Mutex
	queues          []*queue
	rankIndexes     map[identifier.Rank]int // indexes into queues, the most urgent rank first
	runningTickets  []*Ticket
	runningCount    int
	preemptingCount int // running tickets that were asked to pause
	pausedCount     int // waiting tickets that were preempted
	throughput      throughput
	sweptAt         time.Time
	draining        bool
	drained         chan struct{}
	counters        counters
	// decisions holds the grants and refusals to report after the mutex is released.
	decisions []decision
}

type decision struct {
	ticket     *Ticket
	onDecision func(*Ticket, error)
	err        error
}

type counters struct {
	offered, granted, finished, preempted, pausedExpired int64
	refused                                              map[string]int64
}

// New returns an admitter with 16 slots unless WithSlots says otherwise; it refuses work of ranks that WithRanks does
// not name.
func New(opts ...Option) *Admitter {
	o := options{
		now: time.Now, weight: func(identifier.ClientAccount) float64 { return 1 },
		slots: defaultSlots, headroom: defaultSlots / slotsPerHeadroom,
		maxQueuedPerRank: defaultMaxQueuedPerRank, maxQueuedPerAccount: defaultMaxQueuedPerAccount,
		queueTimeoutFactor: defaultQueueTimeoutFactor, refuseByEstimate: true,
	}
	for _, opt := range opts {
		opt(&o)
	}
	a := &Admitter{
		opts: o, rankIndexes: make(map[identifier.Rank]int), drained: make(chan struct{}),
		counters: counters{refused: make(map[string]int64)},
	}
	for i, r := range o.ranks {
		a.queues = append(a.queues, newQueue(r, o.weight))
		a.rankIndexes[r.Name] = i
	}
	return a
}

// update calls f with the mutex held, grants the slots that this freed, and reports the decisions after the mutex is
// released.
func (a *Admitter) update(f func(now time.Time)) {
	a.mu.Lock()
	now := a.opts.now()
	f(now)
	a.dispatch(now)
	decisions := a.decisions
	a.decisions = nil
	a.mu.Unlock()
	for _, d := range decisions {
		d.onDecision(d.ticket, d.err)
	}
}

func (a *Admitter) recordDecision(t *Ticket, err error) {
	a.decisions = append(a.decisions, decision{ticket: t, onDecision: t.onDecision, err: err})
}

// Enqueue queues an item without waiting. If it returns an error, that is a *Refusal and onDecision is not called.
// Otherwise onDecision is called exactly once, possibly before Enqueue returns, with nil when the item may run or with
// a *Refusal.
func (a *Admitter) Enqueue(item QueuedOrder, onDecision func(*Ticket, error)) (*Ticket, error) {
	item.Cost = max(item.Cost, 1)
	t := &Ticket{admitter: a, item: item, onDecision: onDecision}
	var refusal *Refusal
	a.update(func(now time.Time) {
		a.counters.offered++
		if refusal = a.checkAdmission(t, now); refusal != nil {
			a.counters.refused[refusal.Code]++
			t.state = stateEnded
			return
		}
		t.queuedAt = now
		a.queues[t.rankIndex].push(t, false)
	})
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// checkAdmission returns the reason to refuse a new ticket at once, or nil; it may drop waiting work of another account
// to make room.
func (a *Admitter) checkAdmission(t *Ticket, now time.Time) *Refusal {
	order := t.item.Order
	rankIndex, ok := a.rankIndexes[order.Rank]
	if !ok {
		return &Refusal{Code: CodeUnknownRank}
	}
	t.rankIndex = rankIndex
	if a.draining {
		return &Refusal{Code: CodeDraining, RetryAt: now}
	}
	if !order.Deadline.IsZero() && !now.Before(order.Deadline) {
		return &Refusal{Code: CodeDeadline}
	}
	q := a.queues[rankIndex]
	weight, accountCost, accountItems := max(a.opts.weight(order.ClientAccount), minWeight), 0.0, 0
	if f, ok := q.flows[order.ClientAccount]; ok {
		accountCost, accountItems = f.waitingCost, len(f.waiting)
	}
	wait := a.estimateWait(rankIndex, order.ClientAccount, t.item.Cost, now)
	if startDeadline := order.StartDeadline; !startDeadline.IsZero() && !a.canStartBy(t, wait, startDeadline, now) {
		return &Refusal{Code: CodeBusy, RetryAt: now.Add(max(wait, minRetryDelay))}
	}
	waitLimit := a.waitLimit(rankIndex, now)
	if a.opts.refuseByEstimate {
		if wait > waitLimit || a.backlogExceeded(rankIndex, now) && !a.shedFromLongestFlow(q, weight, accountCost+t.item.Cost, now) {
			return &Refusal{Code: CodeWaitTooLong, RetryAt: now.Add(max(wait-waitLimit, minRetryDelay))}
		}
		if deadline := order.Deadline; !deadline.IsZero() && now.Add(wait+a.throughput.expectedDuration(t.item.Cost)).After(deadline) {
			return &Refusal{Code: CodeDeadline, RetryAt: now.Add(max(wait, minRetryDelay))}
		}
	}
	if accountItems >= a.opts.maxQueuedPerAccount {
		return &Refusal{Code: CodeQueueFull, RetryAt: now.Add(max(wait/2, minRetryDelay))}
	}
	if q.waitingCount >= a.opts.maxQueuedPerRank && !a.shedFromLongestFlow(q, weight, accountCost+t.item.Cost, now) {
		return &Refusal{Code: CodeQueueFull, RetryAt: now.Add(max(wait/2, minRetryDelay))}
	}
	return nil
}

// canStartBy reports whether new work with an estimated wait is expected to start by its start deadline. Work that can
// start at once passes whatever the deadline says, since the clock of its sender may be wrong. As long as no rate has
// been measured, only such work passes.
func (a *Admitter) canStartBy(t *Ticket, wait time.Duration, deadline, now time.Time) bool {
	if a.waitingCount() == 0 &&
		(a.runningCount-min(a.preemptingCount, a.opts.headroom) < a.opts.slots || a.canPreempt(t.rankIndex)) {
		return true
	}
	return a.capacity() > 0 && !now.Add(wait).After(deadline)
}

// canPreempt reports whether work of a rank could preempt running work of a lower rank now.
func (a *Admitter) canPreempt(rankIndex int) bool {
	return a.preemptingCount < max(a.opts.headroom, 1) && a.pausedCount < maxPausedPerSlot*a.opts.slots &&
		a.victimFor(rankIndex, nil) != nil
}

// minRetryDelay keeps senders from repeating refused work immediately.
const minRetryDelay = 100 * time.Millisecond

// shedFromLongestFlow drops the newest work of the account with the most waiting cost per weight, unless the new work
// would bring its own account to as much; accountCost is what that account would then have. This keeps one account from
// occupying the whole queue of a rank.
func (a *Admitter) shedFromLongestFlow(q *queue, weight, accountCost float64, now time.Time) bool {
	f := q.longestFlow()
	if f == nil || f.waitingCost/f.weight <= accountCost/weight {
		return false
	}
	a.drop(f.waiting[len(f.waiting)-1], CodeQueueFull, now, minRetryDelay)
	return true
}

func (a *Admitter) waitingCount() int {
	n := 0
	for _, q := range a.queues {
		n += q.waitingCount
	}
	return n
}

// Admit queues an item and waits for its slot. An error is a *Refusal, also when ctx ends: the work was not started and
// never will be.
func (a *Admitter) Admit(ctx context.Context, item QueuedOrder) (*Ticket, error) {
	decided := make(chan error, 1)
	t, err := a.Enqueue(item, func(_ *Ticket, err error) { decided <- err })
	if err != nil {
		return nil, err
	}
	if err := a.waitForDecision(ctx, t, decided); err != nil {
		return nil, err
	}
	return t, nil
}

// waitForDecision waits until a ticket is granted, dropped or canceled. It calls Tick regularly, since in an idle queue
// nothing else drops overdue work.
func (a *Admitter) waitForDecision(ctx context.Context, t *Ticket, decided <-chan error) error {
	ticker := time.NewTicker(2 * sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-decided:
			return err
		case <-ticker.C:
			a.Tick()
		case <-ctx.Done():
			return a.cancel(t, decided)
		}
	}
}

func (a *Admitter) cancel(t *Ticket, decided <-chan error) error {
	a.update(func(now time.Time) {
		switch t.state {
		case stateWaiting:
			a.drop(t, CodeCanceled, now, 0)
		case stateRunning:
			// The slot was granted while ctx was ending; the caller has not started the work.
			wasPaused := t.paused
			a.release(t, 0, now, true)
			t.state = stateEnded
			if wasPaused {
				a.counters.pausedExpired++
			} else {
				a.counters.refused[CodeCanceled]++
			}
			a.closeIfDrained()
		}
	})
	if err := <-decided; err != nil {
		return err
	}
	if t.paused {
		return ErrPausedExpired
	}
	return &Refusal{Code: CodeCanceled, RetryAt: a.opts.now()}
}

// Tick drops overdue work. Admit and Resume call it while they wait; users of Enqueue and Requeue must call it about
// every 100 ms.
func (a *Admitter) Tick() {
	a.update(func(time.Time) {})
}

// Drain refuses new and waiting work at once, so that its senders can send it elsewhere; running and paused work
// continues.
func (a *Admitter) Drain() {
	a.update(func(now time.Time) {
		a.draining = true
		for _, q := range a.queues {
			var waiting []*Ticket
			for _, f := range q.activeFlows {
				waiting = append(waiting, f.waiting...)
			}
			for _, t := range waiting {
				if !t.paused {
					a.drop(t, CodeDraining, now, 0)
				}
			}
		}
		a.closeIfDrained()
	})
}

// Drained returns a channel that is closed once Drain has been called and no work is running or paused.
func (a *Admitter) Drained() <-chan struct{} {
	return a.drained
}

func (a *Admitter) closeIfDrained() {
	if !a.draining || a.runningCount > 0 || a.pausedCount > 0 {
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}
