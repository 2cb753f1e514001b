package agentserver

import (
	"errors"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against a run that starts although the buffer of pending bills is full, so that its bill could not be stored.
func TestRefusalAtBillCapacity(t *testing.T) {
	s := New("upstream-1", netip.MustParseAddrPort("10.0.0.1:8000"))
	for i := range maxPendingBills {
		s.bills.add(biller.Bill{ID: strconv.Itoa(i)})
	}
	o := &streamer.Order{Request: "r-1", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	_, _, err := s.findOrCreateRun(o, nil)
	var refusal *RefusalError
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, "bills-pending", refusal.Code)
	must.False(t, refusal.RetryAt.IsZero())
	s.RemoveDurableBills([]string{"0"})
	_, isNew, err := s.findOrCreateRun(o, nil)
	must.NoError(t, err)
	must.True(t, isNew)
}
