package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// probeTimeout bounds a probe; a working upstream answers it at once, without a slot.
	probeTimeout = 500 * time.Millisecond
	// lateFactor times the route's latency target is how long a retryable request waits for its response at a responsive upstream.
	lateFactor = 4
	// eventGapFactor times the route's event gap is how long a stream may pause at a responsive upstream before it is resumed
	// elsewhere. Prefills of long prompts cause pauses of two seconds, and a resumed run has to read its prompt again.
	eventGapFactor = 3
)

// watchdog abandons an attempt that is late, or whose upstream is unresponsive or no longer has the request, once it holds a permit
// for the next attempt.
type watchdog struct {
	c      *call
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// denial is why the request may not be sent once more after this attempt, or empty; startedDenial is the same once the attempt
	// has sent an event.
	denial, startedDenial denial
	// lastEventAt is the time at which the last event of a stream was passed on, in Unix nanoseconds, or 0 before the first.
	// passingOn is set while an event is written to the caller, who may read slowly.
	lastEventAt atomic.Int64
	passingOn   atomic.Bool
	// commentAt is when the last comment began to be written to the caller. Only the goroutine of the request uses it.
	commentAt time.Time
	// nextReportAt is when the engine is next asked whether it has the request. It holds for the wait that began at reportSince,
	// which is the time of the last event or the start of the attempt. Only check uses both.
	nextReportAt, reportSince time.Time
	// reportNotBefore is from when on a report tells whether the engine has the request.
	reportNotBefore time.Time

	mu sync.Mutex
	// stopped is set once the attempt has ended or can no longer be abandoned.
	stopped bool
	// abandoned is the outcome with which the attempt was abandoned, or empty.
	abandoned outcome
	// evidence is what the last decision to give the attempt up was made on, and kept why it was not followed.
	evidence evidence
	kept     denial
}

// newWatchdog returns the watchdog of a call whose attempt is the last one in its request.
func newWatchdog(c *call, cancel context.CancelCauseFunc) *watchdog {
	d := &watchdog{c: c, cancel: cancel}
	if c.q.route.Retryable() {
		d.denial, d.startedDenial = c.q.attemptsDenial(true, c.q.responseStarted), c.q.attemptsDenial(true, true)
		if c.q.isTrial {
			d.denial, d.startedDenial = denialSuspected, denialSuspected
		}
		// check reads d.timer, so the timer is set to the interval only after it is stored.
		d.timer = time.AfterFunc(time.Hour, d.check)
		d.timer.Reset(checkInterval)
	}
	return d
}

// stop ends the watch. Afterwards the request holds the permit for its next attempt if the attempt was abandoned.
func (d *watchdog) stop() {
	d.keep()
	d.cancel(nil)
}

// abandonedAs returns the outcome with which the attempt was abandoned, or an empty one.
func (d *watchdog) abandonedAs() outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.abandoned
}

// keep ends the watch without ending the attempt, and reports whether the attempt was not abandoned before.
func (d *watchdog) keep() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped && d.timer != nil {
		d.timer.Stop()
	}
	d.stopped = true
	return d.abandoned == ""
}

// recordEvent records an event of the stream and returns the time waited for it, or 0 for the first event.
func (d *watchdog) recordEvent() time.Duration {
	d.passingOn.Store(true)
	if last := d.lastEventAt.Load(); last > 0 {
		return time.Duration(d.c.f.Now().UnixNano() - last)
	}
	return 0
}

// recordPassedOn records that the last event was written to the caller, from when on the next one is waited for.
func (d *watchdog) recordPassedOn() {
	d.lastEventAt.Store(d.c.f.Now().UnixNano())
	d.passingOn.Store(false)
}

// beginComment and endComment record that a comment is written to the caller, which is no event. The time that the caller takes to read
// it does not count as waiting for the upstream.
func (d *watchdog) beginComment() {
	d.commentAt = d.c.f.Now()
	d.passingOn.Store(true)
}

func (d *watchdog) endComment() {
	if d.lastEventAt.Load() > 0 {
		d.lastEventAt.Add(int64(d.c.f.Now().Sub(d.commentAt)))
	}
	d.passingOn.Store(false)
}

func (d *watchdog) check() {
	e := d.observe()
	result, ask := decide(e)
	if ask == askAlive {
		d.c.f.probeSilent(d.c.upstream, d.c.name)
		e = d.observe()
		result, ask = decide(e)
	}
	if ask == askRequest {
		e.missing = d.isRequestMissing(e.waited)
		result, _ = decide(e)
	}
	if result != "" && d.abandon(result, e) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer.Reset(e.nextCheck())
	}
}

// abandon gives the attempt up if the request gets a permit for the next one, and reports whether it did. Otherwise the attempt
// goes on.
func (d *watchdog) abandon(o outcome, e evidence) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return true
	}
	if d.passingOn.Load() {
		return false
	}
	d.evidence = e
	denied := d.denial
	if e.started {
		denied = d.startedDenial
	}
	if denied == "" {
		denied = d.c.f.reserveElsewhere(d.c.q, d.c.q.attempts[d.c.index].model, d.c.unsuitable(o))
	}
	if denied != "" {
		if d.kept == "" {
			d.c.f.counters.kept.Add(1)
		}
		d.kept = denied
		return false
	}
	d.abandoned = o
	d.cancel(errAbandoned)
	return true
}

// isRequestMissing reports whether the engine does not have the request any more. An engine that may still have it is asked again
// once the wait is twice as long.
func (d *watchdog) isRequestMissing(waited time.Duration) bool {
	f := d.c.f
	now := f.Now()
	d.nextReportAt = now.Add(waited)
	if !f.isRequestMissing(d.c.upstream, d.c.name, d.c.q.id, d.reportNotBefore, now) {
		return false
	}
	f.counters.requestsMissing.Add(1)
	return true
}

// probeSilent probes an upstream that has been silent. Only one probe of an upstream runs at a time; other requests wait for its
// result.
func (f *Forwarder) probeSilent(u *registrar.Upstream, name identifier.Upstream) {
	s := f.livenessOf(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	silence := f.Now().Sub(time.Unix(0, s.lastReceivedAt.Load()))
	last := s.probe.Load()
	if silence < silenceThreshold || last != nil && last.failed && f.Now().Sub(last.at) < probeValidity || !f.takeProbeSlot(name) {
		return
	}
	if last != nil && last.failed && f.Now().Sub(last.at) < silence {
		// It has sent nothing since the last probe, so it stays excluded until the end of this one.
		f.unresponsive.add(name, f.Now())
	}
	err := f.fetchReport(s, u, name)
	if err == nil {
		return
	}
	f.unresponsive.add(name, f.Now())
	f.counters.unresponsive.Add(1)
	f.log.Warn("upstream is silent", "upstream", name, "silent", silence, "error", err.Error())
}
