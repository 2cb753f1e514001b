package forwarder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/throttler"
)

// Guards against a request that asks at no cold upstream which can serve it, because the first one that it met pauses, leaves, was evacuated
// or is gone.
func TestUnusableColdUpstreamLeavesOthers(t *testing.T) {
	for name, makeUnusable := range map[string]func(*throttler.Throttler, map[identifier.Upstream]*registrar.Upstream){
		"pauses": func(x *throttler.Throttler, _ map[identifier.Upstream]*registrar.Upstream) {
			x.Pause("a/0", time.Now().Add(time.Hour))
		},
		"leaves":    func(_ *throttler.Throttler, m map[identifier.Upstream]*registrar.Upstream) { m["a/0"].Leaving = true },
		"evacuated": func(_ *throttler.Throttler, m map[identifier.Upstream]*registrar.Upstream) { m["a/0"].Evacuated = true },
		"gone":      func(_ *throttler.Throttler, m map[identifier.Upstream]*registrar.Upstream) { delete(m, "a/0") },
	} {
		t.Run(name, func(t *testing.T) {
			asked := map[identifier.Upstream]int{}
			x := throttler.New(throttler.WithSend(func(a throttler.Ask) { asked[a.Upstream]++ }))
			upstreams := map[identifier.Upstream]*registrar.Upstream{"a/0": {Name: "a"}, "b/0": {Name: "b"}}
			f := New(WithThrottler(x))
			f.Upstream = func(name identifier.Upstream) *registrar.Upstream { return upstreams[name] }
			for name := range upstreams {
				x.SetCold(name, 1, time.Now().Add(time.Hour))
			}
			q := &request{}
			f.wantSlot(q, "a/0")
			f.wantSlot(q, "b/0")
			must.Eq(t, map[identifier.Upstream]int{"a/0": 1}, asked)
			makeUnusable(x, upstreams)
			f.wantSlot(q, "b/0")
			must.EqOp(t, 1, asked["b/0"])
		})
	}
}
