package faultsbencher

import (
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// workState holds what the checker knows of requests, independently of the instances' own counters.
type workState struct {
	// withdrawnAt holds the time of the commit that withdrew a version, leftAt when an instance began to leave.
	withdrawnAt      map[identifier.Target]time.Time
	leftAt           map[*instance]time.Time
	openRequests     map[*instance]map[string]bool
	executed, notRun map[identifier.Request]bool
}

func newWorkState() workState {
	return workState{
		withdrawnAt: map[identifier.Target]time.Time{}, leftAt: map[*instance]time.Time{},
		openRequests: map[*instance]map[string]bool{},
		executed:     map[identifier.Request]bool{}, notRun: map[identifier.Request]bool{},
	}
}

// itemCommitted is called for each item of a committed change; it records when a version is first withdrawn.
func (b *workState) itemCommitted(c *checker, it committer.Item) {
	if !strings.HasPrefix(it.Key, "model/") {
		return
	}
	var m configurer.Model
	c.decode(it.Value, &m)
	for _, v := range m.Versions {
		t := identifier.Target{Model: m.Name, Version: v.Name}
		if _, ok := b.withdrawnAt[t]; !ok && v.State == configurer.VersionWithdrawn {
			b.withdrawnAt[t] = c.s.Now()
		}
	}
}

// orderSent is called when an entry sends an order. An instance that left must get none after leavingLimit, unless the entry was
// disturbed or the leaving instance was cut off from its peers.
func (c *checker) orderSent(entry, agent *instance) {
	at, left := c.work.leftAt[agent]
	if left && (!entry.undisturbed(at, c.s.Now()) || agent.peersCutOff.overlaps(at, c.s.Now())) {
		return
	}
	c.expect(LeavingNoWork, !left || c.s.Now().Sub(at) <= leavingLimit, "%s sends an order to %s, which left %v ago",
		entry.name, agent.name, c.s.Now().Sub(at))
}

// orderAdmitted is called when an agent accepts an order.
func (c *checker) orderAdmitted(agent *instance, o *streamer.Order) {
	at, left := c.work.leftAt[agent]
	c.expect(LeavingRefuses, !left, "%s takes %s, %v after it left", agent.name, o.Request, c.s.Now().Sub(at))
}

// workStarted is called when an agent starts a run.
func (c *checker) workStarted(agent *instance, o *streamer.Order) {
	c.work.executed[o.Request] = true
	c.expect(WorkNotRunTrue, !c.work.notRun[o.Request], "%s starts after it was reported as not run", o.Request)
	cfg := agent.distributor.Current()
	knownWithdrawn := cfg != nil && cfg.Version(o.Target) != nil && cfg.Version(o.Target).State == configurer.VersionWithdrawn
	c.expect(WithdrawnNoWork, !knownWithdrawn, "%s starts %s on %s, which is withdrawn in its revision %d", agent.name, o.Request,
		o.Target, agent.revision)
	if at, ok := c.work.withdrawnAt[o.Target]; ok && agent.undisturbed(at, c.s.Now()) && !c.tableUnavailable(at, c.s.Now()) {
		c.expect(WithdrawnNoWork, c.s.Now().Sub(at) <= inForceLimit, "%s starts %s on %s, withdrawn %v ago", agent.name,
			o.Request, o.Target, c.s.Now().Sub(at))
	}
}

func (c *checker) workReplied(req identifier.Request, outcome streamer.Outcome) {
	if outcome == streamer.OutcomeNotRun {
		c.work.notRun[req] = true
		c.expect(WorkNotRunTrue, !c.work.executed[req], "%s was reported as not run and ran", req)
	}
}

func (c *checker) requestBegun(n *instance, id string) {
	if c.work.openRequests[n] == nil {
		c.work.openRequests[n] = map[string]bool{}
	}
	c.work.openRequests[n][id] = true
}

// leaveEnded is called when a leaving process ends.
func (c *checker) leaveEnded(n *instance) {
	c.expect(StopCutsNoRequest, len(c.work.openRequests[n]) == 0, "%s ends with %d requests in progress",
		n.name, len(c.work.openRequests[n]))
}
