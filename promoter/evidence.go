package promoter

import (
	"math"
	"time"
)

const (
	// scales is the number of sizes of harm that are tested at once.
	scales = 3
	// firstWeight is the weight of the test that starts with the stream, and laterStarts the number of the tests that start
	// one restartTime after another, so that a version that turns bad late need not win back what earlier tests lost.
	firstWeight = 0.25
	laterStarts = 192
	restartTime = time.Hour
	// recentTime is the time between the starts of the recent tests. Starts by time, not by value, keep the rate of false
	// retreats the same at any traffic.
	recentTime = 10 * time.Minute
	// controlMemory and shareMemory are the numbers of values over which the control and the share of the candidate are averaged. A
	// longer memory of the control would lag behind the hour by more than the tolerance.
	controlMemory = 60
	shareMemory   = 100
	// longMemory and shortMemory are the numbers of values behind the two failure rates of the serving versions. The recent test
	// uses the larger rate, so that an incident that strikes all versions is not held against the candidate.
	longMemory  = 2000
	shortMemory = 20
	// leastStake and stakeStep are the parts of the wealth that the paired tests bet; at a stake of 1 one failure of a serving
	// version could end a test.
	leastStake = 0.3
	stakeStep  = 0.3
	// blockControl is the number of values of the serving versions in a block of the recent test, and blockGain bounds the factor
	// of one block. In an incident many values of the candidate arrive before the first failure of a serving version shows
	// that all are struck.
	blockControl = 5
	blockGain    = 4
	// leastControl is the number of values of the serving versions before the first bet.
	leastControl = 10
	// leastRatio keeps one value from ending a test.
	leastRatio = 0.05
	// leastShare keeps the test away from the edges, where one side is missing.
	leastShare = 0.001
)

// measure describes the test of one metric, of whose values more is better.
type measure struct {
	// tolerance is the loss that counts as no worse, and harms the losses that are tested.
	tolerance float64
	harms     [scales]float64
	// leastVariance bounds the estimated variance of the control from below.
	leastVariance float64
	// paired sets the certain test on differences of concurrent means in place of the share of the values. For rare events it
	// keeps the tolerance a difference of rates, where the share would make it a multiple of the rate.
	paired bool
	// gaussian selects the likelihood ratio of a shifted normal distribution.
	gaussian bool
}

func measures() [metricCount]measure {
	return [metricCount]measure{
		metricRating:  {tolerance: 0.02, harms: [scales]float64{0.06, 0.12, 0.25}, leastVariance: 0.04},
		metricFailure: {tolerance: 0.01, harms: [scales]float64{0.03, 0.1, 0.4}, leastVariance: 0.002, paired: true},
		metricLatency: {
			tolerance: math.Log(1.1), harms: [scales]float64{math.Log(1.3), math.Log(1.6), math.Log(3)},
			leastVariance: 0.04, gaussian: true,
		},
	}
}

// ratio returns how much likelier a value below the control's mean by deviation is under the given harm.
func (m *measure) ratio(harm, deviation, variance float64) float64 {
	if m.gaussian {
		return math.Exp(harm * (deviation - harm/2) / variance)
	}
	return max(1+harm/variance*deviation, leastRatio)
}

// evidence tests whether a version is worse than the serving ones by more than a tolerance. Each value is a bet on the side
// it comes from: if the candidate is no worse, a low value comes from it with no more than the probability of any value. The
// hour of the day changes the values of both sides and not that probability, so every value counts without a partner.
// Each bet's factor has a mean of at most 1 under the hypothesis, given the share, and so has each product of factors.
type evidence struct {
	measure
	// mean, variance and control describe the recent values of the serving versions.
	mean, variance, control float64
	// long and short are the mean values of the serving versions over longMemory and shortMemory.
	long, short float64
	// share is the recent share of the values that come from the candidate.
	share float64
	// own and serving sum the values since the last pair.
	own, serving tally
	// block sums the values of the candidate and of the serving versions since the last block.
	block [2]tally
	// seen counts the values of both sides.
	seen float64
	// startAt is the time of the next start, and starts counts the later ones.
	startAt time.Time
	starts  int
	// certain sums the weighted products since all starts. The weights sum to at most 1, so it ever reaches 1/alpha with a
	// probability of at most alpha.
	certain [scales]float64
	// recent sums products of starts recentTime apart without weights, against the recent mean of the serving versions. It
	// reacts sooner than certain, and the rate of false alarms is bounded, but not their probability.
	recent   [scales]float64
	recentAt time.Time
}

// add takes one value of the candidate, if own is set, or of a serving version.
func (e *evidence) add(own bool, value, exposure float64, now time.Time) {
	e.start(now)
	if e.control >= leastControl && !e.paired {
		e.bet(own, value, exposure)
	}
	e.seen++
	side := 0.0
	if own {
		side = 1
	}
	e.share += max(1/e.seen, 1.0/shareMemory) * (side - e.share)
	if e.paired {
		defer e.pair(own, value)
	}
	if own {
		return
	}
	e.control++
	rate := max(1/e.control, 1.0/controlMemory)
	difference := value - e.mean
	e.mean += rate * difference
	e.long += max(1/e.control, 1.0/longMemory) * (value - e.long)
	e.short += max(1/e.control, 1.0/shortMemory) * (value - e.short)
	e.variance += rate * ((1-rate)*difference*difference - e.variance)
}

// bet multiplies the products by the factors of one value. A value of the candidate counts as better by the tolerance, so
// that values which hardly vary are no evidence as long as the loss stays within it.
func (e *evidence) bet(own bool, value, exposure float64) {
	variance := max(e.variance, e.leastVariance)
	limit := math.Inf(1)
	if e.gaussian {
		// One extreme latency is worth at most as much as three standard deviations.
		limit = 3 * math.Sqrt(variance)
	}
	if own {
		value += e.tolerance
	}
	deviation := min(max(e.mean-value, -limit), limit)
	// The recent test compares with a mean of few values, whose error would otherwise count as harm.
	cautious := deviation - math.Sqrt(variance/min(e.control, 2*controlMemory))
	// A share above the true one would favour the evidence, as after a retreat from a larger exposure.
	p := min(e.share, exposure)
	for i, harm := range e.harms {
		harm -= e.tolerance
		worse := e.ratio(harm, deviation, variance)
		if p >= leastShare && p <= 1-leastShare {
			factor := 1 / (p*worse + 1 - p)
			if own {
				factor *= worse
			}
			e.certain[i] *= factor
		}
		if own {
			e.recent[i] *= e.ratio(harm, cautious, variance)
		}
	}
}

// pair adds a value, 1 for a success and 0 for a failure, and judges the pair once both sides have one.
func (e *evidence) pair(own bool, value float64) {
	if own {
		e.own.add(value)
		e.block[0].add(value)
	} else {
		e.serving.add(value)
		e.block[1].add(value)
	}
	if e.own.count > 0 && e.serving.count > 0 {
		difference := e.serving.mean() - e.own.mean() - e.tolerance
		e.own, e.serving = tally{}, tally{}
		for i := range e.certain {
			e.certain[i] *= 1 + (leastStake+stakeStep*float64(i))*difference
		}
	}
	if e.control >= leastControl && e.block[0].count > 0 && e.block[1].count >= blockControl {
		e.judgeBlock(e.block[0])
		e.block = [2]tally{}
	}
}

// judgeBlock compares the failures of the candidate in one block with the failure rate of the serving versions.
func (e *evidence) judgeBlock(own tally) {
	failures := min(1-min(e.long, e.short)+e.uncertainty(), 0.5)
	tolerated := failures + e.tolerance
	for i, harm := range e.harms {
		rate := min(failures+harm, 0.95)
		gain := math.Pow(rate/tolerated, own.count-own.sum) * math.Pow((1-rate)/(1-tolerated), own.sum)
		e.recent[i] *= min(gain, blockGain)
	}
}

// tally sums the values of one side.
type tally struct{ sum, count float64 }

func (t *tally) add(v float64) {
	t.sum += v
	t.count++
}

func (t *tally) mean() float64 { return t.sum / t.count }

// uncertainty returns two standard errors of the long-run failure rate of the serving versions.
func (e *evidence) uncertainty() float64 {
	n := min(e.control, longMemory)
	return 2*math.Sqrt(max(0, e.long*(1-e.long))/n) + 1/n
}

// start begins the tests that are due.
func (e *evidence) start(now time.Time) {
	if !now.Before(e.recentAt) {
		e.recentAt = now.Add(recentTime)
		for i := range e.recent {
			e.recent[i]++
		}
	}
	weight := firstWeight
	switch {
	case e.startAt.IsZero():
	case now.Before(e.startAt) || e.starts >= laterStarts:
		return
	default:
		weight = (1 - firstWeight) / laterStarts
		e.starts++
	}
	e.startAt = now.Add(restartTime)
	for i := range e.certain {
		e.certain[i] += weight
	}
}

// value returns the evidence that holds at whatever moments it is looked at.
func (e *evidence) value() float64 {
	sum := 0.0
	for _, v := range e.certain {
		sum += v / scales
	}
	return sum
}

// doubt returns the recent evidence, which suffices to undo a growth but not to withdraw a version.
func (e *evidence) doubt() float64 {
	sum := 0.0
	for _, v := range e.recent {
		sum += v / scales
	}
	return sum
}
