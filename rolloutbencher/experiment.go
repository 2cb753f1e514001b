package rolloutbencher

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// maxFalseRollbackShare is the stated limit of the share of good versions that are rolled back.
	maxFalseRollbackShare = 0.01
	// maxRolloutTime ends the simulation of a roll-out; a good version is confirmed earlier.
	maxRolloutTime = 12 * 24 * time.Hour
	// meanAnswerInterval is the mean time between answers of the work kind.
	meanAnswerInterval = 5 * time.Second
	// decisionInterval is the time between decisions of the policy.
	decisionInterval = time.Minute
	ratedShare       = 0.5
	// sampledShare is the share of the observations that reaches the lease holder in the scenarios with a bounded sample.
	sampledShare = 0.5
	// incidentFailureShare is the share of failed answers of both versions during a shared incident.
	incidentFailureShare = 0.2
)

// runCounts holds the number of runs per scenario.
type runCounts struct {
	bad, good int
	// comparison bounds the runs of the policies other than the promoter, which only serve for comparison.
	comparison int
}

// The two versions of the experiment.
var (
	serving   = identifier.Target{Model: "drafting", Version: "1"}
	candidate = identifier.Target{Model: "drafting", Version: "2"}
)

// scenario describes how the candidate version differs from the serving one, and what the policy observes.
type scenario struct {
	name string
	bad  bool
	// turnsBadAfter bounds the time from the start of the roll-out until the version turns bad; it is bad from the start if
	// both are 0.
	turnsBadAfter [2]time.Duration
	// qualityLoss is subtracted from the quality, latencyFactor multiplies the latency, and failureShare is the share of failed
	// answers.
	qualityLoss, latencyFactor, failureShare float64
	// sampleShare is the share of the observations that the policy receives.
	sampleShare float64
	// incident raises the failures of both versions to incidentFailureShare in the first ten minutes of each hour.
	incident bool
}

func scenarios() []scenario {
	const usualFailures = 0.005
	withinFirstDay := [2]time.Duration{6 * time.Hour, 24 * time.Hour}
	// The stages up to an exposure of 0.5 take 30 h. By 40 h a good version has reached the highest exposure before its
	// confirmation.
	afterFullExposure := [2]time.Duration{40 * time.Hour, 120 * time.Hour}
	return []scenario{
		{name: "bad at once", bad: true, qualityLoss: 0.15, latencyFactor: 1, failureShare: usualFailures, sampleShare: 1},
		{name: "bad at midday", bad: true, turnsBadAfter: withinFirstDay, qualityLoss: 0.15, latencyFactor: 1, failureShare: usualFailures, sampleShare: 1},
		{name: "slow", bad: true, latencyFactor: 1.6, failureShare: usualFailures, sampleShare: 1},
		{name: "failing", bad: true, latencyFactor: 1, failureShare: 0.06, sampleShare: 1},
		{name: "failing at midday", bad: true, turnsBadAfter: withinFirstDay, latencyFactor: 1, failureShare: 0.06, sampleShare: 1},
		{name: "bad after days", bad: true, turnsBadAfter: afterFullExposure, qualityLoss: 0.15, latencyFactor: 1, failureShare: usualFailures, sampleShare: 1},
		{name: "failing after days", bad: true, turnsBadAfter: afterFullExposure, latencyFactor: 1, failureShare: 0.06, sampleShare: 1},
		{name: "slow after days", bad: true, turnsBadAfter: afterFullExposure, latencyFactor: 1.6, failureShare: usualFailures, sampleShare: 1},
		{name: "good", latencyFactor: 1, failureShare: usualFailures, sampleShare: 1},
		{name: "better", qualityLoss: -0.03, latencyFactor: 0.95, failureShare: usualFailures, sampleShare: 1},
		{name: "good, shared incidents", latencyFactor: 1, failureShare: usualFailures, sampleShare: 1, incident: true},
		{name: "slow, sampled", bad: true, latencyFactor: 1.6, failureShare: usualFailures, sampleShare: sampledShare},
		{name: "failing at midday, sampled", bad: true, turnsBadAfter: withinFirstDay, latencyFactor: 1, failureShare: 0.06, sampleShare: sampledShare},
		{name: "bad at midday, sampled", bad: true, turnsBadAfter: withinFirstDay, qualityLoss: 0.15, latencyFactor: 1, failureShare: usualFailures, sampleShare: sampledShare},
	}
}

// Experiment returns the experiment roll-out.
func Experiment() bencher.Experiment { return ExperimentWithRuns(60, 200, 20) }

// ExperimentWithRuns returns the experiment with the given numbers of runs: per scenario with a bad version, per scenario with a
// good one, and at most per scenario for policies that only serve for comparison.
func ExperimentWithRuns(bad, good, other int) bencher.Experiment {
	return bencher.Experiment{
		Name: "roll-out", Short: "Detection of bad versions and false rollbacks of good ones",
		Run: runCounts{bad: bad, good: good, comparison: other}.run,
	}
}

// result is the outcome of one roll-out.
type result struct {
	rolledBack, confirmed bool
	// hoursToRollback is the time from the moment the version turned bad, or from the start of a good one, to the rollback.
	hoursToRollback float64
	// hoursToConfirm is the time from the start to the confirmation.
	hoursToConfirm float64
	// exposedShare is the share of the answers in the 24 h after the version turned bad that came from it.
	exposedShare float64
}

func (z runCounts) run(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	report := bencher.Report{
		Columns: []string{"scenario", "policy", "runs", "rolled-back", "confirmed", "hours-to-rollback", "share-after-bad", "hours-to-confirm"},
		XLabel:  "run", YLabel: "hours from turning bad to rollback",
	}
	var goodRuns, falseRollbacks float64
	for i, s := range scenarios() {
		runs := z.bad
		if !s.bad {
			runs = z.good
		}
		for _, c := range policies() {
			runs := runs
			if c.name != "promoter" {
				runs = min(runs, z.comparison)
			}
			if runs == 0 {
				continue
			}
			results := make([]result, runs)
			g, gctx := errgroup.WithContext(ctx)
			g.SetLimit(runtime.GOMAXPROCS(0))
			for n := range results {
				g.Go(func() error {
					results[n] = simulate(s, c, rand.New(rand.NewPCG(p.Seed, uint64(i)<<32|uint64(n))))
					return gctx.Err()
				})
			}
			if err := g.Wait(); err != nil {
				return report, fmt.Errorf("rolloutbencher: %s: %w", s.name, err)
			}
			rolledBack, line := addRow(&report, s, c, results)
			if c.name != "promoter" {
				continue
			}
			if s.bad {
				report.Bounds = append(report.Bounds, bencher.Bound{Name: s.name + ": rolled back", Measured: rolledBack / float64(runs), Limit: 1})
				report.Series = append(report.Series, line)
				continue
			}
			goodRuns += float64(runs)
			falseRollbacks += rolledBack
		}
	}
	report.Bounds = append(report.Bounds, bencher.Bound{Name: "false rollbacks", Measured: falseRollbacks / goodRuns, Limit: maxFalseRollbackShare, AtMost: true})
	return report, nil
}

// addRow adds the summary of one scenario under one policy to the report. It returns the number of rollbacks and a series of
// the times that they took.
func addRow(report *bencher.Report, s scenario, c policy, results []result) (float64, bencher.Series) {
	rolledBack, confirmed, hours, exposed, confirmHours := 0.0, 0.0, 0.0, 0.0, 0.0
	times := bencher.Series{Name: s.name}
	for runs, r := range results {
		exposed += r.exposedShare / float64(len(results))
		if r.confirmed {
			confirmed++
			confirmHours += r.hoursToConfirm
		}
		if r.rolledBack {
			rolledBack++
			hours += r.hoursToRollback
			times.Points = append(times.Points, bencher.Point{X: float64(runs), Y: r.hoursToRollback})
		}
	}
	toRollback, exposedText, toConfirm := "-", "-", "-"
	if confirmed > 0 {
		toConfirm = fmt.Sprintf("%.1f", confirmHours/confirmed)
	}
	if rolledBack > 0 {
		toRollback = fmt.Sprintf("%.2f", hours/rolledBack)
	}
	if s.bad {
		exposedText = fmt.Sprintf("%.4f", exposed)
	}
	runs := float64(len(results))
	report.Rows = append(report.Rows, []string{
		s.name, c.name, strconv.Itoa(len(results)), fmt.Sprintf("%.4f", rolledBack/runs), fmt.Sprintf("%.4f", confirmed/runs), toRollback, exposedText, toConfirm,
	})
	return rolledBack, times
}

// rollout is the state of one run of a scenario.
type rollout struct {
	scenario
	rng            *rand.Rand
	cfg            *configurer.Configuration
	version        *configurer.Version
	start          time.Time
	now            time.Time
	turnedBadAt    time.Time
	nextDecisionAt time.Time
	observe        func(promoter.Observation)
	decide         func(*configurer.Configuration) []promoter.Change
	pendingRatings []promoter.Observation
	result         result
}

// simulate runs one roll-out until its outcome is known or maxRolloutTime has passed.
func simulate(s scenario, c policy, rng *rand.Rand) result {
	r := &rollout{scenario: s, rng: rng, start: time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)}
	r.now, r.turnedBadAt, r.nextDecisionAt = r.start, r.start, r.start
	if spread := s.turnsBadAfter[1] - s.turnsBadAfter[0]; spread > 0 {
		r.turnedBadAt = r.start.Add(s.turnsBadAfter[0] + time.Duration(rng.Float64()*float64(spread)))
	}
	r.cfg = &configurer.Configuration{Models: []configurer.Model{{Name: serving.Model, Versions: []configurer.Version{
		{Name: serving.Version, State: configurer.VersionServing}, {Name: candidate.Version, State: configurer.VersionCandidate},
	}}}}
	r.version = &r.cfg.Models[0].Versions[1]
	observe, decide := c.newPolicy(func() time.Time { return r.now })
	r.decide = decide
	r.observe = func(o promoter.Observation) {
		if s.sampleShare >= 1 || rng.Float64() < s.sampleShare {
			observe(o)
		}
	}
	answers, exposed := 0.0, 0.0
	for r.now.Before(r.start.Add(maxRolloutTime)) {
		r.now = r.now.Add(time.Duration(rng.ExpFloat64() * float64(meanAnswerInterval)))
		r.deliverRatings()
		r.applyDecisions()
		byCandidate := r.version.State != configurer.VersionWithdrawn && rng.Float64() < r.version.Exposure
		since := r.now.Sub(r.turnedBadAt)
		if since >= 0 && since < 24*time.Hour {
			answers++
			if byCandidate {
				exposed++
			}
		}
		if r.version.State == configurer.VersionWithdrawn && since >= 24*time.Hour || r.result.confirmed && !s.bad {
			break
		}
		r.serve(byCandidate)
	}
	if answers > 0 {
		r.result.exposedShare = exposed / answers
	}
	return r.result
}

// deliverRatings passes the ratings that have arrived to the policy.
func (r *rollout) deliverRatings() {
	arrived := 0
	for arrived < len(r.pendingRatings) && !r.pendingRatings[arrived].At.After(r.now) {
		r.observe(r.pendingRatings[arrived])
		arrived++
	}
	r.pendingRatings = append(r.pendingRatings[:0], r.pendingRatings[arrived:]...)
}

// applyDecisions applies the decisions of the policy to the configuration and records the outcome.
func (r *rollout) applyDecisions() {
	if r.now.Before(r.nextDecisionAt) {
		return
	}
	r.nextDecisionAt = r.now.Add(decisionInterval)
	for _, change := range r.decide(r.cfg) {
		r.version.State, r.version.Exposure = change.State, change.Exposure
	}
	if r.version.State == configurer.VersionWithdrawn && !r.result.rolledBack {
		r.result.rolledBack, r.result.hoursToRollback = true, r.now.Sub(r.turnedBadAt).Hours()
	}
	if r.version.State == configurer.VersionServing && !r.result.confirmed {
		r.result.confirmed, r.result.hoursToConfirm = true, r.now.Sub(r.start).Hours()
	}
}

// serve draws one answer, passes it to the policy, and queues its rating if it gets one.
func (r *rollout) serve(byCandidate bool) {
	o := r.answer(byCandidate, byCandidate && !r.now.Before(r.turnedBadAt), r.now, r.start, r.rng)
	r.observe(o)
	if r.rng.Float64() < ratedShare {
		// Ratings arrive two minutes after their answers, in the order of the answers.
		r.pendingRatings = append(r.pendingRatings, promoter.Observation{
			WorkKind: o.WorkKind, Target: o.Target, Rated: true, Rating: o.Rating, At: r.now.Add(2 * time.Minute),
		})
	}
}

// answer draws one answer. Quality and latency of both versions vary with the hour of the day, so that a comparison with
// earlier hours would mislead.
func (s *scenario) answer(byCandidate, bad bool, now, start time.Time, rng *rand.Rand) promoter.Observation {
	hour := now.Sub(start).Hours()
	quality := 0.78 + 0.06*math.Sin(2*math.Pi*hour/24)
	latency, failures := 0.4*(1.3+0.3*math.Sin(2*math.Pi*hour/24)), 0.005
	o := promoter.Observation{WorkKind: "engineer-answer", Target: serving, Ended: true, At: now}
	if byCandidate {
		o.Target = candidate
	}
	if bad || byCandidate && !s.bad {
		quality, latency, failures = quality-s.qualityLoss, latency*s.latencyFactor, s.failureShare
	}
	if s.incident && now.Sub(start)%time.Hour < 10*time.Minute {
		failures = incidentFailureShare
	}
	o.Rating = 0.92
	// Unusable answers are rated 0.2 on average, so the mean of the ratings is the quality.
	if rng.Float64() < (0.92-quality)/(0.92-0.2) {
		o.Rating = 0.2
	}
	o.Rating = min(max(o.Rating+0.05*rng.NormFloat64(), 0), 1)
	o.Latency = time.Duration(latency * math.Exp(0.4*rng.NormFloat64()) * float64(time.Second))
	o.Failed = rng.Float64() < failures
	return o
}
