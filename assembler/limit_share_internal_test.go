package assembler

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/storer"
)

// controlPair returns two entries of one data centre that serve control calls and have each other in their member lists.
func controlPair(t *testing.T) []*Entry {
	t.Helper()
	entries := make([]*Entry, 2)
	list := make([]storer.Instance, 0, len(entries))
	for i := range entries {
		s := configurer.DefaultEntrySettings()
		s.Instance, s.DataCentre, s.Region = identifier.Instance(fmt.Sprintf("entry-%d", i)), "dc-1", "r"
		loopback := netip.MustParseAddrPort("127.0.0.1:0")
		s.CallerAddress, s.AdminAddress, s.ControlAddress, s.DebugAddress = loopback, loopback, loopback, loopback
		e, err := NewEntry(t.Context(), s)
		must.NoError(t, err)
		t.Cleanup(func() {
			e.pool.Close()
			_ = e.Close() // the control listener is closed by its server
		})
		go func() { _ = messenger.Serve(t.Context(), e.listeners.control, e.mux) }()
		entries[i] = e
		list = append(list, storer.Instance{
			Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region, Role: "entry", ControlAddress: e.Addresses().Control,
		})
	}
	for _, e := range entries {
		e.detector.ApplyList(list)
		must.EqOp(t, 2, e.entryCount())
	}
	return entries
}

// Guards against an exchange of limit shares that is built but not connected: an entry with more demand than its share must
// obtain a larger one from the owner over a control connection, and its limit must grow accordingly.
func TestLimitShareIsExchanged(t *testing.T) {
	entries := controlPair(t)
	acc := &configurer.ClientAccount{TokensPerSecond: 1000}
	for i := 0; entries[0].lender.Owner(acc.Name) != "entry-1"; i++ {
		acc.Name = identifier.ClientAccount(fmt.Sprintf("account-%d", i))
	}
	begin := time.Now()
	for range 20 {
		entries[0].allowTokens(acc, 500, begin)
	}
	asks := entries[0].borrower.DueAsks(begin)
	must.Len(t, 1, asks)
	entries[0].askShare(t.Context(), asks[0])
	must.EqOp(t, 1, entries[1].lender.Counters()["shares-granted"])
	must.EqOp(t, 0, entries[0].borrower.Counters()["asks-failed"])
	// A new owner grants an even part of the lendable 0.95 of the limit on top of the even part of the base.
	must.Between(t, 0.499, entries[0].borrower.Share(acc), 0.501)
}
