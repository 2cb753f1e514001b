package assembler

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against an undescribed agent among the upstreams, a restarted one that is not left out once, a change of
// versions that goes unnoticed, and engines of another data centre in a plan.
func TestDirectory(t *testing.T) {
	self := detector.Member{Instance: "entry-1", DataCentre: "dc-1", Region: "r", Role: detector.RoleEntry}
	det := detector.New(self)
	det.Merge([]storer.Instance{
		{Instance: "agent-1", DataCentre: "dc-1", Region: "r", Role: "agent"},
		{Instance: "agent-2", DataCentre: "dc-2", Region: "r", Role: "agent"},
		{Instance: "agent-3", DataCentre: "dc-1", Region: "r", Role: "agent"},
	})
	d := newDirectory(&process{settings: configurer.ProcessSettings{Instance: "entry-1", DataCentre: "dc-1"}, detector: det})
	var ups []balancer.Upstream
	d.update = func(list []balancer.Upstream) { ups = list }
	later := time.Now().Add(time.Hour)
	for name, up := range map[identifier.Instance]identifier.Upstream{"agent-1": "engine-1", "agent-2": "engine-2"} {
		d.known[name] = &described{
			Description: Description{
				Upstream: up, Targets: []identifier.Target{versionOne}, Unloading: []identifier.Target{versionTwo}, Places: 2,
				Load: streamer.Load{Loaded: 7},
			},
			valid: true, refreshAt: later,
		}
		d.byUp[up] = name
	}
	d.known["agent-3"] = &described{refreshAt: later}
	d.round(t.Context())
	must.Len(t, 2, ups)
	engines := d.engines()
	must.Len(t, 1, engines)
	must.Eq(t, []identifier.Target{versionOne, versionTwo}, engines[0].Loaded)

	d.observe("engine-1", streamer.Load{Loaded: 7})
	must.EqOp(t, later, d.known["agent-1"].refreshAt)
	d.observe("engine-1", streamer.Load{Loaded: 8})
	must.True(t, d.known["agent-1"].refreshAt.IsZero())

	d.known["agent-1"].refreshAt, d.known["agent-1"].asking = later, true
	m, _ := det.Member("agent-1")
	d.known["agent-1"].incarnation = m.Incarnation + 1
	d.round(t.Context())
	must.Len(t, 1, ups)
	must.EqOp(t, "engine-2", string(ups[0].Name))
}

// Guards against a lease holder that overwrites the newer counts of another one.
func TestQualityKeepsNewerRow(t *testing.T) {
	fake := platformfaker.NewTable()
	table := storer.New(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithDo(platformfaker.Exchange(fake)))
	e := &Entry{process: &process{table: table}, estimator: estimator.New(estimator.WithSource("entry-1"))}
	q := &quality{e: e, loaded: true, next: 5}
	q.write(t.Context())
	next := func() uint64 {
		var v qualityRow
		row, ok := fake.Row(qualityKey)
		must.True(t, ok)
		must.NoError(t, json.Unmarshal(row.Value, &v))
		return v.Next
	}
	must.EqOp(t, 5, next())
	other := &quality{e: e, loaded: true, next: 9}
	other.write(t.Context())
	must.EqOp(t, 9, next())
	q.write(t.Context())
	must.EqOp(t, 9, next())
	// The loser reads the newer row before its next step.
	must.False(t, q.loaded)
}
