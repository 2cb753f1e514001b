package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// silentTime is how long an upstream may send nothing to any request of this entry before it is asked whether it lives.
	silentTime = 600 * time.Millisecond
	// probeTime bounds that question; a working upstream answers it at once, without a slot.
	probeTime = 500 * time.Millisecond
	// checkTime is the time between two looks at a waiting request.
	checkTime = 200 * time.Millisecond
	// lateFactor times the objective is how long a request that may be repeated waits for its response at a live upstream.
	lateFactor = 4
	// gapFactor times the longest pause of the route is how long a stream may pause at a live upstream before it is resumed
	// elsewhere. Prefills of long prompts make pauses of two seconds, and a new run reads the prompt again.
	gapFactor = 3
)

// watchdog ends an attempt at a silent upstream, if the request may go to another.
type watchdog struct {
	c      *call
	cancel context.CancelCauseFunc
	timer  *time.Timer
	done   atomic.Bool
	// verdict is why the attempt was given up, an outcome; nil while it was not.
	verdict atomic.Pointer[outcome]
	// askAt is when the engine is next asked whether it has the request, askedFor the last event before.
	askAt, askedFor time.Time
	// lastAt is the time of the last event of a stream in Unix nanoseconds, 0 before the first.
	lastAt atomic.Int64
}

func newWatchdog(c *call, cancel context.CancelCauseFunc) *watchdog {
	d := &watchdog{c: c, cancel: cancel}
	if c.q.route.Retryable() {
		// The timer starts once it is stored, because check reads it.
		d.timer = time.AfterFunc(time.Hour, d.check)
		d.timer.Reset(checkTime)
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

// event notes an event of the stream and returns the pause before it, 0 for the first one.
func (d *watchdog) event() time.Duration {
	now := d.c.f.Now().UnixNano()
	if last := d.lastAt.Swap(now); last > 0 {
		return time.Duration(now - last)
	}
	return 0
}

func (d *watchdog) check() {
	if d.done.Load() {
		return
	}
	if d.c.f.mayRepeat(d.c.q, d.c.index) {
		if verdict := d.judge(); verdict != "" {
			d.verdict.Store(&verdict)
			d.cancel(errSilent)
			return
		}
	}
	d.timer.Reset(checkTime)
}

// judge returns why the attempt should be given up, or an empty outcome.
func (d *watchdog) judge() outcome {
	f, route := d.c.f, d.c.q.route
	now := f.Now()
	since, limit := d.c.begin, lateFactor*route.LatencyTarget
	if at := d.lastAt.Load(); at > 0 {
		since, limit = time.Unix(0, at), gapFactor*route.EventGap
	}
	waited := now.Sub(since)
	switch {
	case limit > 0 && waited >= limit:
		return outcomeLate
	case route.Kind != matcher.Stream || waited < silentTime:
		// Other requests tell of a plain service only when there are enough of them.
		return ""
	case f.isDead(d.c.upstream, d.c.name, now):
		return outcomeSilent
	case d.missing(since, now):
		return outcomeMissing
	default:
		return ""
	}
}

// missing reports whether the engine does not have the request any more. An engine that may have it is asked again after twice
// the time.
func (d *watchdog) missing(since, now time.Time) bool {
	if !d.askedFor.Equal(since) {
		d.askedFor, d.askAt = since, since.Add(missingTime)
	}
	if now.Before(d.askAt) {
		return false
	}
	d.askAt = now.Add(now.Sub(since))
	f := d.c.f
	if !f.isMissing(d.c.upstream, d.c.name, d.c.q.id, since, now) {
		return false
	}
	f.counters.missing.Add(1)
	return true
}

// isDead asks an upstream that has been silent whether it lives. Only one question is open at a time, and the others wait
// for its answer.
func (f *Forwarder) isDead(u *registrar.Upstream, name identifier.Upstream, now time.Time) bool {
	s := f.signOf(name)
	if now.UnixNano()-s.at.Load() < int64(silentTime) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Now().UnixNano()-s.at.Load() < int64(silentTime) {
		return false
	}
	if s.deadUntil.After(now) {
		return true
	}
	err := f.ask(s, u, name)
	if err == nil {
		return false
	}
	s.deadUntil = f.Now().Add(silentTime)
	f.silent.add(name, f.Now())
	f.counters.silent.Add(1)
	f.log.Warn("upstream is silent", "upstream", name, "silent", f.Now().Sub(time.Unix(0, s.at.Load())), "error", err.Error())
	return true
}
