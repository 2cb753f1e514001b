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
	// falseLimit is the stated limit of false rollbacks.
	falseLimit = 0.01
	// horizon bounds one rollout; a good version is confirmed before.
	horizon = 12 * 24 * time.Hour
	// arrivals is the mean time between answers of the kind.
	arrivals = 5 * time.Second
	// lookInterval is the time between decisions.
	lookInterval = time.Minute
	ratedShare   = 0.5
	// sampled is the part of the observations that reaches the lease holder in the scenarios with a bounded sample.
	sampled = 0.5
	// incidentFailures is the share of failed answers of both versions during a shared incident.
	incidentFailures = 0.2
)

// sizes are the numbers of runs.
type sizes struct {
	bad, good int
	// other bounds the runs of the policies that are only there for comparison.
	other int
}

// The two versions of the experiment.
var (
	serving   = identifier.Target{Model: "drafting", Version: "1"}
	candidate = identifier.Target{Model: "drafting", Version: "2"}
)

// scenario describes the candidate version.
type scenario struct {
	name string
	bad  bool
	// late bounds the time after the start of the rollout at which the version turns bad; it is bad at once if both are 0.
	late [2]time.Duration
	// drop is the loss of quality, slow the factor of the latency, failures the share of failed answers.
	drop, slow, failures float64
	// sample is the part of the observations that the policy sees.
	sample float64
	// incident makes both versions fail often for the first ten minutes of each hour.
	incident bool
}

func scenarios() []scenario {
	const usualFailures = 0.005
	midday := [2]time.Duration{6 * time.Hour, 24 * time.Hour}
	// The stages up to an exposure of 0.5 take 30 h; by 40 h a good version has all the work it gets before its confirmation.
	days := [2]time.Duration{40 * time.Hour, 120 * time.Hour}
	return []scenario{
		{name: "bad at once", bad: true, drop: 0.15, slow: 1, failures: usualFailures, sample: 1},
		{name: "bad at midday", bad: true, late: midday, drop: 0.15, slow: 1, failures: usualFailures, sample: 1},
		{name: "slow", bad: true, slow: 1.6, failures: usualFailures, sample: 1},
		{name: "failing", bad: true, slow: 1, failures: 0.06, sample: 1},
		{name: "failing at midday", bad: true, late: midday, slow: 1, failures: 0.06, sample: 1},
		{name: "bad after days", bad: true, late: days, drop: 0.15, slow: 1, failures: usualFailures, sample: 1},
		{name: "failing after days", bad: true, late: days, slow: 1, failures: 0.06, sample: 1},
		{name: "slow after days", bad: true, late: days, slow: 1.6, failures: usualFailures, sample: 1},
		{name: "good", slow: 1, failures: usualFailures, sample: 1},
		{name: "better", drop: -0.03, slow: 0.95, failures: usualFailures, sample: 1},
		{name: "good, shared incidents", slow: 1, failures: usualFailures, sample: 1, incident: true},
		{name: "slow, sampled", bad: true, slow: 1.6, failures: usualFailures, sample: sampled},
		{name: "failing at midday, sampled", bad: true, late: midday, slow: 1, failures: 0.06, sample: sampled},
		{name: "bad at midday, sampled", bad: true, late: midday, drop: 0.15, slow: 1, failures: usualFailures, sample: sampled},
	}
}

// Experiment returns the experiment roll-out.
func Experiment() bencher.Experiment { return ExperimentWithRuns(60, 200, 20) }

// ExperimentWithRuns returns the experiment with other numbers of runs per bad version, per good version and per policy that is only
// there for comparison.
func ExperimentWithRuns(bad, good, other int) bencher.Experiment {
	return bencher.Experiment{
		Name: "roll-out", Short: "Detection of bad versions and false rollbacks of good ones",
		Run: sizes{bad: bad, good: good, other: other}.run,
	}
}

// result is the outcome of one rollout.
type result struct {
	rolledBack, confirmed bool
	// hours is the time from turning bad, or from the start, to the rollback.
	hours float64
	// confirmHours is the time from the start to the confirmation.
	confirmHours float64
	// exposed is the share of the kind's answers in the day after it turned bad that came from the version.
	exposed float64
}

func (z sizes) run(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	report := bencher.Report{
		Columns: []string{"scenario", "policy", "runs", "rolled-back", "confirmed", "hours-to-rollback", "share-after-bad", "hours-to-confirm"},
		XLabel:  "run", YLabel: "hours from turning bad to rollback",
	}
	var good, falsely float64
	for i, s := range scenarios() {
		runs := z.bad
		if !s.bad {
			runs = z.good
		}
		for _, c := range policies() {
			runs := runs
			if c.name != "promoter" {
				runs = min(runs, z.other)
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
			back, line := addRow(&report, s, c, results)
			if c.name != "promoter" {
				continue
			}
			if s.bad {
				report.Bounds = append(report.Bounds, bencher.Bound{Name: s.name + ": rolled back", Measured: back / float64(runs), Limit: 1})
				report.Series = append(report.Series, line)
				continue
			}
			good += float64(runs)
			falsely += back
		}
	}
	report.Bounds = append(report.Bounds, bencher.Bound{Name: "false rollbacks", Measured: falsely / good, Limit: falseLimit, AtMost: true})
	return report, nil
}

// addRow adds the summary of one scenario under one policy; it returns the number of rollbacks and their times.
func addRow(report *bencher.Report, s scenario, c policy, results []result) (float64, bencher.Series) {
	back, confirmed, hours, exposed, confirmHours := 0.0, 0.0, 0.0, 0.0, 0.0
	line := bencher.Series{Name: s.name}
	for n, r := range results {
		exposed += r.exposed / float64(len(results))
		if r.confirmed {
			confirmed++
			confirmHours += r.confirmHours
		}
		if r.rolledBack {
			back++
			hours += r.hours
			line.Points = append(line.Points, bencher.Point{X: float64(n), Y: r.hours})
		}
	}
	time, share, toConfirm := "-", "-", "-"
	if confirmed > 0 {
		toConfirm = fmt.Sprintf("%.1f", confirmHours/confirmed)
	}
	if back > 0 {
		time = fmt.Sprintf("%.2f", hours/back)
	}
	if s.bad {
		share = fmt.Sprintf("%.4f", exposed)
	}
	n := float64(len(results))
	report.Rows = append(report.Rows, []string{
		s.name, c.name, strconv.Itoa(len(results)), fmt.Sprintf("%.4f", back/n), fmt.Sprintf("%.4f", confirmed/n), time, share, toConfirm,
	})
	return back, line
}

// rollout is one run of a scenario.
type rollout struct {
	scenario
	rng     *rand.Rand
	cfg     *configurer.Configuration
	version *configurer.Version
	start   time.Time
	now     time.Time
	turned  time.Time
	look    time.Time
	observe func(promoter.Observation)
	decide  func(*configurer.Configuration) []promoter.Change
	waiting []promoter.Observation
	result  result
}

// simulate runs one rollout until it ends or the horizon is reached.
func simulate(s scenario, c policy, rng *rand.Rand) result {
	r := &rollout{scenario: s, rng: rng, start: time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)}
	r.now, r.turned, r.look = r.start, r.start, r.start
	if spread := s.late[1] - s.late[0]; spread > 0 {
		r.turned = r.start.Add(s.late[0] + time.Duration(rng.Float64()*float64(spread)))
	}
	r.cfg = &configurer.Configuration{Models: []configurer.Model{{Name: serving.Model, Versions: []configurer.Version{
		{Name: serving.Version, State: configurer.VersionServing}, {Name: candidate.Version, State: configurer.VersionCandidate},
	}}}}
	r.version = &r.cfg.Models[0].Versions[1]
	observe, decide := c.make(func() time.Time { return r.now })
	r.decide = decide
	r.observe = func(o promoter.Observation) {
		if s.sample >= 1 || rng.Float64() < s.sample {
			observe(o)
		}
	}
	answers, exposed := 0.0, 0.0
	for r.now.Before(r.start.Add(horizon)) {
		r.now = r.now.Add(time.Duration(rng.ExpFloat64() * float64(arrivals)))
		r.deliver()
		r.apply()
		own := r.version.State != configurer.VersionWithdrawn && rng.Float64() < r.version.Exposure
		since := r.now.Sub(r.turned)
		if since >= 0 && since < 24*time.Hour {
			answers++
			if own {
				exposed++
			}
		}
		if r.version.State == configurer.VersionWithdrawn && since >= 24*time.Hour || r.result.confirmed && !s.bad {
			break
		}
		r.serve(own)
	}
	if answers > 0 {
		r.result.exposed = exposed / answers
	}
	return r.result
}

// deliver passes on the ratings that have arrived.
func (r *rollout) deliver() {
	arrived := 0
	for arrived < len(r.waiting) && !r.waiting[arrived].At.After(r.now) {
		r.observe(r.waiting[arrived])
		arrived++
	}
	r.waiting = append(r.waiting[:0], r.waiting[arrived:]...)
}

// apply puts the decisions of the policy into force.
func (r *rollout) apply() {
	if r.now.Before(r.look) {
		return
	}
	r.look = r.now.Add(lookInterval)
	for _, change := range r.decide(r.cfg) {
		r.version.State, r.version.Exposure = change.State, change.Exposure
	}
	if r.version.State == configurer.VersionWithdrawn && !r.result.rolledBack {
		r.result.rolledBack, r.result.hours = true, r.now.Sub(r.turned).Hours()
	}
	if r.version.State == configurer.VersionServing && !r.result.confirmed {
		r.result.confirmed, r.result.confirmHours = true, r.now.Sub(r.start).Hours()
	}
}

// serve draws one answer and queues its rating.
func (r *rollout) serve(own bool) {
	o := r.answer(own, own && !r.now.Before(r.turned), r.now, r.start, r.rng)
	r.observe(o)
	if r.rng.Float64() < ratedShare {
		// Ratings arrive in the order of the answers, two minutes late.
		r.waiting = append(r.waiting, promoter.Observation{
			WorkKind: o.WorkKind, Target: o.Target, Rated: true, Rating: o.Rating, At: r.now.Add(2 * time.Minute),
		})
	}
}

// answer draws one answer. Difficulty and latency follow the hour for both versions, so that a comparison with earlier
// hours misleads.
func (s *scenario) answer(own, bad bool, now, start time.Time, rng *rand.Rand) promoter.Observation {
	hour := now.Sub(start).Hours()
	quality := 0.78 + 0.06*math.Sin(2*math.Pi*hour/24)
	latency, failures := 0.4*(1.3+0.3*math.Sin(2*math.Pi*hour/24)), 0.005
	o := promoter.Observation{WorkKind: "engineer-answer", Target: serving, Ended: true, At: now}
	if own {
		o.Target = candidate
	}
	if bad || own && !s.bad {
		quality, latency, failures = quality-s.drop, latency*s.slow, s.failures
	}
	if s.incident && now.Sub(start)%time.Hour < 10*time.Minute {
		failures = incidentFailures
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
