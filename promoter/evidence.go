package promoter

import (
	"math"
	"time"
)

const (
	// harmCount is the number of alternative losses that are tested at once.
	harmCount = 3
	// initialWeight is the weight of the test that starts with the first value. Up to maxRestarts more tests start at intervals
	// of restartInterval, so that evidence against a version that turns bad late need not first make up for its good hours.
	initialWeight   = 0.25
	maxRestarts     = 192
	restartInterval = time.Hour
	// recentStartInterval is the time between the starts of the recent tests. Starting them by time and not by number of
	// values keeps the rate of false retreats independent of the traffic.
	recentStartInterval = 10 * time.Minute
	// controlWindow and shareWindow are the numbers of values over which the mean of the control and the share of the candidate
	// are averaged. With a longer window the mean would lag behind changes over the day by more than the tolerance.
	controlWindow = 60
	shareWindow   = 100
	// longWindow and shortWindow are the numbers of values over which the two failure rates of the serving versions are averaged.
	// The recent test uses the larger rate, so that an incident that affects all versions does not count against the candidate.
	longWindow  = 2000
	shortWindow = 20
	// minStake and stakeStep set the stakes of the paired tests, which weight each difference in a test's product. At a stake of 1
	// one failure of a serving version could end a test by setting its product to 0.
	minStake  = 0.3
	stakeStep = 0.3
	// minBlockControl is the number of values of the serving versions in a block of the recent test, and maxBlockFactor bounds
	// the factor of one block: in an incident that affects all versions, many failures of the candidate may arrive before the
	// first failure of a serving version.
	minBlockControl = 5
	maxBlockFactor  = 4
	// minControl is the number of values of the serving versions that are needed before the first comparison.
	minControl = 10
	// minLikelihoodRatio keeps one value from ending a test by setting its product to 0.
	minLikelihoodRatio = 0.05
	// minShare is the smallest share of either side at which values are compared: near 0 and 1 one side is missing.
	minShare = 0.001
)

// metricTest holds the parameters of the test of one metric; higher values of a metric are better.
type metricTest struct {
	// tolerance is the loss up to which a candidate counts as no worse, and harms are the losses that are tested against it.
	tolerance float64
	harms     [harmCount]float64
	// minVariance bounds the estimated variance of the control from below.
	minVariance float64
	// paired makes the anytime-valid test compare concurrent means of both sides instead of the share of the candidate among
	// the values. For rare events the tolerance then is a difference of rates; with the share it would be a multiple of the rate.
	paired bool
	// gaussian selects the likelihood ratio of a shifted normal distribution.
	gaussian bool
}

func metricTests() [metricCount]metricTest {
	return [metricCount]metricTest{
		metricRating:  {tolerance: 0.02, harms: [harmCount]float64{0.06, 0.12, 0.25}, minVariance: 0.04},
		metricFailure: {tolerance: 0.01, harms: [harmCount]float64{0.03, 0.1, 0.4}, minVariance: 0.002, paired: true},
		metricLatency: {
			tolerance: math.Log(1.1), harms: [harmCount]float64{math.Log(1.3), math.Log(1.6), math.Log(3)},
			minVariance: 0.04, gaussian: true,
		},
	}
}

// likelihoodRatio returns how much likelier a value that is lower than the control's mean by deviation is under the given harm
// than without it.
func (m *metricTest) likelihoodRatio(harm, deviation, variance float64) float64 {
	if m.gaussian {
		return math.Exp(harm * (deviation - harm/2) / variance)
	}
	return max(1+harm/variance*deviation, minLikelihoodRatio)
}

// evidence is a sequential test (an e-process, or test by betting) of whether a candidate is worse than the serving versions
// by more than a tolerance. Each value is a bet on the side it comes from: if the candidate is no worse, a low value comes
// from it with at most the probability of any value, which is the candidate's share. The hour of the day changes the values of
// both sides but not that probability, so every value counts without a partner. Under the hypothesis that the candidate is no
// worse, the factor of each bet has a mean of at most 1, given the share, and so has each product of factors.
type evidence struct {
	metricTest
	// mean and variance are those of the recent values of the serving versions, and controlCount is the number of all of them.
	mean, variance, controlCount float64
	// longMean and shortMean are the mean values of the serving versions over longWindow and shortWindow.
	longMean, shortMean float64
	// candidateShare is the recent share of the values that come from the candidate.
	candidateShare float64
	// pairCandidate and pairControl sum the values of the candidate and of the serving versions since the last pair.
	pairCandidate, pairControl accumulator
	// block sums the values of the candidate and of the serving versions since the last block.
	block [2]accumulator
	// valueCount counts the values of both sides.
	valueCount float64
	// nextStartAt is when the next test starts, and restarts counts the tests after the first.
	nextStartAt time.Time
	restarts    int
	// anytimeValid sums the weighted products of all started tests, by harm. The weights sum to at most 1, so the probability that
	// it ever reaches 1/alpha for a version that is no worse is at most alpha.
	anytimeValid [harmCount]float64
	// recent sums the products of tests that start recentStartInterval apart, without weights, against the recent mean of the
	// serving versions. It reacts sooner than anytimeValid, but bounds only the rate of false alarms, not their probability.
	recent       [harmCount]float64
	nextRecentAt time.Time
}

// add adds one value of the candidate, if fromCandidate is set, or of a serving version.
func (e *evidence) add(fromCandidate bool, value, exposure float64, now time.Time) {
	e.startDueTests(now)
	if e.controlCount >= minControl && !e.paired {
		e.bet(fromCandidate, value, exposure)
	}
	e.valueCount++
	indicator := 0.0
	if fromCandidate {
		indicator = 1
	}
	e.candidateShare += max(1/e.valueCount, 1.0/shareWindow) * (indicator - e.candidateShare)
	if e.paired {
		defer e.addPaired(fromCandidate, value)
	}
	if fromCandidate {
		return
	}
	e.controlCount++
	rate := max(1/e.controlCount, 1.0/controlWindow)
	difference := value - e.mean
	e.mean += rate * difference
	e.longMean += max(1/e.controlCount, 1.0/longWindow) * (value - e.longMean)
	e.shortMean += max(1/e.controlCount, 1.0/shortWindow) * (value - e.shortMean)
	e.variance += rate * ((1-rate)*difference*difference - e.variance)
}

// bet multiplies the products by the factors of one value. The tolerance is added to each value of the candidate, so that a
// loss within it is no evidence even if the values hardly vary.
func (e *evidence) bet(fromCandidate bool, value, exposure float64) {
	variance := max(e.variance, e.minVariance)
	limit := math.Inf(1)
	if e.gaussian {
		// One extreme latency counts as at most three standard deviations.
		limit = 3 * math.Sqrt(variance)
	}
	if fromCandidate {
		value += e.tolerance
	}
	deviation := min(max(e.mean-value, -limit), limit)
	// The recent test compares with a mean of few values, whose standard error would otherwise count as harm.
	conservative := deviation - math.Sqrt(variance/min(e.controlCount, 2*controlWindow))
	// A share above the true one, as after a retreat from a larger exposure, would overstate the evidence.
	p := min(e.candidateShare, exposure)
	for i, harm := range e.harms {
		harm -= e.tolerance
		ratio := e.likelihoodRatio(harm, deviation, variance)
		if p >= minShare && p <= 1-minShare {
			factor := 1 / (p*ratio + 1 - p)
			if fromCandidate {
				factor *= ratio
			}
			e.anytimeValid[i] *= factor
		}
		if fromCandidate {
			e.recent[i] *= e.likelihoodRatio(harm, conservative, variance)
		}
	}
}

// addPaired adds a value, 1 for a success and 0 for a failure, and compares the means once both sides have a value.
func (e *evidence) addPaired(fromCandidate bool, value float64) {
	if fromCandidate {
		e.pairCandidate.add(value)
		e.block[0].add(value)
	} else {
		e.pairControl.add(value)
		e.block[1].add(value)
	}
	if e.pairCandidate.count > 0 && e.pairControl.count > 0 {
		difference := e.pairControl.mean() - e.pairCandidate.mean() - e.tolerance
		e.pairCandidate, e.pairControl = accumulator{}, accumulator{}
		for i := range e.anytimeValid {
			e.anytimeValid[i] *= 1 + (minStake+stakeStep*float64(i))*difference
		}
	}
	if e.controlCount >= minControl && e.block[0].count > 0 && e.block[1].count >= minBlockControl {
		e.testBlock(e.block[0])
		e.block = [2]accumulator{}
	}
}

// testBlock updates the recent test with the candidate's values in one block, given the failure rate of the serving versions.
func (e *evidence) testBlock(candidate accumulator) {
	controlRate := min(1-min(e.longMean, e.shortMean)+e.longMeanMargin(), 0.5)
	toleratedRate := controlRate + e.tolerance
	for i, harm := range e.harms {
		harmedRate := min(controlRate+harm, 0.95)
		factor := math.Pow(harmedRate/toleratedRate, candidate.count-candidate.sum) *
			math.Pow((1-harmedRate)/(1-toleratedRate), candidate.sum)
		e.recent[i] *= min(factor, maxBlockFactor)
	}
}

// accumulator sums the values of one side.
type accumulator struct{ sum, count float64 }

func (a *accumulator) add(v float64) {
	a.sum += v
	a.count++
}

func (a *accumulator) mean() float64 { return a.sum / a.count }

// longMeanMargin returns two standard errors of longMean plus the weight of one value.
func (e *evidence) longMeanMargin() float64 {
	n := min(e.controlCount, longWindow)
	return 2*math.Sqrt(max(0, e.longMean*(1-e.longMean))/n) + 1/n
}

// startDueTests starts the tests that are due.
func (e *evidence) startDueTests(now time.Time) {
	if !now.Before(e.nextRecentAt) {
		e.nextRecentAt = now.Add(recentStartInterval)
		for i := range e.recent {
			e.recent[i]++
		}
	}
	weight := initialWeight
	switch {
	case e.nextStartAt.IsZero():
	case now.Before(e.nextStartAt) || e.restarts >= maxRestarts:
		return
	default:
		weight = (1 - initialWeight) / maxRestarts
		e.restarts++
	}
	e.nextStartAt = now.Add(restartInterval)
	for i := range e.anytimeValid {
		e.anytimeValid[i] += weight
	}
}

// anytimeValidValue returns the evidence whose error bound holds however often and whenever it is read.
func (e *evidence) anytimeValidValue() float64 {
	sum := 0.0
	for _, v := range e.anytimeValid {
		sum += v / harmCount
	}
	return sum
}

// recentValue returns the recent evidence, which is enough to reduce the exposure but not to withdraw a version.
func (e *evidence) recentValue() float64 {
	sum := 0.0
	for _, v := range e.recent {
		sum += v / harmCount
	}
	return sum
}
