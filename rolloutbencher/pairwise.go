package rolloutbencher

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// formerMinMeanWeight is the weight of a new pair in the means that decide the bet, so that the bet adapts within about 40
	// pairs.
	formerMinMeanWeight = 0.023
	// formerMaxBet bounds the bet, so that the wealth stays positive after the worst pair.
	formerMaxBet = 0.5
	// formerRestartPairs is the number of pairs after which another wealth process starts. Evidence against a version that turns
	// bad late then need not first make up for what earlier processes lost.
	formerRestartPairs = 100
	// formerMaxProcesses bounds the memory. The process with the least weighted wealth is replaced, which can only lower the
	// evidence, so the bound on false rollbacks still holds.
	formerMaxProcesses = 24
)

// sideMean accumulates the values of one version since the last pair.
type sideMean struct{ sum, count float64 }

// pairComparison compares both versions by pairs of means: a pair is complete once each version has a value. Side 0 is the
// serving version, side 1 the candidate.
type pairComparison struct {
	sides    [2]sideMean
	evidence pairEvidence
}

// add adds a value of one side and reports whether it completed a pair.
func (c *pairComparison) add(side int, value float64, latency bool) bool {
	c.sides[side].sum += value
	c.sides[side].count++
	if c.sides[0].count == 0 || c.sides[1].count == 0 {
		return false
	}
	d := c.sides[0].sum/c.sides[0].count - c.sides[1].sum/c.sides[1].count
	if latency {
		d = math.Trunc(min(max(d/math.Log(maxLatencyRatio), -1), 1))
	}
	c.evidence.add(d)
	c.sides = [2]sideMean{}
	return true
}

// formerPromoter is the algorithm of an earlier promoter, for one work kind: it compares pairs of means and never lowers the
// exposure.
type formerPromoter struct {
	now         func() time.Time
	since       time.Time
	exposure    float64
	pairs       int
	comparisons [3]pairComparison
}

func newFormerPromoter(now func() time.Time) (observe func(promoter.Observation), decide func(*configurer.Configuration) []promoter.Change) {
	f := &formerPromoter{now: now, since: now()}
	for i, tolerance := range []float64{0.02, 0.01, 0.1} {
		f.comparisons[i].evidence.tolerance = tolerance
	}
	return f.observe, f.decide
}

func (f *formerPromoter) observe(o promoter.Observation) {
	side := 0
	if o.Target == candidate {
		side = 1
	}
	if o.Rated && f.comparisons[0].add(side, o.Rating, false) {
		f.pairs++
	}
	if o.Ended {
		failed := 0.0
		if o.Failed {
			failed = 1
		}
		f.comparisons[1].add(side, -failed, false)
	}
	if o.Latency > 0 {
		f.comparisons[2].add(side, -math.Log(o.Latency.Seconds()), true)
	}
}

func (f *formerPromoter) decide(cfg *configurer.Configuration) []promoter.Change {
	v := &cfg.Models[0].Versions[1]
	if v.State != configurer.VersionCandidate {
		return nil
	}
	if v.Exposure != f.exposure {
		f.exposure, f.since, f.pairs = v.Exposure, f.now(), 0
	}
	value := 0.0
	for i := range f.comparisons {
		value += f.comparisons[i].evidence.value() / float64(len(f.comparisons))
	}
	if value >= 200 {
		return []promoter.Change{{Target: candidate, State: configurer.VersionWithdrawn}}
	}
	if value > 4 {
		return nil
	}
	age := f.now().Sub(f.since)
	exposures, pairs := []float64{0, 0.02, 0.1, 0.5, 0.9}, []int{0, 50, 100, 200}
	for i, n := range pairs {
		if v.Exposure == exposures[i] && f.pairs >= n && (i == 0 || age >= 10*time.Minute) {
			return []promoter.Change{{Target: candidate, State: configurer.VersionCandidate, Exposure: exposures[i+1]}}
		}
	}
	if v.Exposure == exposures[4] && f.pairs >= 200 && age >= 24*time.Hour {
		return []promoter.Change{{Target: candidate, State: configurer.VersionServing, Exposure: 1}}
	}
	return nil
}

// process is one wealth process, which bets that the mean difference is above the tolerance, and its weight in the mixture.
type process struct{ wealth, weight float64 }

// pairEvidence is an always-valid one-sided test of E[difference] <= tolerance for differences from -1 to 1. Its value is a
// mixture, with weights that sum to at most 1, of wealth processes that start one after another. Each is a non-negative
// supermartingale under the hypothesis, so the probability that the value ever reaches 1/alpha is at most alpha.
type pairEvidence struct {
	tolerance float64
	pairs     int
	processes []process
	// mean and square are the exponentially weighted means of the differences and of their squares; they only decide the next
	// bet.
	mean, square float64
}

// add updates the wealth of all processes with one difference, and then the means for the next bet.
func (e *pairEvidence) add(difference float64) {
	d := min(max(difference, -1), 1) - e.tolerance
	if e.pairs%formerRestartPairs == 0 {
		k := float64(e.pairs / formerRestartPairs)
		e.start(1 / ((k + 1) * (k + 2)))
	}
	bet := 0.0
	if e.pairs > 0 {
		bet = min(max(e.mean/(e.square+1e-6), 0), formerMaxBet)
	}
	factor := 1 + bet*d
	for i := range e.processes {
		e.processes[i].wealth *= factor
	}
	e.pairs++
	// The first pairs weigh more, so that the bet does not depend on the arbitrary initial mean.
	rate := max(formerMinMeanWeight, 1/float64(e.pairs+4))
	e.mean += rate * (d - e.mean)
	e.square += rate * (d*d - e.square)
}

// start adds a process with the given weight.
func (e *pairEvidence) start(weight float64) {
	if len(e.processes) >= formerMaxProcesses {
		least := 0
		for i := range e.processes {
			if e.processes[i].wealth*e.processes[i].weight < e.processes[least].wealth*e.processes[least].weight {
				least = i
			}
		}
		e.processes[least] = process{1, weight}
		return
	}
	e.processes = append(e.processes, process{1, weight})
}

// value returns the evidence against the hypothesis; processes that have not started count as 0.
func (e *pairEvidence) value() float64 {
	sum := 0.0
	for _, p := range e.processes {
		sum += p.weight * p.wealth
	}
	return sum
}
