package forwarder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/matcher"
)

// Guards against quality that is given up by the same pressure whether answers come early or close to the targets of their route, and against requests
// whose caller names the model, or routes without a target, that change the headroom.
func TestPressureDependsOnTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	newForwarder := func() (*Forwarder, *queueing) {
		f := New()
		x := f.queueingOf("s")
		for range 50 {
			x.Observe(4, 64, now)
		}
		return f, x
	}
	ample := matcher.Route{LatencyTarget: 4 * time.Second, EventGap: 1200 * time.Millisecond}
	none, tight := ample, ample
	none.LatencyTarget, tight.LatencyTarget = 0, 400*time.Millisecond
	for name, c := range map[string]struct {
		route    *matcher.Route
		anyModel bool
		pause    time.Duration
		least    float64
		most     float64
	}{
		"ample target":               {&ample, true, 100 * time.Millisecond, 0.014, 0.017},
		"tight target":               {&tight, true, 100 * time.Millisecond, 0.06, 0.0625},
		"pauses close to the limit":  {&ample, true, 700 * time.Millisecond, 0.035, 0.0625},
		"no target":                  {&none, true, 100 * time.Millisecond, 0.06, 0.0625},
		"caller has named the model": {&ample, false, 100 * time.Millisecond, 0.06, 0.0625},
	} {
		f, x := newForwarder()
		for range 200 {
			q := &request{route: c.route, service: "s", anyModel: c.anyModel}
			f.observeFirstDelay(q, 300*time.Millisecond)
			f.observeEventPause(q, c.pause)
			f.observeEventPause(q, c.pause)
		}
		if p := x.effectivePressure(now); p < c.least || p > c.most {
			t.Errorf("%s: pressure %v, want %v to %v", name, p, c.least, c.most)
		}
	}
	f, _ := newForwarder()
	f.observeFirstDelay(&request{route: &tight, service: "s", anyModel: true}, time.Second)
	factors, atRisk := f.headrooms()
	must.MapEq(t, map[string]float64{"s": 1}, map[string]float64{"s": factors["s"]})
	must.EqOp(t, 1, atRisk)
}

// Guards against a request with many long pauses that counts as many answers at risk.
func TestAnswerIsAtRiskOnce(t *testing.T) {
	f := New()
	q := &request{route: &matcher.Route{LatencyTarget: 4 * time.Second, EventGap: time.Second}, service: "s", anyModel: true}
	f.observeFirstDelay(q, 300*time.Millisecond)
	for range 3 {
		f.observeEventPause(q, 900*time.Millisecond)
	}
	_, atRisk := f.headrooms()
	must.EqOp(t, 1, atRisk)
}
