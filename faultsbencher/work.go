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
	// workVersions is one more than the number of versions that are withdrawn at most, so that one version always serves.
	workVersions = 8
	// withdrawEvery is how many commits there are for each one that withdraws a version.
	withdrawEvery = 3
	// maxQueueTime is the longest wait of an order before its run starts, during which the configuration may change.
	maxQueueTime  = 2 * time.Second
	answerTimeout = 8 * time.Second
)

// idempotentWork draws the idempotent requests of a schedule from a separate random source, so that their number does not change
// the faults of a seed.
type idempotentWork struct {
	rand *rand.Rand
}

func newIdempotentWork(seed uint64) idempotentWork {
	return idempotentWork{rand: rand.New(rand.NewPCG(seed, 0x3017))}
}

func versionName(i int) identifier.Version {
	return identifier.Version("v" + strconv.Itoa(i))
}

// firstConfiguration returns a configuration with one model, whose versions are withdrawn one after the other.
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

// oldestServing returns the first version in state serving, which entries choose.
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

// withdrawOldest withdraws the version that entries choose, unless it is the last one.
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
	for i := 0; s.acceptsWork(); i++ {
		s.Sleep(scheduler.UniformDuration(s.work.rand, 100*time.Millisecond, 400*time.Millisecond))
		n := s.instances[s.work.rand.IntN(len(s.instances))]
		if !n.up || n.leaving {
			continue // The load balancer sends no requests to such an instance.
		}
		req := identifier.Request("work-" + strconv.Itoa(i))
		s.spawn(n, func() {
			n.begin(string(req))
			s.check.workReplied(req, n.dispatch(req))
			n.end(string(req))
		})
	}
}

// dispatch handles an idempotent request as an entry does. It chooses a version and an agent by its own view of
// the configuration and the members. It reports the outcome not run only if that is certain.
func (n *instance) dispatch(req identifier.Request) streamer.Outcome {
	s := n.s
	cfg := n.distributor.Current()
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
		Deadline: s.Now().Add(answerTimeout),
	}
	s.check.orderSent(n, agent)
	var got streamer.Outcome
	s.sendWithRand(s.work.rand, n, agent, func(a *instance) {
		s.spawn(a, func() {
			outcome := a.serveOrder(order)
			s.sendWithRand(s.work.rand, a, n, func(*instance) { got = outcome })
		})
	})
	for s.Now().Before(order.Deadline) {
		if got != "" {
			return got
		}
		s.Sleep(50 * time.Millisecond)
	}
	return s.outcomeWithoutReply()
}

// outcomeWithoutReply returns the outcome of an order that may have reached an agent but got no reply.
func (s *schedule) outcomeWithoutReply() streamer.Outcome {
	if f := s.overrides.Unanswered; f != nil {
		return f()
	}
	return streamer.OutcomeUnknown
}

// chooseAgent returns a random live member of the own data centre other than this one, or nil.
func (n *instance) chooseAgent() *instance {
	var live []*instance
	for _, name := range n.dataCentreMembers() {
		if name != n.name && n.detector.StateOf(name) == detector.Live {
			live = append(live, n.s.byName[name])
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[n.s.work.rand.IntN(len(live))]
}

// serveOrder handles an order as an agent does. It refuses the order if it leaves or its configuration contradicts the order.
// Otherwise it waits for a slot, checks the configuration again and runs the request.
func (n *instance) serveOrder(order *streamer.Order) streamer.Outcome {
	s := n.s
	refuse, checkOrder := func(leaving bool) bool { return leaving }, agentserver.CheckOrder
	if f := s.overrides.Refuse; f != nil {
		refuse = f
	}
	if f := s.overrides.CheckOrder; f != nil {
		checkOrder = f
	}
	if refuse(n.leaving) || checkOrder(n.distributor.Current(), order) != nil {
		return streamer.OutcomeNotRun
	}
	s.check.orderAdmitted(n, order)
	id := "run " + string(order.Request)
	n.begin(id)
	s.Sleep(scheduler.UniformDuration(s.work.rand, 0, maxQueueTime))
	outcome := streamer.OutcomeNotRun
	if checkOrder(n.distributor.Current(), order) == nil {
		s.check.workStarted(n, order)
		s.Sleep(scheduler.UniformDuration(s.work.rand, 100*time.Millisecond, 3*time.Second))
		outcome = streamer.OutcomeRun
	}
	n.end(id)
	return outcome
}

// begin counts a request or run in progress, which end removes. A process that crashes does not reach end.
func (n *instance) begin(id string) {
	n.activeRequests++
	n.s.check.requestBegun(n, id)
}

func (n *instance) end(id string) {
	n.activeRequests--
	delete(n.s.check.work.openRequests[n], id)
}
