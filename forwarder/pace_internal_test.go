package forwarder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against an engine that counts as slow because it got work of a larger model or read long prompts, a slow engine that is
// not detected among others, and a slowdown that is still reported long after the last sample.
func TestSlowdown(t *testing.T) {
	tracker, now := newSlowdownTracker(), time.Unix(1000, 0)
	must.Zero(t, tracker.tokenInterval("unknown", now))
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
			tracker.observe(x.name, x.kind, x.took, now)
		}
	}
	for _, name := range []identifier.Upstream{"even", "large", "both", "other"} {
		must.EqOp(t, baseTokenInterval, tracker.tokenInterval(name, now))
	}
	must.Between(t, slowdownThreshold*baseTokenInterval, tracker.tokenInterval("slow", now), maxSampleRatio*baseTokenInterval)
	// Pauses while long prompts are read don't make an engine count as slow.
	for range 4 {
		tracker.observe("even", "small", 400*time.Millisecond, now)
	}
	must.EqOp(t, baseTokenInterval, tracker.tokenInterval("even", now))
	now = now.Add(10 * time.Second)
	must.Zero(t, tracker.tokenInterval("slow", now))
	tracker.retain(func(identifier.Upstream) bool { return false })
	must.MapEmpty(t, tracker.upstreams)
}
