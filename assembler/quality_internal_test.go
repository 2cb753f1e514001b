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

// Guards against a former lease holder that overwrites the newer counts of its successor.
func TestQualityKeepsNewerRow(t *testing.T) {
	fake := platformfaker.NewTable()
	table := storer.NewTable(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithRoundTrip(platformfaker.RoundTripFunc(fake)))
	e := &Entry{process: &process{table: table}, estimator: estimator.New(estimator.WithSelf("entry-1"))}
	q := &qualityTracker{e: e, loaded: true, lastSequence: 5}
	q.writeCounts(t.Context())
	storedSequence := func() uint64 {
		var v qualityRow
		row, ok := fake.Row(qualityKey)
		must.True(t, ok)
		must.NoError(t, json.Unmarshal(row.Value, &v))
		return v.LastSequence
	}
	must.EqOp(t, 5, storedSequence())
	other := &qualityTracker{e: e, loaded: true, lastSequence: 9}
	other.writeCounts(t.Context())
	must.EqOp(t, 9, storedSequence())
	q.writeCounts(t.Context())
	must.EqOp(t, 9, storedSequence())
	// The entry with the older counts must load the newer row in its next step.
	must.False(t, q.loaded)
}
