package runner

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// Guards against an upstream that another writer registered for a service whose name is that of a group of another service, and that so gets
// requests of the other service's roll-out (issue 35).
func TestServiceIsNoGroup(t *testing.T) {
	var list []balancer.Upstream
	d := &directory{
		group:  func(s identifier.Service, _ identifier.Version) identifier.Service { return s },
		update: func(l []balancer.Upstream) { list = l },
	}
	d.setList([]registrar.Upstream{
		{Name: "a", Service: "s", Version: "v1", Slots: 1}, {Name: "b", Service: "s@candidate", Version: "v1", Slots: 1},
		{Name: "c", Service: "s@excluded", Version: "v1", Slots: 1}, {Name: "d", Service: "s@candidate@candidate", Version: "v1", Slots: 1},
	})
	must.SliceLen(t, 1, list)
	must.EqOp(t, identifier.Service("s"), list[0].Service)
	must.EqOp(t, 0, d.size("s"+candidateSuffix))
}
