package assembler

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
)

// Guards against a lease holder that overwrites the newer counts of another one.
func TestQualityKeepsNewerRow(t *testing.T) {
	fake := platformfaker.NewTable()
	table := storer.New(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithDo(platformfaker.RoundTripFunc(fake)))
	e := &Entry{process: &process{table: table}, estimator: estimator.New(estimator.WithSelf("entry-1"))}
	q := &qualityTracker{e: e, loaded: true, lastSequence: 5}
	q.writeCounts(t.Context())
	next := func() uint64 {
		var v qualityRow
		row, ok := fake.Row(qualityKey)
		must.True(t, ok)
		must.NoError(t, json.Unmarshal(row.Value, &v))
		return v.Next
	}
	must.EqOp(t, 5, next())
	other := &qualityTracker{e: e, loaded: true, lastSequence: 9}
	other.writeCounts(t.Context())
	must.EqOp(t, 9, next())
	q.writeCounts(t.Context())
	must.EqOp(t, 9, next())
	// The loser reads the newer row before its next step.
	must.False(t, q.loaded)
}
