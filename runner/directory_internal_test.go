package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/evacuator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against an upstream that another writer registered for a service whose name is that of a group of another service, and that so gets
// requests of the other service's roll-out (issue 35).
func TestServiceIsNoGroup(t *testing.T) {
	var list []balancer.Upstream
	d := &directory{
		group:       func(s identifier.Service, _ identifier.Version) identifier.Service { return s },
		isEvacuated: func(identifier.DataCentre) bool { return false },
		update:      func(l []balancer.Upstream) { list = l },
	}
	d.setList([]registrar.Upstream{
		{Name: "a", Service: "s", Version: "v1", Slots: 1}, {Name: "b", Service: "s@candidate", Version: "v1", Slots: 1},
		{Name: "c", Service: "s@excluded", Version: "v1", Slots: 1}, {Name: "d", Service: "s@candidate@candidate", Version: "v1", Slots: 1},
	})
	must.SliceLen(t, 1, list)
	must.EqOp(t, identifier.Service("s"), list[0].Service)
	must.EqOp(t, 0, d.size("s"+candidateSuffix, nil))
}

// Guards against new requests to an evacuated data centre, against an upstream of it that the requests in flight no longer find, and against
// a data centre that stays out of the choice.
func TestEvacuatedUpstreams(t *testing.T) {
	var list []balancer.Upstream
	var out identifier.DataCentre
	d := &directory{
		group:       func(s identifier.Service, _ identifier.Version) identifier.Service { return s },
		isEvacuated: func(x identifier.DataCentre) bool { return x == out },
		update:      func(l []balancer.Upstream) { list = l },
	}
	registered := []registrar.Upstream{
		{Name: "a", Service: "s", Slots: 1, DataCentre: "dc-a"}, {Name: "b", Service: "s", Slots: 1, DataCentre: "dc-b"},
		{Name: "c", Service: "s", Slots: 1, DataCentre: "dc-a", Leaving: true},
	}
	d.setList(registered)
	must.SliceLen(t, 3, list)
	out = "dc-a"
	d.regroup()
	must.SliceLen(t, 1, list)
	must.EqOp(t, identifier.Upstream("b/0"), list[0].Name)
	must.EqOp(t, 1, d.size("s", nil))
	must.EqOp(t, 2, d.sizeOf("dc-a"))
	for name, available := range map[identifier.Upstream]bool{"a/0": false, "b/0": true, "c/0": false} {
		must.NotNil(t, d.upstream(name))
		must.EqOp(t, available, d.isAvailable(name))
	}
	// The list belongs to the registrar.
	must.False(t, registered[0].Evacuated)
	out = ""
	d.regroup()
	must.SliceLen(t, 3, list)
	must.EqOp(t, 2, d.size("s", nil))
	must.True(t, d.isAvailable("a/0"))
}

// Guards against load samples from before an evacuation that decide the choice after it.
func TestSamplesAreDiscarded(t *testing.T) {
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", nil)
	u := &registrar.Upstream{Name: "a", Service: "s", Slots: 1, DataCentre: "dc-a"}
	r.registrar.Apply([]registrar.Change{{Name: u.Name, Upstream: u}}, true)
	r.balancer.Report("a/0", streamer.Load{At: time.Now(), Running: 7})
	load := func() int64 { return r.balancer.State().(balancer.State).Upstreams[0].Load }
	must.EqOp(t, 7, load())
	r.evacuator.Apply(evacuator.Batch{Changes: []evacuator.Change{{DataCentre: "dc-a"}}})
	must.SliceEmpty(t, r.balancer.State().(balancer.State).Upstreams)
	r.evacuator.Apply(evacuator.Batch{Changes: []evacuator.Change{{DataCentre: "dc-a", Withdrawn: true}}})
	must.EqOp(t, 0, load())
}

// Guards against a group that seems to have upstreams for requests bound to regions where it has none.
func TestSizeInRegions(t *testing.T) {
	d := &directory{
		regions:     map[identifier.DataCentre]identifier.Region{"dc-a": "west", "dc-b": "east"},
		group:       func(s identifier.Service, _ identifier.Version) identifier.Service { return s },
		isEvacuated: func(identifier.DataCentre) bool { return false },
		update:      func([]balancer.Upstream) {},
	}
	must.EqOp(t, 0, d.size("s", matcher.NewRegions("west")))
	d.setList([]registrar.Upstream{
		{Name: "a", Service: "s", Slots: 1, DataCentre: "dc-a"}, {Name: "b", Service: "s", Slots: 1, DataCentre: "dc-b"},
		{Name: "c", Service: "s", Slots: 1, DataCentre: "dc-b", Leaving: true}, {Name: "d", Service: "s", Slots: 1, DataCentre: "unknown"},
	})
	must.EqOp(t, 3, d.size("s", nil))
	must.EqOp(t, 1, d.size("s", matcher.NewRegions("east")))
	must.EqOp(t, 2, d.size("s", matcher.NewRegions("east", "west", "south")))
	must.EqOp(t, 0, d.size("s", matcher.NewRegions("south")))
	must.EqOp(t, 0, d.size("s", matcher.NewRegions()))
}
