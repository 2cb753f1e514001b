package promoter

import (
	"fmt"
	"maps"
	"math"
	"time"
)

const (
	// minBadAnswers is the number of failures on a route from which a version can be bad.
	minBadAnswers = 5
	// maxBadShare is the share of failures that a version may have beyond twice that of the former version.
	maxBadShare = 0.15
	// minBadTimes is the number of times of a version from which it can be bad.
	minBadTimes = 8
	// minTimedAnswers is the number of answers of the former version on a route from which times are compared with them.
	minTimedAnswers = 12
	// minMedianAnswers is the number of answers on a route from which the median of all times of a version is compared with that of
	// the former version, whose load may have been different.
	minMedianAnswers = 30
	// maxMedianRatio is the ratio to the median of the former version from which a version is too slow. By the operators'
	// definition a version is bad if it is several times slower.
	maxMedianRatio = 2.5
	// minSlowMedian is the median below which a version is never too slow, because single steps of the engine dominate the time.
	minSlowMedian = 25 * time.Millisecond
)

// The phases of a roll-out in which the times of both versions are compared.
const (
	canaryPhase = iota
	growthPhase
	comparedPhases
)

// VersionCounts counts the attempts and answers of one version on one route.
type VersionCounts struct {
	// Started counts the attempts, also those that have not ended.
	Started     int64 `json:"started"`
	GoodAnswers int64 `json:"good"`
	BadAnswers  int64 `json:"bad"`
	// Speeds holds the times of the attempts that began during the canary and during the growth of the exposure, by model: times
	// are compared only with those of the same phase. LaterSpeed holds those of the other attempts.
	Speeds     [comparedPhases]map[string]Speed `json:"speeds"`
	LaterSpeed Speed                            `json:"later-speed"`
}

// changeSpeed changes the times to which an attempt belongs.
func (c *VersionCounts) changeSpeed(a *pendingAttempt, change func(*Speed)) {
	if a.phase >= comparedPhases {
		change(&c.LaterSpeed)
		return
	}
	if c.Speeds[a.phase] == nil {
		c.Speeds[a.phase] = map[string]Speed{}
	}
	s := c.Speeds[a.phase][a.model]
	change(&s)
	c.Speeds[a.phase][a.model] = s
}

func (c *VersionCounts) merge(o VersionCounts) {
	c.Started += o.Started
	c.GoodAnswers += o.GoodAnswers
	c.BadAnswers += o.BadAnswers
	c.LaterSpeed.merge(o.LaterSpeed)
	for phase := range c.Speeds {
		speeds := make(map[string]Speed, max(len(c.Speeds[phase]), len(o.Speeds[phase])))
		for _, m := range []map[string]Speed{c.Speeds[phase], o.Speeds[phase]} {
			for model, s := range m {
				x := speeds[model]
				x.merge(s)
				speeds[model] = x
			}
		}
		c.Speeds[phase] = speeds
	}
}

// phaseSpeed returns the times of all models in a phase.
func (c *VersionCounts) phaseSpeed(phase int) Speed {
	var sum Speed
	for s := range maps.Values(c.Speeds[phase]) {
		sum.merge(s)
	}
	return sum
}

// comparedResponses returns the times to the response of all phases in which both versions got requests.
func (c *VersionCounts) comparedResponses() Histogram {
	var sum Histogram
	for phase := range c.Speeds {
		s := c.phaseSpeed(phase)
		sum = sum.merge(s.Response.Known)
	}
	return sum
}

// tallySums is the sum of the tallies of all entries; exposure is the smallest one.
type tallySums struct {
	candidate, stable map[string]VersionCounts
	active            int64
	exposure          float64
}

func cloneCounts(m map[string]VersionCounts) map[string]VersionCounts {
	c := make(map[string]VersionCounts, len(m))
	mergeCounts(c, m)
	return c
}

func mergeCounts(to, from map[string]VersionCounts) {
	for route, c := range from {
		x := to[route]
		x.merge(c)
		to[route] = x
	}
}

func sumRoutes(m map[string]VersionCounts) VersionCounts {
	var sum VersionCounts
	for c := range maps.Values(m) {
		sum.merge(c)
	}
	return sum
}

// scopeAll is the scope of a comparison of all routes together.
const scopeAll = "all routes"

// findRegression reports whether the candidate is bad on one route or on all together, and why.
func findRegression(candidate, stable map[string]VersionCounts, evidence []speedEvidence) (string, bool) {
	for i := range evidence {
		e, limit := &evidence[i], maxBadOdds
		if e.scope != scopeAll {
			limit = maxRouteBadOdds
		}
		if e.times >= minBadTimes && e.badOdds >= math.Log(limit) {
			return e.String(), true
		}
	}
	candidateTotal, stableTotal := sumRoutes(candidate), sumRoutes(stable)
	if reason, bad := compareRoute(scopeAll, candidateTotal, stableTotal); bad {
		return reason, true
	}
	for route, c := range candidate {
		if reason, bad := compareRoute(route, c, stable[route]); bad {
			return reason, true
		}
	}
	return "", false
}

// compareRoute reports whether the candidate fails more or is slower than the former version on a route, and why.
func compareRoute(route string, candidate, stable VersionCounts) (string, bool) {
	if candidate.BadAnswers >= minBadAnswers {
		share := float64(candidate.BadAnswers) / float64(candidate.GoodAnswers+candidate.BadAnswers)
		stableShare := 0.0
		if n := stable.GoodAnswers + stable.BadAnswers; n > 0 {
			stableShare = float64(stable.BadAnswers) / float64(n)
		}
		if share > maxBadShare+2*stableShare {
			return fmt.Sprintf("%s: %d of %d failed, before %.3f", route, candidate.BadAnswers,
				candidate.GoodAnswers+candidate.BadAnswers, stableShare), true
		}
	}
	median, timed := candidate.comparedResponses().merge(candidate.LaterSpeed.Response.Known).median()
	stableMedian, stableTimed := stable.comparedResponses().median()
	if timed >= minMedianAnswers && stableTimed >= minTimedAnswers && median >= minSlowMedian &&
		float64(median) >= maxMedianRatio*float64(stableMedian) {
		return fmt.Sprintf("%s: median %v, before %v", route, median, stableMedian), true
	}
	return "", false
}
