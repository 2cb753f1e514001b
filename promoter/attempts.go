package promoter

import "time"

// pendingAttempt is an attempt in progress.
type pendingAttempt struct {
	candidate    bool
	route, model string
	// phase is that of the start of the attempt, comparedPhases if the new version got all requests.
	phase               int
	beganAt, responseAt time.Time
	paced               bool
}

// addAge adds the age of an attempt whose next step is still open.
func (a *pendingAttempt) addAge(s *Speed, now time.Time) {
	switch {
	case a.responseAt.IsZero():
		s.Response.AtLeast = s.Response.AtLeast.add(now.Sub(a.beganAt))
	case !a.paced:
		s.Pace.AtLeast = s.Pace.AtLeast.add(now.Sub(a.responseAt))
	}
}

// counts returns the counts of one version by route; t.mu is held.
func (t *TimedRollout) counts(candidate bool) map[string]VersionCounts {
	if candidate {
		return t.tally.Candidate
	}
	return t.tally.Stable
}

// BeginAttempt records the start of an attempt with a model on a route.
func (t *TimedRollout) BeginAttempt(id uint64, candidate bool, route, model string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	phase := canaryPhase
	switch {
	case t.exposure >= 1:
		phase = comparedPhases
	case t.exposure > t.canaryExposure:
		phase = growthPhase
	}
	t.pending[id] = &pendingAttempt{candidate: candidate, route: route, model: model, phase: phase, beganAt: now}
	counts := t.counts(candidate)
	c := counts[route]
	c.Started++
	counts[route] = c
}

// AddResponse records the time to the response or to the first event of a stream.
func (t *TimedRollout) AddResponse(id uint64, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.pending[id]
	if a == nil || !a.responseAt.IsZero() {
		return
	}
	a.responseAt = now
	t.changeSpeed(a, func(s *Speed) { s.Response.Known = s.Response.Known.add(d) })
}

// AddPace records the time that the next events of a stream took.
func (t *TimedRollout) AddPace(id uint64, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.pending[id]
	if a == nil || a.paced {
		return
	}
	a.paced = true
	t.changeSpeed(a, func(s *Speed) { s.Pace.Known = s.Pace.Known.add(d) })
}

// AddAnswer records the answer to an attempt.
func (t *TimedRollout) AddAnswer(id uint64, candidate bool, route string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts(candidate)
	c := counts[route]
	if failed {
		c.BadAnswers++
	} else {
		c.GoodAnswers++
	}
	counts[route] = c
	// The failure counts against the version, so the time until then does not, and an answered attempt has no open step.
	delete(t.pending, id)
}

// EndAttempt records the end of an attempt. If it has no answer, for instance because its caller has left, it took at least the
// time until now.
func (t *TimedRollout) EndAttempt(id uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.pending[id]; a != nil {
		t.changeSpeed(a, func(s *Speed) { a.addAge(s, now) })
		delete(t.pending, id)
	}
}

// changeSpeed changes the times to which an attempt belongs; t.mu is held.
func (t *TimedRollout) changeSpeed(a *pendingAttempt, change func(*Speed)) {
	counts := t.counts(a.candidate)
	c := counts[a.route]
	c.changeSpeed(a, change)
	counts[a.route] = c
}

// currentCounts returns the counts of both versions with the ages of the attempts in progress; t.mu is held.
func (t *TimedRollout) currentCounts(now time.Time) (candidate, stable map[string]VersionCounts) {
	candidate, stable = cloneCounts(t.tally.Candidate), cloneCounts(t.tally.Stable)
	for _, a := range t.pending {
		counts := stable
		if a.candidate {
			counts = candidate
		}
		c := counts[a.route]
		c.changeSpeed(a, func(s *Speed) { a.addAge(s, now) })
		counts[a.route] = c
	}
	return candidate, stable
}
