package agentserver

import (
	"sync"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/streamer"
)

// maxBills bounds the bills that are not yet durable; at about 250 bytes each they take 16 MB.
const maxBills = 1 << 16

// billBook holds bills until they are durable; it is safe for concurrent use.
type billBook struct {
	mu    sync.Mutex
	bills map[string]biller.Bill
}

func (b *billBook) add(bill biller.Bill) {
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

func (b *billBook) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.bills)
}

func (b *billBook) full() bool {
	return b.len() >= maxBills
}

// addBill records the usage of a run; a nil usage counts the tokens that were passed on.
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

// MarkBillsMoved forgets bills that another holder in this process took; one that has grown since it was read stays.
func (s *Server) MarkBillsMoved(bills []biller.Bill) {
	s.bills.mu.Lock()
	defer s.bills.mu.Unlock()
	for i := range bills {
		if s.bills.bills[bills[i].ID] == bills[i] {
			delete(s.bills.bills, bills[i].ID)
		}
	}
}

// MarkBillsDurable forgets bills that are durable elsewhere.
func (s *Server) MarkBillsDurable(ids []string) {
	s.bills.mu.Lock()
	defer s.bills.mu.Unlock()
	for _, id := range ids {
		delete(s.bills.bills, id)
	}
}
