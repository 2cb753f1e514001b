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
	// suspicion is the recent evidence above which the exposure does not grow, and retreat that above which it falls back to the
	// former stage. A retreat by mistake costs only the time of one stage.
	suspicion = 5
	retreat   = 100
	// dayTime is the least time of the stage of equal parts, which covers the hours of a day, and confirmTime that of the last
	// stage, after which a version is confirmed.
	dayTime     = 24 * time.Hour
	confirmTime = 4 * 24 * time.Hour
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

type streamKey struct {
	target identifier.Target
	kind   identifier.WorkKind
}

type stream [metricCount]evidence

// progress is what a target has gathered in its current stage.
type progress struct {
	exposure float64
	since    time.Time
	// own and control count the ratings of the candidate and of the serving versions.
	own, control int
}

// pairs returns the ratings of the side that has fewer.
func (g *progress) pairs() int { return min(g.own, g.control) }

// Promoter judges rollouts; it is safe for concurrent use.
type Promoter struct {
	chart *interpreter.Chart
	now   func() time.Time

	mu      sync.Mutex
	streams map[streamKey]*stream
	// candidates holds per model the versions under observation, as of the last Decide.
	candidates map[identifier.Model][]identifier.Target
	stages     map[identifier.Target]progress
	counters   struct{ observed, ignored, grown, retreated, rolledBack, confirmed int64 }
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
		p.judgeObservation(t, s, own, &o)
	}
}

// judgeObservation passes the values of o to the tests of the candidate t.
func (p *Promoter) judgeObservation(t identifier.Target, s *stream, own bool, o *Observation) {
	g, now := p.stages[t], p.now()
	if o.Rated {
		s[metricRating].add(own, min(max(o.Rating, 0), 1), g.exposure, now)
		if own {
			g.own++
		} else {
			g.control++
		}
		p.stages[t] = g
	}
	if o.Ended {
		succeeded := 1.0
		if o.Failed {
			succeeded = 0
		}
		s[metricFailure].add(own, succeeded, g.exposure, now)
	}
	if o.Latency > 0 {
		s[metricLatency].add(own, -math.Log(o.Latency.Seconds()), g.exposure, now)
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
	for m, measure := range measures() {
		s[m].measure = measure
	}
	p.streams[k] = s
	return s
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
				p.forgetDoubt(t)
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

// forgetDoubt drops the recent evidence about t, so that each stage is judged by its own.
func (p *Promoter) forgetDoubt(t identifier.Target) {
	for k, s := range p.streams {
		if k.target != t {
			continue
		}
		for m := range s {
			s[m].recent = [scales]float64{}
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
	value, doubt, reason := p.against(t)
	age := p.now().Sub(g.since)
	event := interpreter.Event("")
	switch {
	case value >= 1/falseRollback:
		event = EventBad
	case doubt >= retreat && current.retreats:
		event, reason = EventDoubt, "doubt: "+reason
	case v.Paused:
	case doubt > suspicion && current.state != StateCanary || value > suspicion:
		// The canary grows despite recent doubt: at its exposure the certain test would take most of a day.
	case current.state == StateNew:
		event, reason = EventStart, "rollout starts"
	case g.pairs() < current.pairs || age < current.least:
	case current.last:
		event, reason = EventConfirm, fmt.Sprintf("no worse for %s in the last stage", current.least)
	default:
		event, reason = EventEvidence, fmt.Sprintf("no worse in %d rated pairs", g.pairs())
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
		if event == EventDoubt {
			p.counters.retreated++
		} else {
			p.counters.grown++
		}
	}
	return c, true
}

// against returns the evidence that t is worse, the recent doubt and the main reason. The mean over metrics and kinds of
// always-valid evidence is always-valid itself, so that many kinds do not add up to a false rollback.
func (p *Promoter) against(t identifier.Target) (value, doubt float64, reason string) {
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
			e := &p.streams[k][m]
			value += e.value() / float64(len(keys)*int(metricCount))
			doubt += e.doubt() / float64(len(keys)*int(metricCount))
			if v := e.value() + e.doubt(); v > most {
				most, reason = v, fmt.Sprintf("worse %s of kind %s", m, k.kind)
			}
		}
	}
	return value, doubt, reason
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

// RolloutState is one row of the state dump.
type RolloutState struct {
	Target   identifier.Target `json:"target"`
	Exposure float64           `json:"exposure"`
	Since    time.Time         `json:"since"`
	Pairs    int               `json:"pairs"`
	Evidence float64           `json:"evidence"`
	Doubt    float64           `json:"doubt"`
}

// State returns []RolloutState, ordered by target.
func (p *Promoter) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]RolloutState, 0, len(p.stages))
	for t, g := range p.stages {
		value, doubt, _ := p.against(t)
		rows = append(rows, RolloutState{t, g.exposure, g.since, g.pairs(), value, doubt})
	}
	slices.SortFunc(rows, func(a, b RolloutState) int { return strings.Compare(a.Target.String(), b.Target.String()) })
	return rows
}
