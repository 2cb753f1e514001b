package rolloutbencher

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/promoter"
)

// policy decides on the exposure of the candidate version.
type policy struct {
	name      string
	newPolicy func(now func() time.Time) (observe func(promoter.Observation), decide func(*configurer.Configuration) []promoter.Change)
}

func policies() []policy {
	return []policy{
		{"promoter", func(now func() time.Time) (func(promoter.Observation), func(*configurer.Configuration) []promoter.Change) {
			p := promoter.New(promoter.Chart(), promoter.WithNow(now))
			return p.Observe, p.Decide
		}},
		{"former promoter", newFormerPromoter},
		{"t-test each look", newScheduledRollout(func(a *scheduledRollout) bool {
			return significantlyWorse(&a.ratings, 1, 0) || significantlyWorse(&a.failures, -1, 0) || significantlyWorse(&a.latencies, -1, 0)
		})},
		{"threshold", newScheduledRollout(func(a *scheduledRollout) bool {
			return a.recentRatings.n >= 20 && a.recentRatings.mean < a.ratings[0].mean-maxDifference ||
				a.failures[1].n >= 20 && a.failures[1].mean > a.failures[0].mean+maxDifference ||
				a.latencies[1].n >= 20 && a.latencies[1].mean > maxLatencyRatio*a.latencies[0].mean
		})},
		{"fixed exposure 0.1", func(func() time.Time) (func(promoter.Observation), func(*configurer.Configuration) []promoter.Change) {
			return func(promoter.Observation) {}, func(cfg *configurer.Configuration) []promoter.Change {
				if cfg.Models[0].Versions[1].Exposure > 0 {
					return nil
				}
				return []promoter.Change{{Target: candidate, State: configurer.VersionCandidate, Exposure: 0.1}}
			}
		}},
	}
}

const (
	maxDifference   = 0.1
	maxLatencyRatio = 1.25
	// criticalT is the critical value of a two-sided test at the 1% level, which is right for one test at a fixed time.
	criticalT = 2.576
)

// runningStats is a running count, mean and sum of squared deviations. With n capped before each add, as for recent ratings, the
// mean discounts old values.
type runningStats struct{ n, mean, m2 float64 }

func (s *runningStats) add(v float64) {
	s.n++
	d := v - s.mean
	s.mean += d / s.n
	s.m2 += d * (v - s.mean)
}

// scheduledRollout raises the exposure in the stages of the promoter, with another test for bad versions.
type scheduledRollout struct {
	now                          func() time.Time
	since                        time.Time
	ratings, failures, latencies [2]runningStats
	recentRatings                runningStats
	isBad                        func(*scheduledRollout) bool
}

func newScheduledRollout(isBad func(*scheduledRollout) bool) func(func() time.Time) (func(promoter.Observation), func(*configurer.Configuration) []promoter.Change) {
	return func(now func() time.Time) (func(promoter.Observation), func(*configurer.Configuration) []promoter.Change) {
		a := &scheduledRollout{now: now, since: now(), isBad: isBad}
		return a.observe, a.decide
	}
}

func (a *scheduledRollout) observe(o promoter.Observation) {
	side := 0
	if o.Target == candidate {
		side = 1
	}
	if o.Rated {
		a.ratings[side].add(o.Rating)
		if side == 1 {
			a.recentRatings.n = min(a.recentRatings.n, 49)
			a.recentRatings.add(o.Rating)
		}
	}
	if o.Ended {
		failed := 0.0
		if o.Failed {
			failed = 1
		}
		a.failures[side].add(failed)
	}
	if o.Latency > 0 {
		a.latencies[side].add(o.Latency.Seconds())
	}
}

// significantlyWorse is Welch's t-test. The policy repeats it at each decision without correcting for the repetition.
func significantlyWorse(s *[2]runningStats, direction, tolerance float64) bool {
	if s[0].n < 20 || s[1].n < 20 {
		return false
	}
	variance := s[0].m2/(s[0].n-1)/s[0].n + s[1].m2/(s[1].n-1)/s[1].n
	return variance > 0 && (direction*(s[0].mean-s[1].mean)-tolerance)/math.Sqrt(variance) > criticalT
}

// decide raises the exposure after the numbers of ratings of the promoter's stages, so that the policies differ only in the test.
func (a *scheduledRollout) decide(cfg *configurer.Configuration) []promoter.Change {
	v := &cfg.Models[0].Versions[1]
	if v.State != configurer.VersionCandidate {
		return nil
	}
	if a.isBad(a) {
		return []promoter.Change{{Target: candidate, State: configurer.VersionWithdrawn}}
	}
	exposures, ratings := []float64{0, 0.02, 0.1, 0.5, 0.9}, []float64{0, 50, 150, 350}
	for i, n := range ratings {
		if v.Exposure == exposures[i] && a.ratings[1].n >= n {
			a.since = a.now()
			return []promoter.Change{{Target: candidate, State: configurer.VersionCandidate, Exposure: exposures[i+1]}}
		}
	}
	if v.Exposure == exposures[4] && a.now().Sub(a.since) >= 24*time.Hour {
		return []promoter.Change{{Target: candidate, State: configurer.VersionServing, Exposure: 1}}
	}
	return nil
}
