package prober

import "time"

// State is the state dump of a group.
type State struct {
	// Prober is the member that probes the store, or empty while no member is out.
	Prober string `json:"prober"`
	// OutSince is when the first member lost the store; a zero time says that all are served.
	OutSince    time.Time     `json:"out-since"`
	ProbeAt     time.Time     `json:"probe-at"`
	SucceededAt time.Time     `json:"succeeded-at"`
	Members     []MemberState `json:"members"`
}

// MemberState is the state of one follower.
type MemberState struct {
	Name     string    `json:"name"`
	OutSince time.Time `json:"out-since"`
	FailedAt time.Time `json:"failed-at"`
	// Calling is set while the member calls although it is out.
	Calling bool `json:"calling"`
}

// State returns the state of the group.
func (g *Group) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{OutSince: g.since, ProbeAt: g.probeAt, SucceededAt: g.succeededAt}
	if p := g.prober(); p != nil {
		s.Prober = p.name
	}
	for _, m := range g.members {
		s.Members = append(s.Members, MemberState{Name: m.name, OutSince: m.lostAt, FailedAt: m.failedAt, Calling: m.calling})
	}
	return s
}

// Counters returns the numbers of losses of the store, of calls of the member that probes and of the others, of members that were let go
// on by the success of another one, and of steps that were withheld.
func (g *Group) Counters() map[string]int64 {
	return map[string]int64{
		"losses": g.losses.Load(), "probes": g.probes.Load(), "own-calls": g.ownCalls.Load(), "releases": g.releases.Load(),
		"steps-withheld": g.withheld.Load(),
	}
}
