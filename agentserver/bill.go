package agentserver

import (
	"sync"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/streamer"
)

// maxPendingBills limits the bills that are not yet durable; at about 250 bytes each, they take 16 MB.
const maxPendingBills = 1 << 16

// billBuffer holds bills until they are durable; it is safe for concurrent use.
type billBuffer struct {
	mu    sync.Mutex
	bills map[string]biller.Bill
}

// add stores a bill. It ignores a bill that is not final if the stored one of the same ID is final or has more completion
// tokens.
func (b *billBuffer) add(bill biller.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bills == nil {
		b.bills = map[string]biller.Bill{}
	}
	if old, ok := b.bills[bill.ID]; ok && !bill.Final &&
		(old.Final || old.Usage.CompletionTokens > bill.Usage.CompletionTokens) {
		return
	}
	b.bills[bill.ID] = bill
}

func (b *billBuffer) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.bills)
}

func (b *billBuffer) full() bool {
	return b.len() >= maxPendingBills
}

// addBill records the usage of a run. If u is nil, it bills the estimated prompt tokens and the tokens passed on so far.
func (s *Server) addBill(r *run, u *streamer.Usage, final bool) {
	if u == nil {
		u = &streamer.Usage{PromptTokens: r.order.PromptTokens, CompletionTokens: r.tokens}
	}
	o := r.order
	s.bills.add(biller.Bill{
		ID: string(o.Request), Request: o.Request, ClientAccount: o.ClientAccount, WorkKind: o.WorkKind, Rank: o.Rank,
		Target: o.Target, Service: o.Service, Usage: *u, Final: final, At: s.Now(),
	})
}

// PendingBills returns at most n bills that are not yet known to be durable.
func (s *Server) PendingBills(n int) []biller.Bill {
	s.bills.mu.Lock()
	defer s.bills.mu.Unlock()
	bills := make([]biller.Bill, 0, min(n, len(s.bills.bills)))
	for _, b := range s.bills.bills {
		if len(bills) == n {
			break
		}
		bills = append(bills, b)
	}
	return bills
}

// RemoveMovedBills removes bills that another component of this process has taken over, except those that have changed since
// they were read.
func (s *Server) RemoveMovedBills(bills []biller.Bill) {
	s.bills.mu.Lock()
	defer s.bills.mu.Unlock()
	for i := range bills {
		if s.bills.bills[bills[i].ID] == bills[i] {
			delete(s.bills.bills, bills[i].ID)
		}
	}
}

// RemoveDurableBills removes bills that have been stored durably.
func (s *Server) RemoveDurableBills(ids []string) {
	s.bills.mu.Lock()
	defer s.bills.mu.Unlock()
	for _, id := range ids {
		delete(s.bills.bills, id)
	}
}
