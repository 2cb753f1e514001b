package forwarder

import (
	"log/slog"
	"time"

	"github.com/siskinfront/siskinfront/matcher"
)

// observe returns what is known about the attempt, without asking the upstream.
func (d *watchdog) observe() evidence {
	f, route, s := d.c.f, d.c.q.route, d.c.f.livenessOf(d.c.name)
	now := f.Now()
	since, at := d.c.beganAt, d.lastEventAt.Load()
	e := evidence{stream: route.Kind == matcher.Stream, started: at > 0, lateAfter: lateFactor * route.LatencyTarget}
	if e.started {
		since, e.lateAfter = time.Unix(0, at), eventGapFactor*route.EventGap
	}
	e.keptFor = keptFor(e.started, route.EventGap)
	// While an event is written to a caller who reads slowly, the upstream is not waited for.
	if !d.passingOn.Load() {
		e.waited = now.Sub(since)
	}
	e.silence = now.Sub(d.c.beganAt)
	if received := s.lastReceivedAt.Load(); received > 0 {
		e.silence = now.Sub(time.Unix(0, received))
	}
	if p := s.probe.Load(); p != nil {
		e.probe, e.probeAge = probeAnswered, now.Sub(p.at)
		if p.failed {
			e.probe = probeFailed
		}
	}
	if !d.reportSince.Equal(since) {
		d.reportSince, d.nextReportAt = since, since
	}
	d.reportNotBefore = since.Add(missingCheckDelay)
	if t := time.Unix(0, s.silenceEndedAt.Load()).Add(reportLag); t.After(d.reportNotBefore) {
		d.reportNotBefore = t
	}
	e.reportDue = !now.Before(d.nextReportAt) && !now.Before(d.reportNotBefore)
	return e
}

// evidenceAttr returns what the watchdog decided on as a part of a log line, which is empty if it never wanted to give the attempt
// up. kept is why the attempt went on nevertheless.
func (a *attempt) evidenceAttr() slog.Attr {
	e := &a.evidence
	if *e == (evidence{}) {
		return slog.Attr{}
	}
	return slog.Group("watchdog", slog.Duration("silence", e.silence), slog.String("probe", string(e.probe)),
		slog.Duration("probe-age", e.probeAge), slog.String("kept", string(a.kept)))
}
