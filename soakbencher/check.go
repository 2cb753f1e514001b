package soakbencher

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// The promises that a soak checks.
const (
	promiseOwnAnswer  = "own answer, whole"
	promiseOnce       = "at most once"
	promiseRefusal    = "refusal says not run"
	promiseAccount    = "own account only"
	promiseVersion    = "allowed version only"
	promiseSession    = "session on its version"
	promiseDrain      = "leaving upstream gets nothing"
	promiseForward    = "configuration never backwards"
	promiseRevoked    = "withdrawn key gets nothing"
	promiseBudget     = "retry budget"
	promisePlanned    = "planned stop loses nothing"
	promiseRecovery   = "service after the faults"
	promiseDeadline   = "answer by the deadline"
	promiseGracefully = "planned stop in time"
)

const (
	// leaveTime is how long after the store's confirmation a leaving upstream may still get requests.
	leaveTime = 2 * time.Second
	// applyTime is how long a change of the configuration may take.
	applyTime = 2 * time.Second
	// budgetWindow, budgetRatio and budgetExtra bound the arrivals beyond the first of each request.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.9
	budgetExtra  = 56
	// deadlineSlack is how much later than the deadline an answer may come.
	deadlineSlack = 500 * time.Millisecond
)

// result counts the checks of one promise.
type result struct {
	checks, broken int
	first          string
}

// check counts one check and keeps the first failure.
func (s *soak) check(promise string, ok bool, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results[promise]
	if r == nil {
		r = &result{}
		s.results[promise] = r
	}
	r.checks++
	if ok {
		return
	}
	r.broken++
	text := fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	if r.first == "" {
		r.first = text
	}
	s.events = append(s.events, "BROKEN "+promise+": "+text)
}

// record keeps a call for the checks at the end.
func (s *soak) record(c *call) {
	if c.calm && c.connected {
		late := c.endedAt.Sub(c.sentAt) > callerDeadline+deadlineSlack
		s.check(promiseDeadline, !late, "%s: %v, status %d, error %v", c.id, c.endedAt.Sub(c.sentAt), c.status, c.err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

// judge makes the checks that need the whole run.
func (s *soak) judge() {
	runs := s.log.Runs()
	byID := map[string][]standin.Run{}
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for _, c := range s.calls {
		ran := byID[c.id]
		if c.kind == standin.NonIdempotent {
			s.check(promiseOnce, len(ran) <= 1, "%s ran %d times: %+v", c.id, len(ran), ran)
		}
		switch c.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			s.check(promiseRefusal, c.kind != standin.NonIdempotent || len(ran) == 0, "%s got %d and ran at %+v", c.id, c.status, ran)
		}
		for _, r := range ran {
			s.check(promiseAccount, r.Account == c.account, "%s of %s ran for %s", c.id, c.account, r.Account)
		}
		s.judgeStop(c, len(ran) > 0)
	}
	s.judgeVersions(runs)
	s.judgeLeaving(runs)
	s.judgeRevoked(runs)
	s.judgeBudget()
}

// judgeStop checks that a planned stop without other faults ends no request that an upstream has begun.
func (s *soak) judgeStop(c *call, ran bool) {
	for _, p := range s.stops {
		if p.entry != c.entry || c.sentAt.Before(p.at.Add(-callerDeadline)) || c.sentAt.After(p.at.Add(shutdownTime)) ||
			c.endedAt.Before(p.at) || !s.calmBetween(c.sentAt.Add(-time.Second), c.endedAt, c.entry) {
			continue
		}
		s.check(promisePlanned, c.whole || !ran, "%s was sent %v after the stop of %s: status %d, error %v", c.id, c.sentAt.Sub(p.at),
			c.entry.name, c.status, c.err)
	}
}

// judgeVersions checks that a version that was rolled back gets nothing, and that sessions do not go back.
func (s *soak) judgeVersions(runs []standin.Run) {
	last := map[string]standin.Run{}
	back := 0
	for _, r := range runs {
		for _, o := range s.orders {
			if r.Version == o.to && o.state == "rolled_back" && r.At.After(o.endedAt.Add(5*time.Second)) && s.calmBetween(o.endedAt, r.At, nil) {
				s.check(promiseVersion, false, "%s ran on %s at %v after its rollback", r.ID, r.Version, r.At.Sub(o.endedAt))
			}
		}
		s.check(promiseVersion, s.versions[r.Version], "%s ran on %q", r.ID, r.Version)
		if r.Session == "" {
			continue
		}
		if old, ok := last[r.Session]; ok && old.Version > r.Version && !s.rolledBack(old.Version) && s.calmBetween(old.At, r.At, nil) {
			back++
		}
		last[r.Session] = r
	}
	// The users allow three in a day.
	s.check(promiseSession, back <= 3, "%d runs of sessions went back to the former version", back)
}

func (s *soak) rolledBack(version string) bool {
	for _, o := range s.orders {
		if o.to == version && o.state != "succeeded" {
			return true
		}
	}
	return false
}

func (s *soak) judgeLeaving(runs []standin.Run) {
	for _, l := range s.leaving {
		if !s.calmBetween(l.at.Add(-time.Second), l.at.Add(leaveTime), nil) {
			continue
		}
		for _, r := range runs {
			if r.Upstream == l.name {
				s.check(promiseDrain, r.At.Before(l.at.Add(leaveTime)), "%s ran at %s %v after it left", r.ID, l.name, r.At.Sub(l.at))
			}
		}
	}
}

func (s *soak) judgeRevoked(runs []standin.Run) {
	for _, v := range s.revoked {
		if !s.calmBetween(v.at.Add(-time.Second), v.at.Add(applyTime), nil) {
			continue
		}
		for _, r := range runs {
			if r.Account == v.name && r.At.Before(v.until) {
				s.check(promiseRevoked, r.At.Before(v.at.Add(applyTime)), "%s of %s ran %v after its key was withdrawn", r.ID, v.name, r.At.Sub(v.at))
			}
		}
	}
}

// judgeBudget checks the arrivals beyond the first of each request in sliding windows.
func (s *soak) judgeBudget() {
	arrivals := s.log.Arrivals()
	sent := make([]time.Time, 0, len(s.calls))
	for _, c := range s.calls {
		sent = append(sent, c.sentAt)
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
	sort.Slice(sent, func(i, j int) bool { return sent[i].Before(sent[j]) })
	count := func(list []time.Time, from, to time.Time) int {
		a := sort.Search(len(list), func(i int) bool { return !list[i].Before(from) })
		b := sort.Search(len(list), func(i int) bool { return !list[i].Before(to) })
		return b - a
	}
	for at := s.began; at.Before(time.Now()); at = at.Add(time.Second) {
		requests := 0
		for _, shift := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			requests = max(requests, count(sent, at.Add(-shift), at.Add(budgetWindow-shift)))
		}
		n := count(arrivals, at, at.Add(budgetWindow))
		s.check(promiseBudget, float64(n) <= (1+budgetRatio)*float64(requests)+budgetExtra, "%d arrivals for %d requests", n, requests)
	}
}
