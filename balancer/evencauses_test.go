package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// joinAt is when further engines start, and startTime the time after it that counts as their start.
	joinAt, startTime = 10 * time.Second, 5 * time.Second
)

// dropRead drops the prompts whose reading has begun.
func (e *simulatedEngine) dropRead(now time.Duration) {
	e.waiting = slices.DeleteFunc(e.waiting, func(x time.Duration) bool { return x <= now })
}

// countJoined counts a request at an engine if it is sent while others start.
func (r *unequalRun) countJoined(i int) {
	if r.joining == 0 || r.now < joinAt || r.now >= joinAt+startTime {
		return
	}
	r.atStart++
	if i >= r.upstreams-r.joining {
		r.atJoined++
	}
}

// observePressure adds what an entry learns from an engine about waiting requests, and compares its pressure with the true one.
func (r *unequalRun) observePressure(entry int, e *simulatedEngine) {
	now := start.Add(r.now)
	r.pressures[entry].Observe(len(e.waiting), engineSlots, now)
	if r.now < r.until/4 {
		return
	}
	waiting := 0
	for i := range r.engines {
		r.engines[i].dropRead(r.now)
		waiting += len(r.engines[i].waiting)
	}
	r.pressure += r.pressures[entry].Value(now)
	r.waiting += float64(waiting) / float64(len(r.engines)*engineSlots)
	r.pressureSamples++
}

// mean plays the seeds 1 to 4 and returns the mean results.
func (u unequal) mean(m mechanism, seconds int) latencies {
	var l latencies
	u.mechanism = m
	for u.seed = 1; u.seed <= 4; u.seed++ {
		l = l.add(u.simulate(seconds), 0.25)
	}
	return l
}

// Guards against engines that have just started and, without samples, attract more than their share from a choice by expected time: more
// than a choice by requests in flight gives them and a tenth, or more than a third beyond the others. Starting engines are as fast as
// the others or 2.5 times slower.
func TestStartingEnginesGetTheirShare(t *testing.T) {
	for _, x := range []unequal{{}, {equal: true}, {slowStart: true}, {equal: true, slowStart: true}} {
		t.Run(fmt.Sprintf("equal %v, slow %v", x.equal, x.slowStart), func(t *testing.T) {
			t.Parallel()
			x.entries, x.upstreams, x.joining, x.reportDelay = 30, 55, 5, 20*time.Millisecond
			before, after := x.mean(byRequests, 15).joined, x.mean(byTime, 15).joined
			t.Logf("share by requests %.2f, by time %.2f", before, after)
			must.LessEq(t, 1.1*before, after)
			must.LessEq(t, 4.0/3, after)
		})
	}
}

// Guards against plain upstreams that have just started and, cold or not, attract more than their share from a choice by expected time.
func TestStartingPlainUpstreamsGetTheirShare(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.9} {
		for _, perSecond := range []float64{0, 5} {
			t.Run(fmt.Sprintf("load %.1f, %v per second", load, perSecond), func(t *testing.T) {
				t.Parallel()
				d := deployment{entries: 30, upstreams: 12, slots: 6, load: load, joining: 3, coldPerSecond: perSecond}
				before := d.simulate(8000)
				d.evenLoad = true
				after := d.simulate(8000)
				t.Logf("by requests: share %.2f, asks %.2f; by time: share %.2f, asks %.2f", before.joined, before.asks, after.joined, after.asks)
				must.LessEq(t, 4.0/3, after.joined)
			})
		}
	}
}
