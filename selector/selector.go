package selector

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// defaultRefreshInterval is the default age at which plans are rebuilt from current estimates.
	defaultRefreshInterval = time.Second
	// lambdaSpread is the relative width of the range of the price of quality over sessions. The differences split the sessions
	// between two versions whose mixture meets the target.
	lambdaSpread = 0.1
	// maxPlans bounds the number of plans, and so their memory.
	maxPlans = 1 << 16
)

// snapshot holds the plans for one configuration; it is immutable.
type snapshot struct {
	cfg       *configurer.Configuration
	refreshAt time.Time
	plans     map[planKey]*plan
}

// Selector selects versions; it is safe for concurrent use.
type Selector struct {
	estimator       *estimator.Estimator
	priceFactor     func() float64
	now             func() time.Time
	ratingPrice     float64
	ratingDelay     time.Duration
	refreshInterval time.Duration

	current  atomic.Pointer[snapshot]
	sequence atomic.Uint64

	mu            sync.Mutex
	controls      map[planKey]*controlState
	evidenceCache map[evidenceKey]evidence

	decisions, explored, exposed, cascaded, unreachable, rebuilt atomic.Int64
}

// New returns a selector without plans; the first query of each kind builds its plan.
func New(opts ...Option) *Selector {
	s := &Selector{
		priceFactor: func() float64 { return 1 }, now: time.Now, ratingDelay: 2 * time.Second, refreshInterval: defaultRefreshInterval,
		controls: map[planKey]*controlState{}, evidenceCache: map[evidenceKey]evidence{},
	}
	for _, o := range opts {
		o(s)
	}
	s.current.Store(&snapshot{})
	return s
}

// Select returns the target with the lowest real cost at which the mean quality of the client account's requests of the work kind
// meets the quality target. When no version meets it, Select returns the best one with ReasonUnreachable. The error is
// ErrUnknownModel, ErrNotAllowed, ErrNoVersion or ErrWithdrawn.
func (s *Selector) Select(cfg *configurer.Configuration, q Query) (Decision, error) {
	s.decisions.Add(1)
	if q.Now.IsZero() {
		q.Now = s.now()
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = q.WorkKind.MaxTokens
	}
	if q.Pinned != (identifier.Target{}) {
		d, err := pinned(cfg, &q)
		if err == nil {
			s.plan(cfg, &q).countPinned(&q)
		}
		return d, err
	}
	p := s.plan(cfg, &q)
	if p.err != nil {
		return Decision{}, p.err
	}
	return s.decide(cfg, p, &q)
}

// countPinned records a request to the pinned version of its session, because its answer counts towards the quality target like
// any other.
func (p *plan) countPinned(q *Query) {
	p.control.sizes.add(float64(q.PromptTokens), float64(q.MaxTokens), false)
	for i := range p.optionStats {
		if o := &p.options[i]; o.target == q.Pinned && o.cascade == nil {
			p.optionStats[i].selectionCount.Add(1)
			return
		}
	}
	for i := range p.candidates {
		if p.candidates[i].target == q.Pinned {
			p.candidateStats[i].selectionCount.Add(1)
			return
		}
	}
}

func pinned(cfg *configurer.Configuration, q *Query) (Decision, error) {
	v := cfg.Version(q.Pinned)
	switch {
	case v == nil || v.State == configurer.VersionWithdrawn:
		return Decision{}, ErrWithdrawn
	case !q.ClientAccount.Allows(q.Pinned):
		return Decision{}, ErrNotAllowed
	}
	return Decision{Target: q.Pinned, Reason: ReasonPinned}, nil
}

// plan returns the current plan for the query, building it if needed.
func (s *Selector) plan(cfg *configurer.Configuration, q *Query) *plan {
	key := planKey{q.ClientAccount.Name, q.WorkKind.Name, q.Model}
	snap := s.current.Load()
	if snap.cfg == cfg {
		p, ok := snap.plans[key]
		if ok && q.Now.Before(snap.refreshAt) {
			return p
		}
		// One goroutine refreshes the plans; the others continue with the previous ones.
		if ok && !s.mu.TryLock() {
			return p
		}
		if !ok {
			s.mu.Lock()
		}
	} else {
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	return s.refresh(cfg, key, q)
}

// refresh installs a snapshot that contains the plan of key, and returns that plan; s.mu must be held.
func (s *Selector) refresh(cfg *configurer.Configuration, key planKey, q *Query) *plan {
	s.rebuilt.Add(1)
	clear(s.evidenceCache)
	snap := s.current.Load()
	next := &snapshot{cfg: cfg, refreshAt: snap.refreshAt, plans: make(map[planKey]*plan, len(snap.plans)+1)}
	switch {
	case snap.cfg == cfg && q.Now.Before(snap.refreshAt):
		for k, p := range snap.plans {
			next.plans[k] = p
		}
	case snap.cfg == cfg:
		next.refreshAt = q.Now.Add(s.refreshInterval)
		for k, p := range snap.plans {
			next.plans[k] = s.buildPlan(cfg, &Query{
				ClientAccount: p.account, WorkKind: p.kind, Model: k.model,
				PromptTokens: int(p.meanTokens[0]), MaxTokens: int(p.meanTokens[1]), Now: q.Now,
			}, p.control)
		}
	default:
		next.refreshAt = q.Now.Add(s.refreshInterval)
		for k := range s.controls {
			// Without removal, the controls of removed client accounts and work kinds would accumulate over thousands of
			// configuration changes a day.
			if cfg.ClientAccount(k.account) == nil || cfg.WorkKind(k.kind) == nil {
				delete(s.controls, k)
			}
		}
	}
	p, ok := next.plans[key]
	if !ok {
		control, found := s.controls[key]
		if !found {
			control = &controlState{}
		}
		p = s.buildPlan(cfg, q, control)
		// Plans of unknown models are not kept, because callers may name any number of them.
		if errors.Is(p.err, ErrUnknownModel) || len(next.plans) >= maxPlans {
			return p
		}
		s.controls[key] = control
		next.plans[key] = p
	}
	s.current.Store(next)
	return p
}

// decide selects one of the options and candidates of p for a request and counts the decision.
func (s *Selector) decide(cfg *configurer.Configuration, p *plan, q *Query) (Decision, error) {
	hash := s.requestHash(q)
	prompt, output := float64(q.PromptTokens), float64(q.MaxTokens)
	w := s.requestWeights(p, hash)
	cascadeAllowed := len(p.options) > p.singleCount && s.isCascadeAllowed(cfg, q)
	p.control.sizes.add(prompt, output, cascadeAllowed)
	best, reason := s.bestOption(p, cascadeAllowed, w, prompt, output)
	if explorationHash := splitMix64(hash ^ 0x9e3779b97f4a7c15); s.estimator != nil &&
		unitInterval(explorationHash) < explorationShare {
		if i := explorationOption(p, best, w, prompt, output); i >= 0 {
			best, reason = i, ReasonExploration
			s.explored.Add(1)
		}
	}
	var chosen *option
	if best >= 0 {
		chosen = &p.options[best]
	}
	if i := exposedCandidate(p, chosen, hash, w, prompt, output); i >= 0 {
		candidate := &p.candidates[i]
		s.exposed.Add(1)
		p.candidateStats[i].selectionCount.Add(1)
		return Decision{Target: candidate.target, Reason: ReasonExposure}, nil
	}
	if chosen == nil {
		return Decision{}, ErrNoVersion
	}
	p.optionStats[best].selectionCount.Add(1)
	if chosen.cascade != nil {
		s.cascaded.Add(1)
	}
	d := Decision{Target: chosen.target, Cascade: chosen.cascade, Reason: reason}
	if chosen.cascade == nil && s.estimator != nil && p.lambda > 0 {
		// A rating that costs nothing is always requested.
		d.NeedsRating = unitInterval(splitMix64(hash^0x51ed270b9f1a3c5d))*s.ratingPrice <
			maxRatingCostShare*chosen.price(prompt, output)
	}
	return d, nil
}

// bestOption returns the index of the option with the lowest score, or of the one with the highest quality when the target is not
// reachable, and the reason. The index is -1 without options.
func (s *Selector) bestOption(p *plan, cascadeAllowed bool, w scoreWeights, prompt, output float64) (int, string) {
	if !p.targetReachable {
		if p.bestIndex >= 0 {
			s.unreachable.Add(1)
		}
		return p.bestIndex, ReasonUnreachable
	}
	n := p.singleCount
	if cascadeAllowed {
		n = len(p.options)
	}
	best := indexOfLowestScore(p.options[:n], w, prompt, output)
	switch {
	case n == 1 && len(p.candidates) == 0:
		return best, ReasonOnly
	case p.options[best].cascade != nil:
		return best, ReasonCascade
	}
	return best, ReasonCheapest
}

// isCascadeAllowed reports whether two runs and a rating between them end before the deadline at the rank's target speed. A
// request with a session allows no cascade, because the session keeps its version.
func (s *Selector) isCascadeAllowed(cfg *configurer.Configuration, q *Query) bool {
	if q.Session != "" || q.Deadline.IsZero() {
		return false
	}
	r := cfg.RankIndex(q.WorkKind.Rank)
	if r < 0 {
		return false
	}
	run := cfg.Ranks[r].FirstToken + time.Duration(q.MaxTokens)*cfg.Ranks[r].BetweenTokens
	return q.Now.Add(2*run + s.ratingDelay).Before(q.Deadline)
}

// explorationOption returns the index of the single version that would have the lowest score, below that of best, if its quality
// were explorationDeviations above the estimate, or -1.
func explorationOption(p *plan, best int, w scoreWeights, prompt, output float64) int {
	if best < 0 {
		return -1
	}
	found, bestScore := -1, w.cost*p.options[best].price(prompt, output)-w.quality*p.options[best].quality
	for i := range p.singleCount {
		o := &p.options[i]
		score := w.cost*o.price(prompt, output) - w.quality*min(1, o.quality+explorationDeviations*o.deviation)
		if i != best && score < bestScore {
			found, bestScore = i, score
		}
	}
	return found
}

// exposedCandidate returns the index of the candidate version that replaces chosen for this session, or -1. A candidate replaces
// the serving versions of its own model; if its model has none, it replaces chosen when its score is lower.
func exposedCandidate(p *plan, chosen *option, hash uint64, w scoreWeights, prompt, output float64) int {
	found, bestScore := -1, math.Inf(1)
	chosenScore := math.Inf(1)
	if chosen != nil {
		chosenScore = w.cost*chosen.price(prompt, output) - w.quality*chosen.quality
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		if unitInterval(splitMix64(hash^c.salt)) >= c.exposure {
			continue
		}
		score := w.cost*c.price(prompt, output) - w.quality*c.quality
		sameModel := chosen != nil && c.target.Model == chosen.target.Model
		if !sameModel && (p.hasServingVersion(c.target.Model) || score >= chosenScore) || score >= bestScore {
			continue
		}
		found, bestScore = i, score
	}
	return found
}

// hasServingVersion reports whether the plan has a serving version of the model.
func (p *plan) hasServingVersion(m identifier.Model) bool {
	for i := range p.singleCount {
		if p.options[i].target.Model == m {
			return true
		}
	}
	return false
}

// Counters returns monotonic counters.
func (s *Selector) Counters() map[string]int64 {
	return map[string]int64{
		"decisions": s.decisions.Load(), "explored": s.explored.Load(), "exposed": s.exposed.Load(),
		"cascades": s.cascaded.Load(), "target-unreachable": s.unreachable.Load(), "plans-rebuilt": s.rebuilt.Load(),
	}
}

// PlanState is the state of one plan for the debugging interface.
type PlanState struct {
	ClientAccount  identifier.ClientAccount `json:"client-account"`
	WorkKind       identifier.WorkKind      `json:"work-kind"`
	Model          identifier.Model         `json:"model"`
	PriceOfQuality float64                  `json:"price-of-quality"`
	Goal           float64                  `json:"goal"`
	Options        int                      `json:"options"`
	Candidates     int                      `json:"candidates"`
}

// State returns a []PlanState with the plans of the current snapshot, in no particular order.
func (s *Selector) State() any {
	snap := s.current.Load()
	rows := make([]PlanState, 0, len(snap.plans))
	for k, p := range snap.plans {
		rows = append(rows, PlanState{
			ClientAccount: k.account, WorkKind: k.kind, Model: k.model,
			PriceOfQuality: p.lambda, Goal: p.goal,
			Options: len(p.options), Candidates: len(p.candidates),
		})
	}
	return rows
}
