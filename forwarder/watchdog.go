package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/matcher"
)

const (
	// silentTime is how long an upstream may send nothing to any request of this entry before one that waits goes to another.
	silentTime = 600 * time.Millisecond
	// checkTime is the time between two looks at a waiting request.
	checkTime = 200 * time.Millisecond
	// lateFactor times the objective is how long a request that may be repeated waits for its first byte.
	lateFactor = 2
	// gapFactor times the longest pause of the route is how long a stream may pause before it is resumed elsewhere.
	gapFactor = 0.8
)

// watchdog ends an attempt at a silent upstream, if the request may go to another.
type watchdog struct {
	c      *call
	cancel context.CancelCauseFunc
	timer  *time.Timer
	fired  atomic.Bool
	done   atomic.Bool
	// lastAt is the time of the last event of a stream in Unix nanoseconds, 0 before the first.
	lastAt atomic.Int64
}

func newWatchdog(c *call, cancel context.CancelCauseFunc) *watchdog {
	d := &watchdog{c: c, cancel: cancel}
	if c.q.route.Repeatable() {
		d.timer = time.AfterFunc(checkTime, d.check)
	}
	return d
}

func (d *watchdog) stop() {
	if d.done.CompareAndSwap(false, true) {
		if d.timer != nil {
			d.timer.Stop()
		}
		d.cancel(nil)
	}
}

// event notes an event of the stream.
func (d *watchdog) event() {
	d.lastAt.Store(d.c.f.Now().UnixNano())
}

func (d *watchdog) check() {
	if d.done.Load() {
		return
	}
	if !d.overdue() {
		d.timer.Reset(checkTime)
		return
	}
	d.fired.Store(true)
	d.cancel(errSilent)
}

// overdue reports whether the upstream should be given up.
func (d *watchdog) overdue() bool {
	f, route := d.c.f, d.c.q.route
	now := f.Now()
	since, limit := d.c.begin, lateFactor*route.Objective
	if at := d.lastAt.Load(); at > 0 {
		since, limit = time.Unix(0, at), time.Duration(gapFactor*float64(route.EventGap))
	} else if route.Kind == matcher.Stream {
		// A stream that waits in the queue of a working engine keeps its place there.
		limit = max(limit, route.Objective+time.Second)
	}
	waited := now.Sub(since)
	if waited >= limit && limit > 0 {
		return true
	}
	silent := now.UnixNano()-f.signOf(d.c.name).at.Load() >= int64(silentTime)
	return silent && waited >= silentTime
}
