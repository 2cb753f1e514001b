package admitter

import (
	"maps"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Load returns the load that probes read; Wait is the estimate for the lowest rank.
func (a *Admitter) Load() streamer.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.opts.now()
	l := streamer.Load{
		At: now, Running: a.runningCount, Queued: make([]int, len(a.queues)),
		TokenRate: a.throughput.outputTokens.perSecond(now), Draining: a.draining,
	}
	for i, q := range a.queues {
		l.Queued[i] = q.waitingCount
	}
	if n := len(a.queues); n > 0 {
		l.EstimatedWait = a.estimateWait(n-1, "", a.queues[n-1].quantum, now)
	}
	return l
}

// Counters returns the monotonic counters of the admitter.
func (a *Admitter) Counters() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := map[string]int64{
		"offered": a.counters.offered, "granted": a.counters.granted, "finished": a.counters.finished,
		"preempted": a.counters.preempted, "paused-expired": a.counters.pausedExpired,
	}
	for code, n := range a.counters.refused {
		c["refused-"+code] = n
	}
	return c
}

// State is the state dump of an Admitter.
type State struct {
	Slots      int              `json:"slots"`
	Running    int              `json:"running"`
	Preempting int              `json:"leaving"`
	Paused     int              `json:"paused"`
	Draining   bool             `json:"draining"`
	TokenRate  float64          `json:"token-rate"`
	Ranks      []RankState      `json:"ranks"`
	Refused    map[string]int64 `json:"refused"`
}

// RankState is the state dump of one rank; Credit is its floor credit in tokens.
type RankState struct {
	Rank        identifier.Rank                  `json:"rank"`
	Waiting     map[identifier.ClientAccount]int `json:"waiting"`
	Running     int                              `json:"running"`
	FloorCredit float64                          `json:"floor-credit"`
	Overloaded  bool                             `json:"overloaded"`
	WaitLimit   time.Duration                    `json:"wait-limit"`
}

// State returns the state dump, a State.
func (a *Admitter) State() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.opts.now()
	s := State{
		Slots: a.opts.slots, Running: a.runningCount, Preempting: a.preemptingCount, Paused: a.pausedCount, Draining: a.draining,
		TokenRate: a.throughput.outputTokens.perSecond(now), Refused: maps.Clone(a.counters.refused),
	}
	for i, q := range a.queues {
		r := RankState{
			Rank: q.rank.Name, Waiting: make(map[identifier.ClientAccount]int, len(q.flows)), Running: q.runningCount,
			FloorCredit: q.floorCredit, Overloaded: a.overloaded(i, now), WaitLimit: a.waitLimit(i, now),
		}
		for name, f := range q.flows {
			r.Waiting[name] = len(f.waiting)
		}
		s.Ranks = append(s.Ranks, r)
	}
	return s
}
