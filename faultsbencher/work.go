package faultsbencher

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/scheduler"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	workModel   = identifier.Model("finch-small")
	workAccount = identifier.ClientAccount("galway-council")
	// workVersions is one more than the number of withdrawals, so that one version always serves.
	workVersions  = 8
	withdrawEvery = 3
	// queueTime bounds the wait of an order before its run starts, during which the configuration may change.
	queueTime  = 2 * time.Second
	answerTime = 8 * time.Second
)

// work draws the idempotent requests of a schedule from a random source of its own, so that their number does not
// change the faults of a seed.
type work struct {
	rand *rand.Rand
}

func newWork(seed uint64) work {
	return work{rand: rand.New(rand.NewPCG(seed, 0x3017))}
}

func versionName(i int) identifier.Version {
	return identifier.Version("v" + strconv.Itoa(i))
}

// firstConfiguration has one model whose versions are withdrawn one after the other.
func firstConfiguration() configurer.Configuration {
	m := configurer.Model{Name: workModel}
	for i := range workVersions {
		m.Versions = append(m.Versions, configurer.Version{Name: versionName(i), State: configurer.VersionServing})
	}
	return configurer.Configuration{
		Ranks:  []configurer.Rank{{Name: "urgent"}},
		Models: []configurer.Model{m},
		ClientAccounts: []configurer.ClientAccount{{
			Name: workAccount, Allowed: []configurer.AllowedModel{{Model: workModel}},
		}},
	}
}

// oldestServing returns the first version that serves.
func oldestServing(c *configurer.Configuration) (identifier.Target, bool) {
	for _, m := range c.Models {
		for _, v := range m.Versions {
			if v.State == configurer.VersionServing {
				return identifier.Target{Model: m.Name, Version: v.Name}, true
			}
		}
	}
	return identifier.Target{}, false
}

// withdrawOldest withdraws the version that the entries choose, unless it is the last one.
func withdrawOldest(c *configurer.Configuration) {
	t, ok := oldestServing(c)
	if !ok || t.Version == versionName(workVersions-1) {
		return
	}
	c.Models = slices.Clone(c.Models)
	for i := range c.Models {
		c.Models[i].Versions = slices.Clone(c.Models[i].Versions)
	}
	c.Version(t).State = configurer.VersionWithdrawn
}

// workLoop sends idempotent requests to random entries.
func (s *schedule) workLoop() {
	for i := 0; s.busy(); i++ {
		s.Sleep(scheduler.UniformDuration(s.work.rand, 100*time.Millisecond, 400*time.Millisecond))
		n := s.nodes[s.work.rand.IntN(len(s.nodes))]
		if !n.up || n.leaving {
			continue // The load balancer does not send callers there.
		}
		req := identifier.Request("work-" + strconv.Itoa(i))
		s.spawn(n, func() {
			n.begin(string(req))
			s.check.workReplied(req, n.dispatch(req))
			n.end(string(req))
		})
	}
}

// dispatch is the part of an entry: it selects a version and an agent by what it knows, and tells the truth.
func (n *node) dispatch(req identifier.Request) streamer.Outcome {
	s := n.s
	cfg := n.dist.Current()
	if cfg == nil {
		return streamer.OutcomeNotRun
	}
	target, ok := oldestServing(cfg)
	agent := n.chooseAgent()
	if !ok || agent == nil {
		return streamer.OutcomeNotRun
	}
	order := &streamer.Order{
		Request: req, Attempt: 1, ClientAccount: workAccount, Target: target, Revision: cfg.Revision,
		Deadline: s.Now().Add(answerTime),
	}
	s.check.offered(n, agent)
	var got streamer.Outcome
	s.sendBy(s.work.rand, n, agent, func(a *node) {
		s.spawn(a, func() {
			outcome := a.serve(order)
			s.sendBy(s.work.rand, a, n, func(*node) { got = outcome })
		})
	})
	for s.Now().Before(order.Deadline) {
		if got != "" {
			return got
		}
		s.Sleep(50 * time.Millisecond)
	}
	return s.unanswered()
}

// unanswered is the outcome of an order that may have reached an agent and has no reply.
func (s *schedule) unanswered() streamer.Outcome {
	if f := s.weaken.Unanswered; f != nil {
		return f()
	}
	return streamer.OutcomeUnknown
}

// chooseAgent returns a random live member of the own data centre other than this one, or nil.
func (n *node) chooseAgent() *node {
	var live []*node
	for _, name := range n.peers() {
		if name != n.name && n.detector.StateOf(name) == detector.Live {
			live = append(live, n.s.byName[name])
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[n.s.work.rand.IntN(len(live))]
}

// serve is the part of an agent: refuse, wait for a slot, look at the configuration again, run.
func (n *node) serve(order *streamer.Order) streamer.Outcome {
	s := n.s
	refuse, contradiction := func(leaving bool) bool { return leaving }, agentserver.CheckOrder
	if f := s.weaken.Refuse; f != nil {
		refuse = f
	}
	if f := s.weaken.Contradiction; f != nil {
		contradiction = f
	}
	if refuse(n.leaving) || contradiction(n.dist.Current(), order) != nil {
		return streamer.OutcomeNotRun
	}
	s.check.admitted(n, order)
	id := "run " + string(order.Request)
	n.begin(id)
	s.Sleep(scheduler.UniformDuration(s.work.rand, 0, queueTime))
	outcome := streamer.OutcomeNotRun
	if contradiction(n.dist.Current(), order) == nil {
		s.check.workStarted(n, order)
		s.Sleep(scheduler.UniformDuration(s.work.rand, 100*time.Millisecond, 3*time.Second))
		outcome = streamer.OutcomeRun
	}
	n.end(id)
	return outcome
}

// begin counts a request or run of this process, and end its end; a killed process does not reach end.
func (n *node) begin(id string) {
	n.active++
	n.s.check.begun(n, id)
}

func (n *node) end(id string) {
	n.active--
	delete(n.s.check.work.open[n], id)
}
