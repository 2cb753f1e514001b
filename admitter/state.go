package admitter

import (
	"maps"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Load returns the load for probes; Wait is the estimate for the lowest rank.
func (a *Admitter) Load() streamer.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.now()
	l := streamer.Load{
		At: now, Running: a.running, Queued: make([]int, len(a.queues)),
		TokenRate: a.service.output.perSecond(now), Leaving: a.draining,
	}
	for i, q := range a.queues {
		l.Queued[i] = q.items
	}
	if n := len(a.queues); n > 0 {
		l.Wait = a.estimate(n-1, "", a.queues[n-1].quantum, now)
	}
	return l
}

// Counters returns the monotonic counters of the admitter.
func (a *Admitter) Counters() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := map[string]int64{
		"offered": a.counters.offered, "granted": a.counters.granted, "finished": a.counters.finished,
		"preempted": a.counters.preempted, "paused-expired": a.counters.expired,
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
	Rate       float64          `json:"token-rate"`
	Ranks      []RankState      `json:"ranks"`
	Refused    map[string]int64 `json:"refused"`
}

// RankState is the state dump of one rank.
type RankState struct {
	Rank       identifier.Rank                  `json:"rank"`
	Waiting    map[identifier.ClientAccount]int `json:"waiting"`
	Running    int                              `json:"running"`
	Credit     float64                          `json:"floor-credit"`
	Overloaded bool                             `json:"overloaded"`
	WaitLimit  time.Duration                    `json:"wait-limit"`
}

// State returns a State.
func (a *Admitter) State() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.now()
	s := State{
		Slots: a.o.slots, Running: a.running, Preempting: a.leaving, Paused: a.paused, Draining: a.draining,
		Rate: a.service.output.perSecond(now), Refused: maps.Clone(a.counters.refused),
	}
	for i, q := range a.queues {
		r := RankState{
			Rank: q.rank.Name, Waiting: make(map[identifier.ClientAccount]int, len(q.flows)), Running: q.running,
			Credit: q.credit, Overloaded: a.overloaded(i, now), WaitLimit: a.waitLimit(i, now),
		}
		for name, f := range q.flows {
			r.Waiting[name] = len(f.waiting)
		}
		s.Ranks = append(s.Ranks, r)
	}
	return s
}
