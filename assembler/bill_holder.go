package assembler

import (
	"context"
	"sync"

	"github.com/siskinfront/siskinfront/identifier"
)

// maxHeldBills bounds the bills in billHolders. An agent writes its copies of further bills itself, since it is not told
// that they are durable.
const maxHeldBills = 1 << 16

// billHolders records, for each bill that is not durable yet, the upstream whose agent holds a copy of it.
type billHolders struct {
	mu     sync.Mutex
	agents map[string]identifier.Upstream
}

func newBillHolders() *billHolders {
	return &billHolders{agents: map[string]identifier.Upstream{}}
}

func (h *billHolders) add(id string, u identifier.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.agents) < maxHeldBills {
		h.agents[id] = u
	}
}

// take removes bills and returns their IDs, grouped by the upstream whose agent holds a copy.
func (h *billHolders) take(ids []string) map[identifier.Upstream][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	byUpstream := map[identifier.Upstream][]string{}
	for _, id := range ids {
		if u, ok := h.agents[id]; ok {
			byUpstream[u] = append(byUpstream[u], id)
			delete(h.agents, id)
		}
	}
	return byUpstream
}

// reportDurableBills notifies the agents which of their bills are durable, until ctx ends.
func (e *Entry) reportDurableBills(ctx context.Context) error {
	for {
		select {
		case ids := <-e.biller.Durable():
			for u, list := range e.holders.take(ids) {
				if agent, ok := e.directory.AgentOf(u); ok {
					// An agent that misses the notification writes its copy as well; biller.Union removes the duplicate.
					_ = notifyPeer(e.peers, agent, methodBillsDurable, DurableBills{IDs: list})
				}
			}
		case <-ctx.Done():
			return nil
		}
	}
}
