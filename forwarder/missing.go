package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// missingCheckDelay is how long a stream may be without an event before its engine is asked whether it still has the
	// request. A report lags by some hundred milliseconds, so a request that has just arrived could be absent from it.
	missingCheckDelay = 700 * time.Millisecond
	// reportLag bounds the time by which a report lags behind. An upstream that was silent reports for so long as of the time
	// before it went on, and may have read requests since then.
	reportLag = 400 * time.Millisecond
	// reportMaxAge is how long a report is reused for the other requests that wait at the engine.
	reportMaxAge = 200 * time.Millisecond
	// busyProbeDelay is how long an engine is not asked after it stated that requests wait there, because its report would not
	// tell which ones.
	busyProbeDelay = 300 * time.Millisecond
)

// Report is what an engine states about the requests that it has.
type Report struct {
	// Running holds the ids of the requests that have had their first event.
	Running []string
	// WithoutID is the number of requests that wait or whose prompts are being read; a report does not state their ids.
	WithoutID int
}

// lacks reports whether the engine certainly does not have a request.
func (r *Report) lacks(id string) bool {
	return r.WithoutID == 0 && !slices.Contains(r.Running, id)
}

// isRequestMissing reports whether a responsive engine does not have a request for which it has sent nothing: the
// response was lost, or the engine dropped the request. Reports received before notBefore do not count.
func (f *Forwarder) isRequestMissing(u *registrar.Upstream, name identifier.Upstream, id string, notBefore, now time.Time) bool {
	s := f.livenessOf(name)
	if now.UnixNano()-s.busyAt.Load() < int64(busyProbeDelay) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.probe.Load(); p != nil && p.failed && f.Now().Sub(p.at) < probeValidity {
		return false
	}
	if s.reportedAt.Before(notBefore) || f.Now().Sub(s.reportedAt) >= reportMaxAge {
		if !f.takeProbeSlot(name) {
			return false
		}
		if err := f.fetchReport(s, u, name); err != nil {
			// isUnresponsive decides whether the upstream is responsive, from what it sends to all requests.
			f.log.Warn("upstream could not be asked whether it has a request", "upstream", name, "request", id, "error", err.Error())
			return false
		}
	}
	return s.report.lacks(id)
}

// fetchReport asks an upstream for a report and stores it; s.mu must be held.
func (f *Forwarder) fetchReport(s *liveness, u *registrar.Upstream, name identifier.Upstream) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := f.Probe(ctx, u, name)
	s.probe.Store(&probe{f.Now(), err != nil})
	if err != nil {
		return err
	}
	f.recordActivity(name)
	s.report, s.reportedAt = report, f.Now()
	return nil
}
