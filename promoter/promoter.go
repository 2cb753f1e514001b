package promoter

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
)

const (
	// maxFalseRollbackProbability bounds the probability that a version that is no worse is ever rolled back. It is half of the
	// target of 1 in 100; the other half is left for what the model of the test does not cover.
	maxFalseRollbackProbability = 0.005
	// growthThreshold is the evidence, recent or anytime-valid, above which the exposure does not grow. retreatThreshold is the
	// recent evidence from which the exposure falls back to the previous stage; a false retreat costs only the time of one stage.
	growthThreshold  = 5
	retreatThreshold = 100
	// minHalfDuration is the minimum duration of the half stage, which covers the hours of a day, and minMostDuration that of the
	// last stage, after which a version is confirmed.
	minHalfDuration = 24 * time.Hour
	minMostDuration = 4 * 24 * time.Hour
	// minStageDuration is the minimum duration of the other stages, which covers the delay of the ratings.
	minStageDuration = 10 * time.Minute
	// maxEvidenceKeys bounds the pairs of candidate and work kind for which evidence is kept.
	maxEvidenceKeys = 1024
)

// Observation is the outcome of one answer of one target. A rating that arrives later is an observation of its own, with
// Rated set and without latency.
type Observation struct {
	WorkKind identifier.WorkKind
	Target   identifier.Target
	// Rated is set when Rating, from 0 to 1, is known.
	Rated  bool
	Rating float64
	// Latency is the time to the first token; 0 means unknown.
	Latency time.Duration
	// Ended is set when the answer succeeded or failed.
	Ended  bool
	Failed bool
	At     time.Time
}

// Change is a new state of a version, to be written by the holder of the lease rollout/{model}.
type Change struct {
	Target   identifier.Target
	State    configurer.VersionState
	Exposure float64
	Reason   string
}

// metric is one of the quantities by which a candidate is compared with the serving versions.
type metric int

const (
	metricRating metric = iota
	metricFailure
	metricLatency
	metricCount
)

func (m metric) String() string { return [...]string{"rating", "failures", "latency"}[m] }

type evidenceKey struct {
	target identifier.Target
	kind   identifier.WorkKind
}

type metricEvidence [metricCount]evidence

// stageProgress is the progress of a candidate in its current stage.
type stageProgress struct {
	exposure float64
	since    time.Time
	// candidateRatings and controlRatings count the ratings of the candidate and of the serving versions.
	candidateRatings, controlRatings int
}

// ratedPairs returns the number of ratings of the side that has fewer.
func (s *stageProgress) ratedPairs() int { return min(s.candidateRatings, s.controlRatings) }

// Promoter decides on the roll-outs of candidate versions; it is safe for concurrent use.
type Promoter struct {
	chart *interpreter.Chart
	now   func() time.Time

	mu       sync.Mutex
	evidence map[evidenceKey]*metricEvidence
	// candidates holds the candidate versions of each model, as of the last Decide.
	candidates map[identifier.Model][]identifier.Target
	stages     map[identifier.Target]stageProgress
	counters   struct{ observed, ignored, grown, retreated, rolledBack, confirmed int64 }
}

// Option configures a Promoter.
type Option func(*Promoter)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(p *Promoter) { p.now = now } }

// New returns a promoter without observations that follows chart; Chart returns the chart of this package.
func New(chart *interpreter.Chart, opts ...Option) *Promoter {
	p := &Promoter{
		chart: chart, now: time.Now, evidence: map[evidenceKey]*metricEvidence{},
		candidates: map[identifier.Model][]identifier.Target{}, stages: map[identifier.Target]stageProgress{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Observe records one observation. Observations of models without a candidate, as of the last Decide, are ignored.
func (p *Promoter) Observe(o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates[o.Target.Model]
	if len(candidates) == 0 || o.Rated && math.IsNaN(o.Rating) {
		p.counters.ignored++
		return
	}
	p.counters.observed++
	fromCandidate := slices.Contains(candidates, o.Target)
	for _, t := range candidates {
		if fromCandidate && t != o.Target {
			continue
		}
		e := p.evidenceFor(evidenceKey{t, o.WorkKind})
		if e == nil {
			p.counters.ignored++
			continue
		}
		p.addToTests(t, e, fromCandidate, &o)
	}
}

// addToTests adds the values of o to the tests of the candidate t.
func (p *Promoter) addToTests(t identifier.Target, e *metricEvidence, fromCandidate bool, o *Observation) {
	progress, now := p.stages[t], p.now()
	if o.Rated {
		e[metricRating].add(fromCandidate, min(max(o.Rating, 0), 1), progress.exposure, now)
		if fromCandidate {
			progress.candidateRatings++
		} else {
			progress.controlRatings++
		}
		p.stages[t] = progress
	}
	if o.Ended {
		succeeded := 1.0
		if o.Failed {
			succeeded = 0
		}
		e[metricFailure].add(fromCandidate, succeeded, progress.exposure, now)
	}
	if o.Latency > 0 {
		e[metricLatency].add(fromCandidate, -math.Log(o.Latency.Seconds()), progress.exposure, now)
	}
}

// evidenceFor returns the evidence of k, which it creates if needed, or nil beyond maxEvidenceKeys.
func (p *Promoter) evidenceFor(k evidenceKey) *metricEvidence {
	if e, ok := p.evidence[k]; ok {
		return e
	}
	if len(p.evidence) >= maxEvidenceKeys {
		return nil
	}
	e := &metricEvidence{}
	for m, test := range metricTests() {
		e[m].metricTest = test
	}
	p.evidence[k] = e
	return e
}

// Decide returns the changes that follow from the evidence, at most one per version, ordered by target. It changes no
// configuration; called again with the same configuration it returns the same changes until they are in force. A stage is timed
// from the first call with its exposure in cfg, so a new holder of the lease starts the current stage anew.
func (p *Promoter) Decide(cfg *configurer.Configuration) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trackCandidates(cfg)
	var changes []Change
	for i := range cfg.Models {
		m := &cfg.Models[i]
		for j := range m.Versions {
			v := &m.Versions[j]
			if v.State != configurer.VersionCandidate {
				continue
			}
			t := identifier.Target{Model: m.Name, Version: v.Name}
			if c, ok := p.nextChange(t, v); ok {
				changes = append(changes, c)
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Target.String(), b.Target.String()) })
	return changes
}

// trackCandidates updates the list of candidates from cfg and drops the state of versions that are no longer candidates.
func (p *Promoter) trackCandidates(cfg *configurer.Configuration) {
	clear(p.candidates)
	observed := map[identifier.Target]bool{}
	for i := range cfg.Models {
		m := &cfg.Models[i]
		for j := range m.Versions {
			v := &m.Versions[j]
			if v.State != configurer.VersionCandidate {
				continue
			}
			t := identifier.Target{Model: m.Name, Version: v.Name}
			observed[t] = true
			p.candidates[m.Name] = append(p.candidates[m.Name], t)
			if progress, ok := p.stages[t]; !ok || progress.exposure != v.Exposure {
				p.stages[t] = stageProgress{exposure: v.Exposure, since: p.now()}
				p.resetRecent(t)
			}
		}
	}
	for t := range p.stages {
		if !observed[t] {
			delete(p.stages, t)
		}
	}
	for k := range p.evidence {
		if !observed[k.target] {
			delete(p.evidence, k)
		}
	}
}

// resetRecent drops the recent evidence about t, so that each stage is decided on evidence from that stage.
func (p *Promoter) resetRecent(t identifier.Target) {
	for k, e := range p.evidence {
		if k.target != t {
			continue
		}
		for m := range e {
			e[m].recent = [harmCount]float64{}
		}
	}
}

// nextChange fires the event that follows from the evidence about t and returns the resulting change, if any.
func (p *Promoter) nextChange(t identifier.Target, v *configurer.Version) (Change, bool) {
	current, progress := stageOf(v), p.stages[t]
	machine, err := interpreter.Restore(p.chart, current.state)
	if err != nil {
		return Change{}, false
	}
	evidence, recent, reason := p.evidenceAgainst(t)
	age := p.now().Sub(progress.since)
	event := interpreter.Event("")
	switch {
	case evidence >= 1/maxFalseRollbackProbability:
		event = EventBad
	case recent >= retreatThreshold && current.canRetreat:
		event, reason = EventRetreat, "doubt: "+reason
	case v.Paused:
	case recent > growthThreshold && current.state != StateCanary || evidence > growthThreshold:
		// The canary grows despite recent evidence: at its exposure the anytime-valid test would take most of a day.
	case current.state == StateNew:
		event, reason = EventStart, "rollout starts"
	case progress.ratedPairs() < current.minPairs || age < current.minDuration:
	case current.last:
		event, reason = EventConfirm, fmt.Sprintf("no worse for %s in the last stage", current.minDuration)
	default:
		event, reason = EventEvidence, fmt.Sprintf("no worse in %d rated pairs", progress.ratedPairs())
	}
	if event == "" || machine.Fire(event) != nil {
		return Change{}, false
	}
	c := Change{Target: t, State: configurer.VersionCandidate, Exposure: exposureOf(machine.State()), Reason: reason}
	switch machine.State() {
	case StateWithdrawn:
		c.State, c.Exposure = configurer.VersionWithdrawn, 0
		p.counters.rolledBack++
	case StateConfirmed:
		c.State, c.Exposure = configurer.VersionServing, 1
		p.counters.confirmed++
	default:
		if event == EventRetreat {
			p.counters.retreated++
		} else {
			p.counters.grown++
		}
	}
	return c, true
}

// evidenceAgainst returns the anytime-valid and the recent evidence that t is worse, and the metric and work kind that
// contribute most. The mean of anytime-valid evidence over metrics and kinds is anytime-valid itself, so many kinds do not raise
// the probability of a false rollback.
func (p *Promoter) evidenceAgainst(t identifier.Target) (evidence, recent float64, reason string) {
	keys := make([]evidenceKey, 0, len(p.evidence))
	for k := range p.evidence {
		if k.target == t {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b evidenceKey) int { return cmp.Compare(a.kind, b.kind) })
	largest := 0.0
	for _, k := range keys {
		for m := range metricCount {
			e := &p.evidence[k][m]
			evidence += e.anytimeValidValue() / float64(len(keys)*int(metricCount))
			recent += e.recentValue() / float64(len(keys)*int(metricCount))
			if v := e.anytimeValidValue() + e.recentValue(); v > largest {
				largest, reason = v, fmt.Sprintf("worse %s of kind %s", m, k.kind)
			}
		}
	}
	return evidence, recent, reason
}

// Counters returns monotonic counters; changes are counted each time Decide returns them.
func (p *Promoter) Counters() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]int64{
		"observations": p.counters.observed, "observations-ignored": p.counters.ignored, "stages-retreated": p.counters.retreated,
		"stages-grown": p.counters.grown, "rollbacks": p.counters.rolledBack, "confirmations": p.counters.confirmed,
	}
}

// CandidateState is the state dump of one roll-out.
type CandidateState struct {
	Target         identifier.Target `json:"target"`
	Exposure       float64           `json:"exposure"`
	Since          time.Time         `json:"since"`
	Pairs          int               `json:"pairs"`
	Evidence       float64           `json:"evidence"`
	RecentEvidence float64           `json:"doubt"`
}

// State returns []CandidateState, ordered by target.
func (p *Promoter) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]CandidateState, 0, len(p.stages))
	for t, progress := range p.stages {
		evidence, recent, _ := p.evidenceAgainst(t)
		rows = append(rows, CandidateState{t, progress.exposure, progress.since, progress.ratedPairs(), evidence, recent})
	}
	slices.SortFunc(rows, func(a, b CandidateState) int { return strings.Compare(a.Target.String(), b.Target.String()) })
	return rows
}
