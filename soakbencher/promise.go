package soakbencher

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// The invariants that a soak checks, with their names in the report.
const (
	invariantOwnAnswer               = "own answer, whole"
	invariantAtMostOnce              = "at most once"
	invariantRefusedNotRun           = "refusal says not run"
	invariantOwnAccount              = "own account only"
	invariantAllowedVersion          = "allowed version only"
	invariantSessionVersion          = "session on its version"
	invariantLeavingUpstream         = "leaving upstream gets nothing"
	invariantConfigNeverReverts      = "configuration never backwards"
	invariantWithdrawnKey            = "withdrawn key gets nothing"
	invariantRetryBudget             = "retry budget"
	invariantPlannedStopLosesNothing = "planned stop loses nothing"
	invariantRecovery                = "service after the faults"
	invariantDeadline                = "answer by the deadline"
	invariantPlannedStopInTime       = "planned stop in time"
	invariantChangeArrives           = "change arrives after the faults"
)

const (
	// leaveGracePeriod is how long an upstream may still get requests after the store has confirmed that it leaves.
	leaveGracePeriod = 2 * time.Second
	// configApplyTime is how long a change of the configuration may take to apply at all entries.
	configApplyTime = 2 * time.Second
	// Within retryBudgetWindow, upstreams may receive retryBudgetRatio further attempts for each request, and
	// retryBudgetBurst besides. Both match the retries settings of the entries.
	retryBudgetWindow = 10 * time.Second
	retryBudgetRatio  = 0.9
	retryBudgetBurst  = 56
	// deadlineSlack is how long after its deadline a call may end.
	deadlineSlack = 500 * time.Millisecond
)

// invariantResult counts the checks of one invariant and keeps its first violation.
type invariantResult struct {
	checks, violations int
	firstViolation     string
}

// check counts one check of an invariant and logs its violation unless ok.
func (s *soak) check(invariant string, ok bool, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results[invariant]
	if r == nil {
		r = &invariantResult{}
		s.results[invariant] = r
	}
	r.checks++
	if ok {
		return
	}
	r.violations++
	text := fmt.Sprintf("%.3f s: ", time.Since(s.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	if r.firstViolation == "" {
		r.firstViolation = text
	}
	s.events = append(s.events, "BROKEN "+invariant+": "+text)
}

// record checks the duration of an undisturbed call and keeps the call for the checks after the run.
func (s *soak) record(c *call) {
	if c.undisturbed && c.connected {
		_, deadline := c.terms()
		late := c.endedAt.Sub(c.sentAt) > deadline+deadlineSlack
		s.check(invariantDeadline, !late, "%s: %v, status %d, error %v", c.id, c.endedAt.Sub(c.sentAt), c.status, c.err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

// checkRun makes the checks that need the calls and executions of the whole run.
func (s *soak) checkRun() {
	runs := s.log.Runs()
	byID := map[string][]standin.Run{}
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for _, c := range s.calls {
		runsOfCall := byID[c.id]
		if c.kind == standin.NonIdempotent {
			s.check(invariantAtMostOnce, len(runsOfCall) <= 1, "%s ran %d times: %+v", c.id, len(runsOfCall), runsOfCall)
		}
		switch c.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			s.check(invariantRefusedNotRun, c.kind != standin.NonIdempotent || len(runsOfCall) == 0, "%s got %d and ran at %+v",
				c.id, c.status, runsOfCall)
		}
		for _, r := range runsOfCall {
			s.check(invariantOwnAccount, r.Account == c.account, "%s of %s ran for %s", c.id, c.account, r.Account)
		}
		s.checkPlannedStops(c, runsOfCall)
		s.checkLost(c, runsOfCall)
	}
	s.checkVersions(runs)
	s.checkLeavingUpstreams(runs)
	s.checkWithdrawnKeys(runs)
	s.checkRetryBudget()
	s.checkAnnounced()
	s.checkFatalPart()
	s.checkFatalRequest()
	s.checkLimits()
	s.checkEvacuations()
	s.checkCold()
}

// checkPlannedStops checks that a planned stop without other faults breaks off no request that an upstream has begun to run.
func (s *soak) checkPlannedStops(c *call, runs []standin.Run) {
	ran := len(runs) > 0
	// The operator may have set a shorter timeout than the deadline, and a request that reaches it may end. A slow stream may take longer than a stop.
	if limit := s.timeLimit(c); c.slow || limit < callerDeadline && c.endedAt.Sub(c.sentAt) > limit-deadlineLead {
		return
	}
	for _, p := range s.plannedStops {
		if p.entry != c.entry || c.sentAt.Before(p.at.Add(-callerDeadline)) || c.sentAt.After(p.at.Add(shutdownTimeout)) ||
			c.endedAt.Before(p.at) || !s.undisturbedBetween(c.sentAt.Add(-time.Second), c.endedAt, c.entry) || s.ranAtCrash(c, runs) {
			continue
		}
		s.check(invariantPlannedStopLosesNothing, c.complete || !ran, "%s was sent %v after the stop of %s: status %d, error %v",
			c.id, c.sentAt.Sub(p.at), c.entry.name, c.status, c.err)
	}
}

// checkVersions checks that a version gets no requests 5 s after it was rolled back, and that sessions do not return to an older
// version.
func (s *soak) checkVersions(runs []standin.Run) {
	last := map[string]standin.Run{}
	reversions := 0
	for _, r := range runs {
		for _, o := range s.rollOuts {
			if r.Version == o.version && o.state == "rolled_back" && r.At.After(o.endedAt.Add(5*time.Second)) &&
				s.undisturbedBetween(o.endedAt, r.At, nil) {
				s.check(invariantAllowedVersion, false, "%s ran on %s at %v after its rollback", r.ID, r.Version, r.At.Sub(o.endedAt))
			}
		}
		s.check(invariantAllowedVersion, s.versions[r.Version], "%s ran on %q", r.ID, r.Version)
		if r.Session == "" {
			continue
		}
		if previous, ok := last[r.Session]; ok && previous.Version > r.Version && !s.mayBeRolledBack(previous.Version) &&
			s.undisturbedBetween(previous.At, r.At, nil) {
			reversions++
		}
		last[r.Session] = r
	}
	// The users' requirements allow three reversions a day.
	s.check(invariantSessionVersion, reversions <= 3, "%d runs of sessions went back to an older version", reversions)
}

// mayBeRolledBack reports whether the roll-out of a version has not succeeded, or not yet.
func (s *soak) mayBeRolledBack(version string) bool {
	for _, o := range s.rollOuts {
		if o.version == version && o.state != "succeeded" {
			return true
		}
	}
	return false
}

// checkLeavingUpstreams checks that an upstream gets no requests once leaveGracePeriod has passed after it left.
func (s *soak) checkLeavingUpstreams(runs []standin.Run) {
	for _, l := range s.leavingUpstreams {
		if !s.undisturbedBetween(l.at.Add(-time.Second), l.at.Add(leaveGracePeriod), nil) {
			continue
		}
		for _, r := range runs {
			if r.Upstream == l.name && r.Start == l.start {
				s.check(invariantLeavingUpstream, r.At.Before(l.at.Add(leaveGracePeriod)), "%s ran at %s %v after it left",
					r.ID, l.name, r.At.Sub(l.at))
			}
		}
	}
}

// checkWithdrawnKeys checks that a withdrawn key admits no requests once configApplyTime has passed.
func (s *soak) checkWithdrawnKeys(runs []standin.Run) {
	for _, v := range s.withdrawnKeys {
		if !s.undisturbedBetween(v.at.Add(-time.Second), v.at.Add(configApplyTime), nil) {
			continue
		}
		for _, r := range runs {
			if r.Account == v.name && r.At.Before(v.until) {
				s.check(invariantWithdrawnKey, r.At.Before(v.at.Add(configApplyTime)), "%s of %s ran %v after its key was withdrawn",
					r.ID, v.name, r.At.Sub(v.at))
			}
		}
	}
}

// checkRetryBudget checks the attempts that arrive at upstreams against the requests of callers in sliding windows. It allows for
// the window of up to retryBudgetWindow earlier with the most requests, because an attempt may follow its request late.
func (s *soak) checkRetryBudget() {
	arrivals := make([]time.Time, 0, len(s.calls))
	for _, a := range s.log.Arrivals() {
		arrivals = append(arrivals, a.At)
	}
	sent := make([]time.Time, 0, len(s.calls))
	for _, c := range s.calls {
		sent = append(sent, c.sentAt)
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
	sort.Slice(sent, func(i, j int) bool { return sent[i].Before(sent[j]) })
	count := func(list []time.Time, from, to time.Time) int {
		first := sort.Search(len(list), func(i int) bool { return !list[i].Before(from) })
		end := sort.Search(len(list), func(i int) bool { return !list[i].Before(to) })
		return end - first
	}
	for at := s.startedAt; at.Before(time.Now()); at = at.Add(time.Second) {
		requests := 0
		for _, shift := range []time.Duration{0, retryBudgetWindow / 2, retryBudgetWindow} {
			requests = max(requests, count(sent, at.Add(-shift), at.Add(retryBudgetWindow-shift)))
		}
		n := count(arrivals, at, at.Add(retryBudgetWindow))
		s.check(invariantRetryBudget, float64(n) <= (1+retryBudgetRatio)*float64(requests)+retryBudgetBurst,
			"%d arrivals for %d requests", n, requests)
	}
}
