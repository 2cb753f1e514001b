package rolloutbencher

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// formerBetRate is the weight of one pair in the means that decide the bet, so that it adapts within about 40 pairs.
	formerBetRate = 0.023
	// formerMaxBet keeps the wealth positive after the worst pair.
	formerMaxBet = 0.5
	// formerRestartPairs is the number of pairs after which another process starts; a version that turns bad late then does not
	// have to win back what the earlier processes lost.
	formerRestartPairs = 100
	// formerMaxProcesses bounds the memory; the process with the least wealth is dropped, which only makes the test stricter.
	formerMaxProcesses = 24
)

// pairTally sums the values of one side since the last pair.
type pairTally struct{ sum, count float64 }

// pairComparison pairs the means of both sides.
type pairComparison struct {
	sides    [2]pairTally
	evidence pairEvidence
}

// add returns whether the value completed a pair.
func (c *pairComparison) add(side int, value float64, latency bool) bool {
	c.sides[side].sum += value
	c.sides[side].count++
	if c.sides[0].count == 0 || c.sides[1].count == 0 {
		return false
	}
	d := c.sides[0].sum/c.sides[0].count - c.sides[1].sum/c.sides[1].count
	if latency {
		d = math.Trunc(min(max(d/math.Log(slowRatio), -1), 1))
	}
	c.evidence.add(d)
	c.sides = [2]pairTally{}
	return true
}

// former is the earlier version of the promoter, for one kind: it pairs means and never lowers the exposure.
type former struct {
	now         func() time.Time
	since       time.Time
	exposure    float64
	pairs       int
	comparisons [3]pairComparison
}

func newFormer(now func() time.Time) (observe func(promoter.Observation), decide func(*configurer.Configuration) []promoter.Change) {
	f := &former{now: now, since: now()}
	for i, tolerance := range []float64{0.02, 0.01, 0.1} {
		f.comparisons[i].evidence.tolerance = tolerance
	}
	return f.observe, f.decide
}

func (f *former) observe(o promoter.Observation) {
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

func (f *former) decide(cfg *configurer.Configuration) []promoter.Change {
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

// process is one wealth process: a bet on the mean difference being above the tolerance.
type process struct{ wealth, weight float64 }

// pairEvidence is an always-valid one-sided test of E[difference] <= tolerance for differences from -1 to 1. Its value is a
// mixture, with weights that sum to at most 1, of wealth processes that start later and later. Each is a non-negative
// supermartingale under the hypothesis, so the probability that the value ever reaches 1/alpha is at most alpha.
type pairEvidence struct {
	tolerance float64
	pairs     int
	processes []process
	// mean and square are exponentially weighted, and decide the next bet only.
	mean, square float64
}

// add takes one difference.
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
	// The first pairs weigh more, so that the bet does not start from an arbitrary mean.
	rate := max(formerBetRate, 1/float64(e.pairs+4))
	e.mean += rate * (d - e.mean)
	e.square += rate * (d*d - e.square)
}

// start begins a process with the given weight.
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

// value returns the evidence against the hypothesis; the weight of processes that have not started counts as 0.
func (e *pairEvidence) value() float64 {
	sum := 0.0
	for _, p := range e.processes {
		sum += p.weight * p.wealth
	}
	return sum
}
