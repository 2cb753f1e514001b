package faultsbencher

import (
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// workBook is what the checker knows of requests, independently of the counters of the nodes.
type workBook struct {
	// withdrawn holds the time of the commit that withdrew a version.
	withdrawn    map[identifier.Target]time.Time
	left         map[*node]time.Time
	open         map[*node]map[string]bool
	ran, refused map[identifier.Request]bool
}

func newWorkBook() workBook {
	return workBook{
		withdrawn: map[identifier.Target]time.Time{}, left: map[*node]time.Time{}, open: map[*node]map[string]bool{},
		ran: map[identifier.Request]bool{}, refused: map[identifier.Request]bool{},
	}
}

// changed sees each item of an accepted change.
func (b *workBook) changed(c *checker, it committer.Item) {
	if !strings.HasPrefix(it.Key, "model/") {
		return
	}
	var m configurer.Model
	c.decode(it.Value, &m)
	for _, v := range m.Versions {
		t := identifier.Target{Model: m.Name, Version: v.Name}
		if _, ok := b.withdrawn[t]; !ok && v.State == configurer.VersionWithdrawn {
			b.withdrawn[t] = c.s.Now()
		}
	}
}

// offered sees an entry that sends an order.
func (c *checker) offered(entry, agent *node) {
	at, left := c.work.left[agent]
	if left && (!entry.quiet(at, c.s.Now()) || agent.cutPeers.overlaps(at, c.s.Now())) {
		return
	}
	c.expect(LeavingNoWork, !left || c.s.Now().Sub(at) <= leavingLimit, "%s sends an order to %s, which left %v ago",
		entry.name, agent.name, c.s.Now().Sub(at))
}

// admitted sees an agent that takes an order.
func (c *checker) admitted(agent *node, o *streamer.Order) {
	at, left := c.work.left[agent]
	c.expect(LeavingRefuses, !left, "%s takes %s, %v after it left", agent.name, o.Request, c.s.Now().Sub(at))
}

// workStarted sees the start of a run.
func (c *checker) workStarted(agent *node, o *streamer.Order) {
	c.work.ran[o.Request] = true
	c.expect(WorkNotRunTrue, !c.work.refused[o.Request], "%s starts after it was reported as not run", o.Request)
	cfg := agent.dist.Current()
	known := cfg != nil && cfg.Version(o.Target) != nil && cfg.Version(o.Target).State == configurer.VersionWithdrawn
	c.expect(WithdrawnNoWork, !known, "%s starts %s on %s, which is withdrawn in its revision %d", agent.name, o.Request,
		o.Target, agent.revision)
	if at, ok := c.work.withdrawn[o.Target]; ok && agent.quiet(at, c.s.Now()) && !c.tableOut(at, c.s.Now()) {
		c.expect(WithdrawnNoWork, c.s.Now().Sub(at) <= inForceLimit, "%s starts %s on %s, withdrawn %v ago", agent.name,
			o.Request, o.Target, c.s.Now().Sub(at))
	}
}

func (c *checker) workReplied(req identifier.Request, outcome streamer.Outcome) {
	if outcome == streamer.OutcomeNotRun {
		c.work.refused[req] = true
		c.expect(WorkNotRunTrue, !c.work.ran[req], "%s was reported as not run and ran", req)
	}
}

func (c *checker) begun(n *node, id string) {
	if c.work.open[n] == nil {
		c.work.open[n] = map[string]bool{}
	}
	c.work.open[n][id] = true
}

// stopped sees the end of a process that was asked to stop.
func (c *checker) stopped(n *node) {
	c.expect(StopCutsNothing, len(c.work.open[n]) == 0, "%s ends with %d requests in progress", n.name, len(c.work.open[n]))
}
