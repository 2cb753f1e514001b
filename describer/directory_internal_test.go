package describer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

var (
	versionOne = identifier.Target{Model: "small", Version: "1"}
	versionTwo = identifier.Target{Model: "small", Version: "2"}
)

// Guards against an agent without a description among the upstreams, a restarted agent whose upstream is not left out of
// one update, a load report with other versions that does not trigger a new description, and engines of another data
// centre among those that are planned.
func TestDirectory(t *testing.T) {
	self := detector.Member{Instance: "entry-1", DataCentre: "dc-1", Region: "r", Role: detector.RoleEntry}
	det := detector.New(self)
	det.ApplyList([]storer.Instance{
		{Instance: "agent-1", DataCentre: "dc-1", Region: "r", Role: "agent"},
		{Instance: "agent-2", DataCentre: "dc-2", Region: "r", Role: "agent"},
		{Instance: "agent-3", DataCentre: "dc-1", Region: "r", Role: "agent"},
	})
	var upstreams []balancer.Upstream
	d := New(self, det, WithUpdate(func(list []balancer.Upstream) { upstreams = list }))
	later := time.Now().Add(time.Hour)
	for name, up := range map[identifier.Instance]identifier.Upstream{"agent-1": "engine-1", "agent-2": "engine-2"} {
		d.byInstance[name] = &describedAgent{
			Description: Description{
				Upstream: up, Targets: []identifier.Target{versionOne}, Unloading: []identifier.Target{versionTwo}, MaxVersions: 2,
				Load: streamer.Load{LoadedHash: 7},
			},
			valid: true, refreshAt: later,
		}
		d.agentByUpstream[up] = name
	}
	d.byInstance["agent-3"] = &describedAgent{refreshAt: later}
	d.round(t.Context())
	must.Len(t, 2, upstreams)
	engines := d.Engines()
	must.Len(t, 1, engines)
	must.Eq(t, []identifier.Target{versionOne, versionTwo}, engines[0].Loaded)

	d.Observe("engine-1", streamer.Load{LoadedHash: 7})
	must.EqOp(t, later, d.byInstance["agent-1"].refreshAt)
	d.Observe("engine-1", streamer.Load{LoadedHash: 8})
	must.True(t, d.byInstance["agent-1"].refreshAt.IsZero())

	d.byInstance["agent-1"].refreshAt, d.byInstance["agent-1"].inFlight = later, true
	m, _ := det.Member("agent-1")
	d.byInstance["agent-1"].incarnation = m.Incarnation + 1
	d.round(t.Context())
	must.Len(t, 1, upstreams)
	must.EqOp(t, "engine-2", string(upstreams[0].Name))
}
