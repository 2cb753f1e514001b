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
	// falseRollback is the probability that a version that is no worse is ever rolled back; half of the target of 1 in 100
	// is left for what the model of the test does not cover.
	falseRollback = 0.005
	// suspicion is the evidence above which the exposure does not grow.
	suspicion = 4
	// ratingTolerance, failureTolerance and slowTolerance are the differences that count as no worse.
	ratingTolerance  = 0.02
	failureTolerance = 0.01
	slowTolerance    = 0.1
	// slower is the ratio from which one answer counts as slower than another.
	slower = 1.25
	// confirmTime is the time at full exposure after which a version is confirmed.
	confirmTime = 24 * time.Hour
	// stageTime is the least time of a stage, which covers the delay of the ratings.
	stageTime = 10 * time.Minute
	// maxStreams bounds the pairs of target and kind that are observed.
	maxStreams = 1024
)

// Observation is what is known about one answer of one target. A rating that arrives later is an observation of its own, with
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

// metric is one of the quantities that are compared.
type metric int

const (
	metricRating metric = iota
	metricFailure
	metricLatency
	metricCount
)

func (m metric) String() string { return [...]string{"rating", "failures", "latency"}[m] }

// tally sums the values that wait for a value of the other side.
type tally struct {
	sum   float64
	count int
}

func (t *tally) take() float64 {
	mean := t.sum / float64(t.count)
	*t = tally{}
	return mean
}

func (t *tally) add(v float64) {
	t.sum += v
	t.count++
}

// comparison pairs a candidate with the serving versions of its model for one kind and metric. A pair is the mean of the
// values of each side since the last pair, so that pairs are independent and come from the same minutes.
type comparison struct {
	candidate, baseline tally
	evidence            evidence
}

type streamKey struct {
	target identifier.Target
	kind   identifier.WorkKind
}

type stream [metricCount]comparison

// progress is what a target has gathered in its current stage.
type progress struct {
	exposure float64
	since    time.Time
	pairs    int
}

// Promoter judges rollouts; it is safe for concurrent use.
type Promoter struct {
	chart *interpreter.Chart
	now   func() time.Time

	mu      sync.Mutex
	streams map[streamKey]*stream
	// candidates holds per model the versions under observation, as of the last Decide.
	candidates map[identifier.Model][]identifier.Target
	stages     map[identifier.Target]progress
	counters   struct{ observed, ignored, pairs, grown, rolledBack, confirmed int64 }
}

// Option configures a Promoter.
type Option func(*Promoter)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(p *Promoter) { p.now = now } }

// New returns a promoter without observations; Chart returns the chart of the package.
func New(chart *interpreter.Chart, opts ...Option) *Promoter {
	p := &Promoter{
		chart: chart, now: time.Now, streams: map[streamKey]*stream{},
		candidates: map[identifier.Model][]identifier.Target{}, stages: map[identifier.Target]progress{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Observe takes one observation. Observations of models without a candidate, as of the last Decide, are ignored.
func (p *Promoter) Observe(o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates[o.Target.Model]
	if len(candidates) == 0 || o.Rated && math.IsNaN(o.Rating) {
		p.counters.ignored++
		return
	}
	p.counters.observed++
	own := slices.Contains(candidates, o.Target)
	for _, t := range candidates {
		if own && t != o.Target {
			continue
		}
		s := p.stream(streamKey{t, o.WorkKind})
		if s == nil {
			p.counters.ignored++
			continue
		}
		if o.Rated {
			p.pair(t, &s[metricRating], own, min(max(o.Rating, 0), 1))
		}
		if o.Ended {
			failed := 0.0
			if o.Failed {
				failed = 1
			}
			p.pair(t, &s[metricFailure], own, -failed)
		}
		if o.Latency > 0 {
			p.pair(t, &s[metricLatency], own, -math.Log(o.Latency.Seconds()))
		}
	}
}

// stream returns the stream of k, or nil beyond the limit.
func (p *Promoter) stream(k streamKey) *stream {
	if s, ok := p.streams[k]; ok {
		return s
	}
	if len(p.streams) >= maxStreams {
		return nil
	}
	s := &stream{}
	for m, tolerance := range [metricCount]float64{ratingTolerance, failureTolerance, slowTolerance} {
		s[m].evidence.tolerance = tolerance
	}
	p.streams[k] = s
	return s
}

// pair adds a value, of which more is better, to one side and judges the pair once both sides have one.
func (p *Promoter) pair(t identifier.Target, c *comparison, own bool, value float64) {
	if own {
		c.candidate.add(value)
	} else {
		c.baseline.add(value)
	}
	if c.candidate.count == 0 || c.baseline.count == 0 {
		return
	}
	difference := c.baseline.take() - c.candidate.take()
	if c.evidence.tolerance == slowTolerance {
		difference = sign(difference, math.Log(slower))
	}
	c.evidence.add(difference)
	p.counters.pairs++
	if g, ok := p.stages[t]; ok && c.evidence.tolerance == ratingTolerance {
		g.pairs++
		p.stages[t] = g
	}
}

// sign maps a difference beyond width to 1 or -1, so that the tail of the latency does not dominate.
func sign(difference, width float64) float64 {
	switch {
	case difference > width:
		return 1
	case difference < -width:
		return -1
	}
	return 0
}

// Decide returns the changes that follow from the evidence, at most one per version, ordered by target. It changes no
// configuration; called again with the same configuration it returns the same changes until they are in force. It
// notes the exposures of cfg, by which stages are timed: a new holder of the lease starts a stage anew.
func (p *Promoter) Decide(cfg *configurer.Configuration) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.track(cfg)
	var changes []Change
	for i := range cfg.Models {
		m := &cfg.Models[i]
		for j := range m.Versions {
			v := &m.Versions[j]
			if v.State != configurer.VersionCandidate {
				continue
			}
			t := identifier.Target{Model: m.Name, Version: v.Name}
			if c, ok := p.judge(t, v); ok {
				changes = append(changes, c)
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Target.String(), b.Target.String()) })
	return changes
}

// track notes the candidates of cfg and forgets what belongs to others.
func (p *Promoter) track(cfg *configurer.Configuration) {
	clear(p.candidates)
	live := map[identifier.Target]bool{}
	for i := range cfg.Models {
		m := &cfg.Models[i]
		for j := range m.Versions {
			v := &m.Versions[j]
			if v.State != configurer.VersionCandidate {
				continue
			}
			t := identifier.Target{Model: m.Name, Version: v.Name}
			live[t] = true
			p.candidates[m.Name] = append(p.candidates[m.Name], t)
			if g, ok := p.stages[t]; !ok || g.exposure != v.Exposure {
				p.stages[t] = progress{exposure: v.Exposure, since: p.now()}
			}
		}
	}
	for t := range p.stages {
		if !live[t] {
			delete(p.stages, t)
		}
	}
	for k := range p.streams {
		if !live[k.target] {
			delete(p.streams, k)
		}
	}
}

// judge fires the event that follows from the evidence about t.
func (p *Promoter) judge(t identifier.Target, v *configurer.Version) (Change, bool) {
	current, g := stageOf(v), p.stages[t]
	machine, err := interpreter.Restore(p.chart, current.state)
	if err != nil {
		return Change{}, false
	}
	value, reason := p.against(t)
	age := p.now().Sub(g.since)
	event := interpreter.Event("")
	switch {
	case value >= 1/falseRollback:
		event = EventBad
	case value > suspicion:
	case current.state == StateNew:
		event, reason = EventStart, "rollout starts"
	case current.state == StateFull && age >= confirmTime && g.pairs >= current.pairs:
		event, reason = EventConfirm, fmt.Sprintf("no worse for %s at full exposure", confirmTime)
	case current.state != StateFull && g.pairs >= current.pairs && age >= stageTime:
		event, reason = EventEvidence, fmt.Sprintf("no worse in %d rated pairs", g.pairs)
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
		p.counters.grown++
	}
	return c, true
}

// against returns the evidence that t is worse, with its main reason. The mean over metrics and kinds of always-valid
// evidence is always-valid itself, so that many kinds do not add up to a false rollback.
func (p *Promoter) against(t identifier.Target) (value float64, reason string) {
	keys := make([]streamKey, 0, len(p.streams))
	for k := range p.streams {
		if k.target == t {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b streamKey) int { return cmp.Compare(a.kind, b.kind) })
	most := 0.0
	for _, k := range keys {
		for m := range metricCount {
			v := p.streams[k][m].evidence.value() / float64(len(keys)*int(metricCount))
			value += v
			if v > most {
				most, reason = v, fmt.Sprintf("worse %s of kind %s", m, k.kind)
			}
		}
	}
	return value, reason
}

// Counters returns monotonic counters; changes are counted each time Decide returns them.
func (p *Promoter) Counters() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]int64{
		"observations": p.counters.observed, "observations-ignored": p.counters.ignored, "pairs": p.counters.pairs,
		"stages-grown": p.counters.grown, "rollbacks": p.counters.rolledBack, "confirmations": p.counters.confirmed,
	}
}

// RolloutState is one row of the state dump.
type RolloutState struct {
	Target   identifier.Target `json:"target"`
	Exposure float64           `json:"exposure"`
	Since    time.Time         `json:"since"`
	Pairs    int               `json:"pairs"`
	Evidence float64           `json:"evidence"`
}

// State returns []RolloutState, ordered by target.
func (p *Promoter) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]RolloutState, 0, len(p.stages))
	for t, g := range p.stages {
		value, _ := p.against(t)
		rows = append(rows, RolloutState{t, g.exposure, g.since, g.pairs, value})
	}
	slices.SortFunc(rows, func(a, b RolloutState) int { return strings.Compare(a.Target.String(), b.Target.String()) })
	return rows
}
