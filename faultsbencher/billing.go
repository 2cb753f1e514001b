package faultsbencher

import (
	"context"
	"time"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// The completion tokens, and the amounts, of the partial and the final bill of a request.
const (
	partialTokens = 10
	finalTokens   = 25
)

func (n *instance) newBiller(now func() time.Time, sleep func(context.Context, time.Duration) error) *biller.Biller {
	table := biller.TableSink(n.table)
	if override := n.s.overrides.Sink; override != nil {
		write := table.Write
		table.Write = func(ctx context.Context, key string, batch []byte) error { return override(ctx, key, batch, write) }
	}
	return biller.New(n.name, []biller.Sink{table, biller.ObjectSink(n.objects)}, biller.WithNow(now),
		biller.WithSleep(sleep), biller.WithRand(n.s.newRand()), biller.WithMinFlushAge(n.minFlushAge()),
		biller.WithTimeout(time.Hour))
}

// minFlushAge is 0 at instances that act as entries, and agentMinFlushAge at the others, which are agents.
func (n *instance) minFlushAge() time.Duration {
	if n.isEntry() {
		return 0
	}
	return agentMinFlushAge
}

// isEntry reports whether the instance acts as an entry for bills: those whose name ends in an even digit do.
func (n *instance) isEntry() bool {
	return n.s.byName[n.name] == n && int(n.name[len(n.name)-1])%2 == 0
}

// recordBill records the partial or final bill of a request at this instance, which makes it a holder of the bill.
func (n *instance) recordBill(id string, final bool) {
	tokens := partialTokens
	if final {
		tokens = finalTokens
	}
	b := biller.Bill{
		ID: id, Request: identifier.Request(id), Usage: streamer.Usage{CompletionTokens: tokens}, Amount: float64(tokens),
		Final: final, At: n.s.Now(),
	}
	if n.biller.Record(b) == nil {
		n.s.check.billRecorded(n, b)
	}
}

// billLoop lets a random agent bill one idempotent request, in part and then in full.
func (s *schedule) billLoop(id string) {
	s.Sleep(s.UniformDuration(time.Second, 30*time.Second))
	agent := s.randomInstance()
	entry := s.randomInstance(agent)
	s.spawn(agent, func() {
		agent.recordBill(id, false)
		s.sendBills(agent, entry)
		s.Sleep(s.UniformDuration(100*time.Millisecond, 2*time.Second))
		agent.recordBill(id, true)
		s.sendBills(agent, entry)
	})
}

// sendBills sends the pending bills of an agent to an entry, as the agents' method "bills" does.
func (s *schedule) sendBills(agent, entry *instance) {
	if s.overrides.NoPeerBills || agent == entry {
		return
	}
	bills := agent.biller.Pending(64)
	s.send(agent, entry, func(e *instance) {
		for _, b := range bills {
			if e.biller.Record(b) == nil {
				s.check.billRecorded(e, b)
			}
		}
	})
}

// forwardBills sends the pending bills of an agent to an entry each second, and tells all holders which bills are durable.
func (n *instance) forwardBills() {
	n.repeat(time.Second, func() {
		if !n.isEntry() {
			e := n.s.randomInstance(n)
			if e.isEntry() {
				n.s.sendBills(n, e)
			}
		}
		for more := true; more; {
			select {
			case ids := <-n.biller.Durable():
				for _, peer := range n.s.check.holders(ids) {
					n.s.send(n, peer, func(p *instance) { p.biller.MarkDurable(ids) })
				}
			default:
				more = false
			}
		}
	})
}
