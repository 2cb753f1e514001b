package promoter

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// reactionTime is how long a bad version still gets requests at an exposure after its evidence has been seen: until the
	// tallies and the verdict have reached all entries.
	reactionTime = 2 * time.Second
	// minElapsedForRate is the elapsed fraction of a roll-out from which its requests are extrapolated to the deadline.
	minElapsedForRate = 0.25
	// evidenceTime is the time at an exposure that suffices to find a bad version.
	evidenceTime = 4 * time.Second
	// maxGrowthOdds are the odds for a bad version above which exposure does not grow.
	maxGrowthOdds = 20
	// badFailureShare is the share of failures of a bad version beyond that of the former version.
	badFailureShare     = 0.3
	maxEvidenceInReason = 3
)

// exposureSteps are the exposures after the canary, each from an elapsed fraction of the roll-out's duration. Sessions may change
// to the new version only in the second half. The pauses between the steps reveal a version that is bad only under load while
// few requests are affected.
var exposureSteps = []struct{ fromElapsed, exposure float64 }{{0.51, 0.2}, {0.53, 0.45}, {0.56, 1}}

// growth decides on the exposure of a roll-out that shows no regression.
type growth struct {
	// elapsed is the fraction of the roll-out's duration.
	elapsed  float64
	duration time.Duration
	bound    ExposureBound
	// candidate and stable are the counts of both versions on all routes.
	candidate, stable VersionCounts
	evidence          []speedEvidence
}

// requests returns the expected number of requests of the service until the deadline.
func (g *growth) requests() float64 {
	return float64(g.candidate.Started+g.stable.Started) / min(max(g.elapsed, minElapsedForRate), 1)
}

// limit returns the number of requests that a bad version may get.
func (g *growth) limit() float64 { return g.bound.Share*g.requests() + g.bound.Slack }

// worstCase returns the number of requests that a bad version has got if it is found bad after a time at an exposure, with two
// standard deviations of the number still to come.
func (g *growth) worstCase(exposure float64, d time.Duration) float64 {
	elapsed := min(d.Seconds()/g.duration.Seconds(), max(1-g.elapsed, 0))
	more := exposure * g.requests() * elapsed
	return float64(g.candidate.Started) + more + 2*math.Sqrt(more)
}

// asFast reports whether it is refuted that the version is several times slower or fails often, and no step and no route with
// enough answers leaves odds above a limit for a slow one.
func (g *growth) asFast(maxOdds float64) bool {
	if len(g.evidence) == 0 || g.looksBad() || g.failureOdds() > refutedOdds || g.evidence[0].maxSlowOdds > math.Log(refutedOdds) {
		return false
	}
	for i := range g.evidence {
		e := &g.evidence[i]
		if (e.scope == scopeAll || e.step == bothSteps && e.times >= 2*minTimedAnswers) && e.slowOdds > math.Log(maxOdds) {
			return false
		}
	}
	return true
}

// looksBad reports whether the times or failures are likelier for a bad version.
func (g *growth) looksBad() bool {
	for i := range g.evidence {
		if g.evidence[i].badOdds > math.Log(maxGrowthOdds) {
			return true
		}
	}
	return g.failureOdds() > maxGrowthOdds
}

// failureOdds returns the odds for a version that fails more often than the former one by badFailureShare.
func (g *growth) failureOdds() float64 {
	usual := (float64(g.stable.BadAnswers) + 1) / (float64(g.stable.GoodAnswers+g.stable.BadAnswers) + 20)
	bad := min(usual+badFailureShare, 0.95)
	return math.Pow(bad/usual, float64(g.candidate.BadAnswers)) * math.Pow((1-bad)/(1-usual), float64(g.candidate.GoodAnswers))
}

// isUsedUp reports whether at the present exposure the version has got as many requests as a bad one may get.
func (g *growth) isUsedUp(present float64) bool {
	return present < 1 && g.worstCase(present, reactionTime) > g.limit()
}

// decide returns the exposure after the present one, or bad if the version has got as many requests as a bad one may get and may
// be one. A version that is not known to be as fast as before gets a larger exposure only if a bad one would still stay within
// the bound after evidenceTime.
func (g *growth) decide(present float64) (exposure float64, bad bool) {
	maxOdds := maxStepOdds
	if g.isUsedUp(present) {
		maxOdds = maxFinalOdds
		if !g.asFast(maxOdds) {
			return present, true
		}
	}
	needed := int64(minGoodAnswers)
	asFast, looksBad := g.asFast(maxOdds), g.looksBad()
	for _, s := range exposureSteps {
		horizon := evidenceTime
		if s.exposure >= 1 {
			horizon = g.duration
		}
		known := asFast && g.candidate.GoodAnswers >= needed
		if g.elapsed < s.fromElapsed || !known && (looksBad || g.worstCase(s.exposure, horizon) >= g.limit()) {
			break
		}
		present = max(present, s.exposure)
		needed += minGoodAnswers
	}
	return present, false
}

// String returns what a decision is based on, with the most adverse evidence.
func (g *growth) String() string {
	parts := make([]string, 0, 1+maxEvidenceInReason)
	parts = append(parts, fmt.Sprintf("%d of %d requests, limit %.0f at the deadline, %d failed", g.candidate.Started,
		g.candidate.Started+g.stable.Started, g.limit(), g.candidate.BadAnswers))
	evidence := slices.Clone(g.evidence)
	slices.SortStableFunc(evidence, func(a, b speedEvidence) int { return cmp.Compare(b.badOdds, a.badOdds) })
	for i := range evidence[:min(len(evidence), maxEvidenceInReason)] {
		parts = append(parts, evidence[i].String())
	}
	return strings.Join(parts, "; ")
}
