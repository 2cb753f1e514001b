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

// Guards against a slow upstream that is not told from others by some of its events, a single event that decides, an upstream that
// gains by always reporting the same figure, and a figure that does not correct the ratio at once.
func TestSlowdownRatio(t *testing.T) {
	tracker, now := newSlowdownTracker(), time.Unix(1000, 0)
	tracker.decayTime = evenLoadDecayTime
	reported := map[identifier.Upstream]float64{"understating": 0.1, "slow-understating": 0.1}
	slowdown, correction := tracker.ratio("unknown", 0, now)
	must.EqOp(t, 1, slowdown)
	must.EqOp(t, 1, correction)
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		for _, x := range []struct {
			name identifier.Upstream
			took time.Duration
		}{
			{"a", 10 * time.Millisecond}, {"b", 10 * time.Millisecond}, {"slow", 15 * time.Millisecond}, {"understating", 10 * time.Millisecond},
			{"slow-understating", 30 * time.Millisecond},
		} {
			tracker.ratio(x.name, reported[x.name], now)
			tracker.observe(x.name, "model", x.took, now)
		}
	}
	base, _ := tracker.ratio("a", 0, now)
	slow, _ := tracker.ratio("slow", 0, now)
	must.Between(t, 1.35, slow/base, 1.55)
	slowest, factor := tracker.ratio("slow-understating", 0.1, now)
	must.Between(t, 2.4, slowest*factor/base, 3.1)
	_, factor = tracker.ratio("understating", 0.1, now)
	must.Between(t, 0.7, factor, 1)
	_, correction = tracker.ratio("a", 2.5, now)
	must.EqOp(t, 2.5, correction)
	tracker.observe("new", "model", time.Second, now)
	single, _ := tracker.ratio("new", 0, now)
	must.Less(t, 1.5, single)
	now = now.Add(5 * time.Minute)
	slow, _ = tracker.ratio("slow", 0, now)
	must.Between(t, 0.99, slow, 1.01)
}
