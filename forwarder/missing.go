package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// missingTime is how long a stream may bring no event before its engine is asked whether it still has the request. A
	// report lags by some hundred milliseconds and must not miss a request that has just arrived.
	missingTime = 700 * time.Millisecond
	// reportTime is how long a report serves the other requests that wait at the engine.
	reportTime = 200 * time.Millisecond
	// busyTime is how long an engine that said that requests wait there is not asked, because it cannot tell which.
	busyTime = 300 * time.Millisecond
)

// Report is what an engine says about the requests that it has.
type Report struct {
	// Running holds the ids of the requests with an event.
	Running []string
	// Others is the number of requests that wait or whose prompts are read; a report does not tell their ids.
	Others int
}

// lacks reports whether the engine does not have a request.
func (r *Report) lacks(id string) bool {
	return r.Others == 0 && !slices.Contains(r.Running, id)
}

// isMissing reports whether an engine that lives does not have a request which it has not answered since a time: the response
// was lost, or the engine dropped the request.
func (f *Forwarder) isMissing(u *registrar.Upstream, name identifier.Upstream, id string, since, now time.Time) bool {
	s := f.signOf(name)
	if now.UnixNano()-s.busyAt.Load() < int64(busyTime) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.askedAt.Before(since.Add(missingTime)) || f.Now().Sub(s.askedAt) >= reportTime {
		if err := f.ask(s, u, name); err != nil {
			// Whether the upstream lives is decided by isDead, from what it sends to all requests.
			f.log.Warn("report of an upstream failed", "upstream", name, "request", id, "error", err.Error())
			return false
		}
	}
	return s.report.lacks(id)
}

// ask asks an upstream for a report; s.mu is held.
func (f *Forwarder) ask(s *sign, u *registrar.Upstream, name identifier.Upstream) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	report, err := f.Probe(ctx, u, name)
	if err != nil {
		return err
	}
	f.touch(name)
	s.report, s.askedAt = report, f.Now()
	return nil
}
