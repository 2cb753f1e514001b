package forwarder

import (
	"strconv"
	"strings"

	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// minReportedTime and maxReportedTime bound how long work takes now according to an upstream, with 100 as usual.
	minReportedTime, maxReportedTime = 10, 10_000
	// reportedTimeField is the index of that figure in the header of the load.
	reportedTimeField = 3
)

// WithEvenLoad passes the speed of upstreams to the balancer as balancer.WithEvenLoad needs it.
func WithEvenLoad() Option {
	return func(f *Forwarder) { f.evenLoad, f.slowdowns.decayTime = true, evenLoadDecayTime }
}

// reportLoad reports the load that the response states to the balancer and, for a stream, to the pressure of the service.
func (c *call) reportLoad() {
	fields := strings.Split(c.response.Header.Get(c.f.headers.Load), ",")
	if len(fields) < 2 {
		return
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err1 != nil || err2 != nil {
		return
	}
	a := &c.q.attempts[c.index]
	a.running, a.waiting = running, waiting
	now := c.f.Now()
	if waiting > 0 {
		c.f.livenessOf(c.name).busyAt.Store(now.UnixNano())
	}
	if c.q.route.Kind == matcher.Stream {
		c.f.queueingOf(c.q.service).Observe(waiting, c.upstream.Slots, now)
	}
	l := streamer.Load{At: now, Running: running}
	if waiting > 0 {
		l.Queued = []int{waiting}
	}
	reported := 0.0
	if len(fields) > reportedTimeField {
		reported = c.reportedTime(fields[reportedTimeField])
	}
	if c.f.evenLoad {
		l.Slowdown, l.SlowdownCorrection = c.f.slowdowns.ratio(c.name, reported, now)
	} else {
		l.TokenInterval = c.f.slowdowns.tokenInterval(c.name, now)
	}
	c.f.balancer.Report(c.name, l)
	if running+waiting <= 1 {
		// Nothing but this request is there, so the upstream has read the long prompts that were sent to it before.
		c.f.balancer.EndReading(c.name, c.beganAt.Add(-1))
	}
}

// reportedTime returns how long work takes at the upstream now according to the fourth figure of its load, with 1 as usual, or 0 if
// the figure is invalid. An invalid figure is counted, and logged once for an upstream.
func (c *call) reportedTime(field string) float64 {
	n, ok := parseReportedTime(field)
	if ok {
		return float64(n) / 100
	}
	c.f.counters.invalidLoad.Add(1)
	if !c.f.livenessOf(c.name).invalidLoad.Swap(true) {
		c.f.log.Warn("time of work that upstream reports with its load is invalid", "upstream", c.name, "value", field[:min(len(field), maxLoggedValue)])
	}
	return 0
}

// parseReportedTime reads how long work takes at an upstream, with 100 as usual.
func parseReportedTime(field string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimSpace(field))
	return n, err == nil && n >= minReportedTime && n <= maxReportedTime
}
