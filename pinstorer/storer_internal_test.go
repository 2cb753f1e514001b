package pinstorer

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
)

// newTableClient returns a client that calls the fake table directly, without a network.
func newTableClient(fake *platformfaker.Table) *storer.Table {
	return storer.NewTable(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithRoundTrip(platformfaker.RoundTripFunc(fake)))
}

// Guards against a read that returns rows of another shard, and against rows of a stopped entry that are never removed.
func TestPinRowsAreReadAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformfaker.NewTable(platformfaker.WithNow(time.Now))
		writer := New(newTableClient(fake), "west", "e-1")
		a := pinner.Pin{ClientAccount: "a", Session: "s-1", LastUsedAt: time.Now()}
		b := pinner.Pin{ClientAccount: "a", Session: "s-2", LastUsedAt: time.Now()}
		n := pinner.Shard("a", "s-1")
		must.NotEq(t, n, pinner.Shard("a", "s-2"))
		must.NoError(t, writer.Write(t.Context(), []pinner.Pin{a, b}))
		must.Len(t, 2, fake.Rows("pin/west/"))

		reader := New(newTableClient(fake), "west", "e-2")
		pins, err := reader.Read(t.Context(), n)
		must.NoError(t, err)
		must.Len(t, 1, pins)
		must.EqOp(t, "s-1", string(pins[0].Session))

		time.Sleep(pinner.RowRetention - time.Second)
		reader.Remove(t.Context())
		must.Len(t, 2, fake.Rows("pin/west/"))
		time.Sleep(time.Second)
		reader.Remove(t.Context())
		must.Len(t, 1, fake.Rows("pin/west/"))
		writer.Remove(t.Context())
		must.SliceEmpty(t, fake.Rows("pin/west/"))
		must.MapEmpty(t, writer.removeAt)
	})
}
