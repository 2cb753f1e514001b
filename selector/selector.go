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
	// refreshInterval is the default age at which plans are rebuilt from the estimates.
	refreshInterval = time.Second
	// spread is the relative width of the price of quality over sessions; it splits sessions between two versions whose
	// mixture meets the target.
	spread = 0.1
	// maxPlans bounds the memory for plans.
	maxPlans = 1 << 16
)

// snapshot holds the plans of one configuration; it is replaced, never changed.
type snapshot struct {
	cfg       *configurer.Configuration
	refreshAt time.Time
	plans     map[planKey]*plan
}

// Selector selects versions; it is safe for concurrent use.
type Selector struct {
	estimator   *estimator.Estimator
	priceFactor func() float64
	now         func() time.Time
	ratingPrice float64
	ratingDelay time.Duration
	refreshing  time.Duration

	current  atomic.Pointer[snapshot]
	sequence atomic.Uint64

	mu       sync.Mutex
	controls map[planKey]*control
	known    map[evidenceKey]evidence

	decisions, explored, exposed, cascaded, unreachable, rebuilt atomic.Int64
}

// New returns a selector without plans; the first query of each kind builds its plan.
func New(opts ...Option) *Selector {
	s := &Selector{
		priceFactor: func() float64 { return 1 }, now: time.Now, ratingDelay: 2 * time.Second, refreshing: refreshInterval,
		controls: map[planKey]*control{}, known: map[evidenceKey]evidence{},
	}
	for _, o := range opts {
		o(s)
	}
	s.current.Store(&snapshot{})
	return s
}

// Select returns the target with the lowest real cost at which the mean quality of the account's requests of the kind
// meets the target. It returns ErrUnknownModel, ErrNotAllowed, ErrNoVersion or ErrWithdrawn. When no version meets the target
// it returns the best one with ReasonUnreachable.
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
			s.plan(cfg, &q).count(&q)
		}
		return d, err
	}
	p := s.plan(cfg, &q)
	if p.err != nil {
		return Decision{}, p.err
	}
	return s.decide(cfg, p, &q)
}

// count enters a request that follows its session in the control, because its answer counts towards the target like any other.
func (p *plan) count(q *Query) {
	p.control.sizes.add(float64(q.PromptTokens), float64(q.MaxTokens), false)
	for i := range p.entries {
		if o := &p.options[i]; o.target == q.Pinned && o.cascade == nil {
			p.entries[i].selected.Add(1)
			return
		}
	}
	for i := range p.candidates {
		if p.candidates[i].target == q.Pinned {
			p.tried[i].selected.Add(1)
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

// plan returns the current plan of the query's key.
func (s *Selector) plan(cfg *configurer.Configuration, q *Query) *plan {
	key := planKey{q.ClientAccount.Name, q.WorkKind.Name, q.Model}
	snap := s.current.Load()
	if snap.cfg == cfg {
		p, ok := snap.plans[key]
		if ok && q.Now.Before(snap.refreshAt) {
			return p
		}
		// One goroutine refreshes; the others go on with plans that are slightly older.
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

// refresh installs a snapshot that contains the plan of key, and returns that plan; s.mu is held.
func (s *Selector) refresh(cfg *configurer.Configuration, key planKey, q *Query) *plan {
	s.rebuilt.Add(1)
	clear(s.known)
	snap := s.current.Load()
	next := &snapshot{cfg: cfg, refreshAt: snap.refreshAt, plans: make(map[planKey]*plan, len(snap.plans)+1)}
	switch {
	case snap.cfg == cfg && q.Now.Before(snap.refreshAt):
		for k, p := range snap.plans {
			next.plans[k] = p
		}
	case snap.cfg == cfg:
		next.refreshAt = q.Now.Add(s.refreshing)
		for k, p := range snap.plans {
			next.plans[k] = s.build(cfg, &Query{
				ClientAccount: p.account, WorkKind: p.kind, Model: k.model,
				PromptTokens: int(p.reference[0]), MaxTokens: int(p.reference[1]), Now: q.Now,
			}, p.control)
		}
	default:
		next.refreshAt = q.Now.Add(s.refreshing)
		for k := range s.controls {
			// Controls of removed accounts, kinds and models would accumulate over thousands of changes a day.
			if cfg.ClientAccount(k.account) == nil || cfg.WorkKind(k.kind) == nil {
				delete(s.controls, k)
			}
		}
	}
	p, ok := next.plans[key]
	if !ok {
		c, known := s.controls[key]
		if !known {
			c = &control{}
		}
		p = s.build(cfg, q, c)
		// A caller may name any number of unknown models; only valid plans are kept.
		if errors.Is(p.err, ErrUnknownModel) || len(next.plans) >= maxPlans {
			return p
		}
		s.controls[key] = c
		next.plans[key] = p
	}
	s.current.Store(next)
	return p
}

// decide compares the options of p for one request.
func (s *Selector) decide(cfg *configurer.Configuration, p *plan, q *Query) (Decision, error) {
	u := s.draw(q)
	prompt, output := float64(q.PromptTokens), float64(q.MaxTokens)
	w := s.weights(p, u)
	fits := len(p.options) > p.singles && s.cascadeFits(cfg, q)
	p.control.sizes.add(prompt, output, fits)
	best, reason := s.compare(p, fits, w, prompt, output)
	if explore := mix(u ^ 0x9e3779b97f4a7c15); s.estimator != nil && unit(explore) < explorationShare {
		if i := explorable(p, best, w, prompt, output); i >= 0 {
			best, reason = i, ReasonExploration
			s.explored.Add(1)
		}
	}
	var chosen *option
	if best >= 0 {
		chosen = &p.options[best]
	}
	if i := exposedCandidate(p, chosen, u, w, prompt, output); i >= 0 {
		candidate := &p.candidates[i]
		s.exposed.Add(1)
		p.tried[i].selected.Add(1)
		return Decision{Target: candidate.target, Reason: ReasonExposure}, nil
	}
	if chosen == nil {
		return Decision{}, ErrNoVersion
	}
	p.entries[best].selected.Add(1)
	if chosen.cascade != nil {
		s.cascaded.Add(1)
	}
	d := Decision{Target: chosen.target, Cascade: chosen.cascade, Reason: reason}
	if chosen.cascade == nil && s.estimator != nil && p.lambda > 0 {
		// A rating without a price is always worth it.
		d.NeedsRating = unit(mix(u^0x51ed270b9f1a3c5d))*s.ratingPrice < ratingBudget*chosen.price(prompt, output)
	}
	return d, nil
}

// compare returns the index of the option with the lowest score, or -1 without options.
func (s *Selector) compare(p *plan, fits bool, w weights, prompt, output float64) (int, string) {
	if !p.reachable {
		if p.best >= 0 {
			s.unreachable.Add(1)
		}
		return p.best, ReasonUnreachable
	}
	n := p.singles
	if fits {
		n = len(p.options)
	}
	best := cheapest(p.options[:n], w, prompt, output)
	switch {
	case n == 1 && len(p.candidates) == 0:
		return best, ReasonOnly
	case p.options[best].cascade != nil:
		return best, ReasonCascade
	}
	return best, ReasonCheapest
}

// cascadeFits reports whether two runs and a rating between them end before the deadline at the rank's target speed. A
// session keeps its version, so a cascade is only for requests without one.
func (s *Selector) cascadeFits(cfg *configurer.Configuration, q *Query) bool {
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

// explorable returns the single option that would beat best if it were as good as its uncertainty permits, or -1.
func explorable(p *plan, best int, w weights, prompt, output float64) int {
	if best < 0 {
		return -1
	}
	found, bestScore := -1, w.cost*p.options[best].price(prompt, output)-w.quality*p.options[best].quality
	for i := range p.singles {
		o := &p.options[i]
		score := w.cost*o.price(prompt, output) - w.quality*min(1, o.quality+optimism*o.deviation)
		if i != best && score < bestScore {
			found, bestScore = i, score
		}
	}
	return found
}

// exposedCandidate returns the index of the candidate version that replaces chosen for this session, or -1. A candidate
// replaces versions of its own model; a candidate of a model without serving version competes by its score.
func exposedCandidate(p *plan, chosen *option, u uint64, w weights, prompt, output float64) int {
	found, bestScore := -1, math.Inf(1)
	chosenScore := math.Inf(1)
	if chosen != nil {
		chosenScore = w.cost*chosen.price(prompt, output) - w.quality*chosen.quality
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		if unit(mix(u^c.salt)) >= c.exposure {
			continue
		}
		score := w.cost*c.price(prompt, output) - w.quality*c.quality
		own := chosen != nil && c.target.Model == chosen.target.Model
		if !own && (p.serves(c.target.Model) || score >= chosenScore) || score >= bestScore {
			continue
		}
		found, bestScore = i, score
	}
	return found
}

// serves reports whether the plan has a serving version of the model.
func (p *plan) serves(m identifier.Model) bool {
	for i := range p.singles {
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

// PlanState is one row of the state dump.
type PlanState struct {
	ClientAccount  identifier.ClientAccount `json:"client-account"`
	WorkKind       identifier.WorkKind      `json:"work-kind"`
	Model          identifier.Model         `json:"model"`
	PriceOfQuality float64                  `json:"price-of-quality"`
	Goal           float64                  `json:"goal"`
	Options        int                      `json:"options"`
	Candidates     int                      `json:"candidates"`
}

// State returns []PlanState of the current snapshot, in no particular order.
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
