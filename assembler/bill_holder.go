package assembler

import (
	"context"
	"sync"

	"github.com/siskinfront/siskinfront/identifier"
)

// maxHolders bounds the bills whose agent is remembered; an agent that is not told writes its copy itself.
const maxHolders = 1 << 16

// billHolders remembers which upstream's agent holds a copy of each bill that is not durable yet.
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
	if len(h.agents) < maxHolders {
		h.agents[id] = u
	}
}

// take removes bills and returns them by the upstream whose agent holds a copy.
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

// reportDurable tells the agents which of their bills are durable.
func (e *Entry) reportDurable(ctx context.Context) error {
	for {
		select {
		case ids := <-e.biller.Durable():
			for u, list := range e.holders.take(ids) {
				if agent, ok := e.directory.AgentOf(u); ok {
					// An agent that is not told writes its copy as well, which Union makes harmless.
					_ = tell(e.peers, agent, methodBillsDurable, DurableBills{IDs: list})
				}
			}
		case <-ctx.Done():
			return nil
		}
	}
}
