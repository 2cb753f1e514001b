package rolloutbencher

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/promoter"
)

// policy decides on the exposure of the candidate version of the experiment.
type policy struct {
	name string
	make func(now func() time.Time) (observe func(promoter.Observation), decide func(*configurer.Configuration) []promoter.Change)
}

func policies() []policy {
	return []policy{
		{"promoter", func(now func() time.Time) (func(promoter.Observation), func(*configurer.Configuration) []promoter.Change) {
			p := promoter.New(promoter.Chart(), promoter.WithNow(now))
			return p.Observe, p.Decide
		}},
		{"former promoter", newFormer},
		{"t-test each look", newAlternative(func(a *alternative) bool {
			return worse(&a.ratings, 1, 0) || worse(&a.failures, -1, 0) || worse(&a.latencies, -1, 0)
		})},
		{"threshold", newAlternative(func(a *alternative) bool {
			return a.recent.n >= 20 && a.recent.mean < a.ratings[0].mean-thresholdDrop ||
				a.failures[1].n >= 20 && a.failures[1].mean > a.failures[0].mean+thresholdDrop ||
				a.latencies[1].n >= 20 && a.latencies[1].mean > slowRatio*a.latencies[0].mean
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
	thresholdDrop = 0.1
	slowRatio     = 1.25
	// criticalT is the two-sided 1% quantile that a test at a fixed horizon would use.
	criticalT = 2.576
)

// sample is a running mean and variance; the mean of the recent ones forgets.
type sample struct{ n, mean, m2 float64 }

func (s *sample) add(v float64) {
	s.n++
	d := v - s.mean
	s.mean += d / s.n
	s.m2 += d * (v - s.mean)
}

// alternative runs the stages of the promoter on a schedule with another test.
type alternative struct {
	now                          func() time.Time
	since                        time.Time
	ratings, failures, latencies [2]sample
	recent                       sample
	bad                          func(*alternative) bool
}

func newAlternative(bad func(*alternative) bool) func(func() time.Time) (func(promoter.Observation), func(*configurer.Configuration) []promoter.Change) {
	return func(now func() time.Time) (func(promoter.Observation), func(*configurer.Configuration) []promoter.Change) {
		a := &alternative{now: now, since: now(), bad: bad}
		return a.observe, a.decide
	}
}

func (a *alternative) observe(o promoter.Observation) {
	side := 0
	if o.Target == candidate {
		side = 1
	}
	if o.Rated {
		a.ratings[side].add(o.Rating)
		if side == 1 {
			a.recent.n = min(a.recent.n, 49)
			a.recent.add(o.Rating)
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

// worse is Welch's test, repeated at each look as if it were the only one.
func worse(s *[2]sample, direction, tolerance float64) bool {
	if s[0].n < 20 || s[1].n < 20 {
		return false
	}
	variance := s[0].m2/(s[0].n-1)/s[0].n + s[1].m2/(s[1].n-1)/s[1].n
	return variance > 0 && (direction*(s[0].mean-s[1].mean)-tolerance)/math.Sqrt(variance) > criticalT
}

// decide grows the exposure with the number of ratings of the promoter's stages, so that only the tests differ.
func (a *alternative) decide(cfg *configurer.Configuration) []promoter.Change {
	v := &cfg.Models[0].Versions[1]
	if v.State != configurer.VersionCandidate {
		return nil
	}
	if a.bad(a) {
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
