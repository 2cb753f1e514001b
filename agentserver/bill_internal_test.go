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

// Guards against work that starts although its bill would find no room.
func TestRefusalAtBillCapacity(t *testing.T) {
	s := New("upstream-1", netip.MustParseAddrPort("10.0.0.1:8000"))
	for i := range maxBills {
		s.bills.add(biller.Bill{ID: strconv.Itoa(i)})
	}
	o := &streamer.Order{Request: "r-1", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	_, _, err := s.begin(o, nil)
	var refusal *RefusalError
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, "bills-pending", refusal.Code)
	must.False(t, refusal.RetryAt.IsZero())
	s.MarkBillsDurable([]string{"0"})
	_, fresh, err := s.begin(o, nil)
	must.NoError(t, err)
	must.True(t, fresh)
}
