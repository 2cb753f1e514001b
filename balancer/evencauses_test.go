package balancer_test

import (
	"slices"
	"time"
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
