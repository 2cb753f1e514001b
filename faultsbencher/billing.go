package faultsbencher

import (
	"context"
	"time"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	partTokens = 10
	fullTokens = 25
)

func (n *node) newBiller(now func() time.Time, sleep func(context.Context, time.Duration) error) *biller.Biller {
	table := biller.TableSink(n.table)
	if f := n.s.weaken.Sink; f != nil {
		write := table.Write
		table.Write = func(ctx context.Context, key string, batch []byte) error { return f(ctx, key, batch, write) }
	}
	return biller.New(n.name, []biller.Sink{table, biller.ObjectSink(n.objects)}, biller.WithNow(now),
		biller.WithSleep(sleep), biller.WithRand(n.s.newRand()), biller.WithMinFlushAge(n.window()),
		biller.WithTimeout(time.Hour))
}

// window is 0 at the nodes that act as entries; the others are agents.
func (n *node) window() time.Duration {
	if n.isEntry() {
		return 0
	}
	return agentWindow
}

func (n *node) isEntry() bool {
	return n.s.byName[n.name] == n && int(n.name[len(n.name)-1])%2 == 0
}

// record makes this node a holder of the bill of a request.
func (n *node) record(id string, final bool) {
	tokens := partTokens
	if final {
		tokens = fullTokens
	}
	b := biller.Bill{
		ID: id, Request: identifier.Request(id), Usage: streamer.Usage{CompletionTokens: tokens}, Amount: float64(tokens),
		Final: final, At: n.s.Now(),
	}
	if n.biller.Record(b) == nil {
		n.s.check.billed(n, b)
	}
}

// billLoop lets an agent serve one idempotent request.
func (s *schedule) billLoop(id string) {
	s.Sleep(s.UniformDuration(time.Second, 30*time.Second))
	agent := s.anyNode()
	entry := s.anyNode(agent)
	s.spawn(agent, func() {
		agent.record(id, false)
		s.sendBills(agent, entry)
		s.Sleep(s.UniformDuration(100*time.Millisecond, 2*time.Second))
		agent.record(id, true)
		s.sendBills(agent, entry)
	})
}

// sendBills offers the bills that the agent holds to an entry, the method bills.
func (s *schedule) sendBills(agent, entry *node) {
	if s.weaken.NoPeerBills || agent == entry {
		return
	}
	bills := agent.biller.Pending(64)
	s.send(agent, entry, func(e *node) {
		for _, b := range bills {
			if e.biller.Record(b) == nil {
				s.check.billed(e, b)
			}
		}
	})
}

// handOver offers held bills to an entry each second and tells all other holders what became durable.
func (n *node) handOver() {
	n.repeat(time.Second, func() {
		if !n.isEntry() {
			e := n.s.anyNode(n)
			if e.isEntry() {
				n.s.sendBills(n, e)
			}
		}
		for more := true; more; {
			select {
			case ids := <-n.biller.Durable():
				for _, peer := range n.s.check.holders(ids) {
					n.s.send(n, peer, func(p *node) { p.biller.MarkDurable(ids) })
				}
			default:
				more = false
			}
		}
	})
}
