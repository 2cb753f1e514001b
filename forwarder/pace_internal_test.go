package forwarder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against an engine that counts as slow because it got the work of a larger model, a slow one that is not seen beside
// others, long prompts that make an engine slow, and a judgment that outlasts the observations.
func TestPace(t *testing.T) {
	p, now := newPaces(), time.Unix(1000, 0)
	must.Zero(t, p.step("unknown", now))
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		for _, x := range []struct {
			name identifier.Upstream
			kind string
			took time.Duration
		}{
			{"even", "small", 10 * time.Millisecond}, {"large", "large", 100 * time.Millisecond},
			{"both", "small", 10 * time.Millisecond}, {"both", "large", 100 * time.Millisecond},
			{"slow", "small", 40 * time.Millisecond}, {"other", "small", 10 * time.Millisecond},
		} {
			p.observe(x.name, x.kind, x.took, now)
		}
	}
	for _, name := range []identifier.Upstream{"even", "large", "both", "other"} {
		must.EqOp(t, paceUnit, p.step(name, now))
	}
	must.Between(t, slowPace*paceUnit, p.step("slow", now), maxPace*paceUnit)
	// A pause while a long prompt is read makes no engine slow.
	for range 4 {
		p.observe("even", "small", 400*time.Millisecond, now)
	}
	must.EqOp(t, paceUnit, p.step("even", now))
	now = now.Add(10 * time.Second)
	must.Zero(t, p.step("slow", now))
	p.forget(func(identifier.Upstream) bool { return false })
	must.MapEmpty(t, p.upstreams)
}
