package promoter

import (
	"fmt"
	"math"
	"slices"
)

const (
	// outlierShare is the share of times that are taken to be of any length, whatever the version. It bounds the evidence of one
	// time.
	outlierShare = 0.05
	// poolWeight is the number of times of all models of a route that are added to those of one model, and of all phases that
	// are added to those of one phase.
	poolWeight = 8
	// maxBadOdds are the odds for a version several times slower against one that is not from which it is bad.
	maxBadOdds = 100.0
	// maxRouteBadOdds are those on one route, of which there are many.
	maxRouteBadOdds = 1000
	// slightlySlowerPrior is the prior probability of a version that is slower, but not several times.
	slightlySlowerPrior = 0.01
	// refutedOdds are the odds below which it is refuted that the version is several times slower. maxStepOdds are the odds that
	// it is slower in one step or on one route above which exposure does not grow, and maxFinalOdds those above which the version
	// is bad once its exposure is used up.
	refutedOdds  = 0.01
	maxStepOdds  = 0.3
	maxFinalOdds = 1
)

// slowdown is a hypothesis on a version: a share of its requests takes longer by a number of buckets.
type slowdown struct {
	share   float64
	buckets int
}

// slowdowns returns the hypotheses of a version that is several times slower: 3.4 to 58 times.
func slowdowns() []slowdown {
	shares, buckets := []float64{0.3, 0.6, 1}, []int{3, 4, 5, 6, 8, 10}
	s := make([]slowdown, 0, len(shares)*len(buckets))
	for _, share := range shares {
		for _, buckets := range buckets {
			s = append(s, slowdown{share, buckets})
		}
	}
	return s
}

// usualShifts are the differences, in buckets, of a version that is not several times slower: from 1.5 times faster to 1.5 times
// slower. The first fasterShifts of them are those of a version that is as fast as before.
var usualShifts = []int{0, -1, 1}

const fasterShifts = 2

// speedEvidence is what the times of a version show about one step of the requests on one route or on all.
type speedEvidence struct {
	// scope is a route or scopeAll.
	scope, step string
	// times is the number of times of the candidate.
	times int64
	// badOdds is the logarithm of the odds that the version is several times slower and not at most 1.5 times.
	badOdds float64
	// slowOdds is the logarithm of the odds that the version is several times slower and not as fast as before, and maxSlowOdds
	// that of the most likely slowdown.
	slowOdds, maxSlowOdds float64
}

func (e *speedEvidence) String() string {
	return fmt.Sprintf("%s of %s: odds of a bad version %.2g, of a slow one %.2g, at most %.2g, from %d times", e.step, e.scope,
		math.Exp(e.badOdds), math.Exp(e.slowOdds), math.Exp(e.maxSlowOdds), e.times)
}

// bothSteps names the evidence of both steps together.
const bothSteps = "response and pace"

// compareSpeed returns the evidence on both steps together, and on each step of all routes and of each route.
func compareSpeed(candidate, stable map[string]VersionCounts) []speedEvidence {
	steps := []struct {
		name  string
		times func(*Speed) *Times
	}{
		{"response", func(s *Speed) *Times { return &s.Response }},
		{"pace", func(s *Speed) *Times { return &s.Pace }},
	}
	both := newLikelihoods(scopeAll, bothSteps)
	all := make([]*likelihoods, 0, (1+len(steps))*(1+len(candidate)))
	all = append(all, both)
	totals := map[string]*likelihoods{}
	for _, step := range steps {
		totals[step.name] = newLikelihoods(scopeAll, step.name)
		all = append(all, totals[step.name])
	}
	for route, c := range candidate {
		former := stable[route]
		onRoute := newLikelihoods(route, bothSteps)
		all = append(all, onRoute)
		for _, step := range steps {
			l := newLikelihoods(route, step.name)
			l.addRoute(&c, &former, step.times)
			totals[step.name].merge(l)
			onRoute.merge(l)
			all = append(all, l)
		}
		both.merge(onRoute)
	}
	var evidence []speedEvidence
	for _, l := range all {
		if l.times > 0 {
			evidence = append(evidence, l.evidence())
		}
	}
	return evidence
}

// likelihoods are the logarithms of the likelihoods of the candidate's times, by hypothesis.
type likelihoods struct {
	scope, step string
	times       int64
	usual, slow []float64
}

func newLikelihoods(scope, step string) *likelihoods {
	return &likelihoods{scope: scope, step: step, usual: make([]float64, len(usualShifts)), slow: make([]float64, len(slowdowns()))}
}

func (l *likelihoods) merge(o *likelihoods) {
	l.times += o.times
	for i := range l.usual {
		l.usual[i] += o.usual[i]
	}
	for i := range l.slow {
		l.slow[i] += o.slow[i]
	}
}

// addRoute adds the times of one step on one route.
func (l *likelihoods) addRoute(candidate, stable *VersionCounts, times func(*Speed) *Times) {
	var pooled Times
	for phase := range stable.Speeds {
		s := stable.phaseSpeed(phase)
		pooled.merge(*times(&s))
	}
	if pooled.Known.count() < minTimedAnswers {
		return
	}
	prior := distributionOf(pooled, distribution{}, 0)
	for phase := range candidate.Speeds {
		for model, c := range candidate.Speeds[phase] {
			var former Times
			for p := range stable.Speeds {
				s := stable.Speeds[p][model]
				former.merge(*times(&s))
			}
			samePhase := stable.Speeds[phase][model]
			l.add(*times(&c), distributionOf(*times(&samePhase), distributionOf(former, prior, poolWeight), poolWeight))
		}
	}
}

// add adds times, given the distribution of those of the former version.
func (l *likelihoods) add(t Times, former distribution) {
	l.times += t.Known.count() + t.AtLeast.count()
	for i, shift := range usualShifts {
		l.usual[i] += former.mix(1, shift).logLikelihood(t)
	}
	for i, s := range slowdowns() {
		l.slow[i] += former.mix(s.share, s.buckets).logLikelihood(t)
	}
}

func (l *likelihoods) evidence() speedEvidence {
	most, sum := slices.Max(l.slow), 0.0
	for _, x := range l.slow {
		sum += math.Exp(x - most)
	}
	mean := most + math.Log(sum/float64(len(l.slow)))
	faster := slices.Max(l.usual[:fasterShifts])
	return speedEvidence{
		scope: l.scope, step: l.step, times: l.times,
		badOdds:  mean - max(faster, slices.Max(l.usual[fasterShifts:])+math.Log(slightlySlowerPrior)),
		slowOdds: mean - faster, maxSlowOdds: most - faster,
	}
}

// distribution holds the probability of each bucket.
type distribution [bucketCount]float64

// distributionOf returns the smoothed distribution of times, to which those of a prior are added with a weight. Requests that
// have not taken the step yet count as if they took it now, for both versions.
func distributionOf(t Times, prior distribution, weight float64) distribution {
	var d distribution
	sum := 0.0
	for _, h := range []Histogram{t.Known, t.AtLeast} {
		for i, n := range h {
			d[max(i-1, 0)] += float64(n) / 4
			d[i] += float64(n) / 2
			d[min(i+1, bucketCount-1)] += float64(n) / 4
			sum += float64(n)
		}
	}
	for i := range d {
		d[i] = (d[i] + weight*prior[i]) / (sum + weight)
	}
	return d
}

// mix returns the distribution if a share of the times is longer by some buckets.
func (d distribution) mix(share float64, buckets int) distribution {
	var m distribution
	for i, p := range d {
		m[i] += (1 - share) * p
		m[min(max(i+buckets, 0), bucketCount-1)] += share * p
	}
	for i := range m {
		m[i] = (1-outlierShare)*m[i] + outlierShare/bucketCount
	}
	return m
}

func (d distribution) logLikelihood(t Times) float64 {
	sum := 0.0
	for i, n := range t.Known {
		sum += float64(n) * math.Log(d[i])
	}
	tail := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		tail += d[i]
		if i < len(t.AtLeast) && t.AtLeast[i] > 0 {
			sum += float64(t.AtLeast[i]) * math.Log(min(tail, 1))
		}
	}
	return sum
}
