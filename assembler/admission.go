package assembler

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// accountQueueDivisor divides an agent's queue: one client account may fill 1/accountQueueDivisor of it.
const accountQueueDivisor = 4

// admission holds the agent's queue, which is built from the ranks of the configuration in force. When the ranks change,
// a new queue replaces it: waiting orders move to it, and running ones still finish on the old queue's own slots.
type admission struct {
	settings *configurer.AgentSettings
	// observeWait is called with the time that each admitted order has waited.
	observeWait func(identifier.Rank, time.Duration)
	current     atomic.Pointer[admitter.Admitter]
	weights     atomic.Pointer[map[identifier.ClientAccount]float64]

	mu             sync.Mutex
	ranks          []configurer.Rank
	draining       bool
	queuesReplaced int64
}

func newAdmission(s *configurer.AgentSettings) *admission {
	return &admission{settings: s, observeWait: func(identifier.Rank, time.Duration) {}}
}

// configure applies a configuration. It replaces the queue if the ranks have changed.
func (a *admission) configure(cfg *configurer.Configuration) {
	weights := make(map[identifier.ClientAccount]float64, len(cfg.ClientAccounts))
	for i := range cfg.ClientAccounts {
		weights[cfg.ClientAccounts[i].Name] = cfg.ClientAccounts[i].Weight
	}
	a.weights.Store(&weights)
	a.mu.Lock()
	defer a.mu.Unlock()
	if reflect.DeepEqual(a.ranks, cfg.Ranks) {
		return
	}
	a.ranks = cfg.Ranks
	s := a.settings
	next := admitter.New(
		admitter.WithRanks(cfg.Ranks), admitter.WithSlots(s.Upstream.Slots), admitter.WithWeight(a.weight),
		admitter.WithQueueLimits(s.Limits.MaxQueued, max(1, s.Limits.MaxQueued/accountQueueDivisor)),
	)
	if a.draining {
		next.Drain()
	}
	if old := a.current.Swap(next); old != nil {
		a.queuesReplaced++
		old.Drain()
	}
}

func (a *admission) weight(name identifier.ClientAccount) float64 {
	if w, ok := (*a.weights.Load())[name]; ok {
		return w
	}
	return 1
}

// admit waits for a slot in the current queue and returns the ticket that releases it.
func (a *admission) admit(ctx context.Context, queued agentserver.QueuedOrder) (agentserver.Ticket, error) {
	beganAt := time.Now()
	order := admitter.QueuedOrder{Order: queued.Order, Cost: queued.Cost, Resumable: queued.Order.Service == ""}
	var ticket *admitter.Ticket
	var err error
	for {
		queue := a.current.Load()
		if queue == nil {
			return agentserver.Ticket{}, &agentserver.RefusalError{Code: "no-configuration", RetryAt: beganAt.Add(leaseRetryDelay)}
		}
		ticket, err = queue.Admit(ctx, order)
		refusal := admitter.AsRefusal(err)
		if refusal == nil || refusal.Code != admitter.CodeDraining || queue == a.current.Load() || ctx.Err() != nil {
			break
		}
	}
	if refusal := admitter.AsRefusal(err); refusal != nil {
		if ctx.Err() != nil {
			return agentserver.Ticket{}, ctx.Err()
		}
		return agentserver.Ticket{}, &agentserver.RefusalError{Code: refusal.Code, RetryAt: refusal.RetryAt}
	}
	if err != nil {
		return agentserver.Ticket{}, err
	}
	a.observeWait(queued.Order.Rank, time.Since(beganAt))
	return agentserver.Ticket{
		Preempted: ticket.Preempted, Resume: ticket.Resume, OnFirstToken: ticket.MarkFirstToken, Finish: ticket.Finish,
	}, nil
}

func (a *admission) load() streamer.Load {
	if q := a.current.Load(); q != nil {
		return q.Load()
	}
	return streamer.Load{At: time.Now(), Draining: true}
}

// drain makes this queue and all later ones refuse new orders.
func (a *admission) drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	if q := a.current.Load(); q != nil {
		q.Drain()
	}
}

// Counters returns the counters of the current queue.
func (a *admission) Counters() map[string]int64 {
	q := a.current.Load()
	if q == nil {
		return map[string]int64{}
	}
	return q.Counters()
}

// State returns the state of the current queue.
func (a *admission) State() any {
	if q := a.current.Load(); q != nil {
		return q.State()
	}
	return admitter.State{}
}
