package selector

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// explorationShare is the share of requests that may go to versions that could be better than estimated.
	explorationShare = 0.05
	// optimism is the number of standard deviations by which an explored version may be better than estimated.
	optimism = 2
	// margin is the relative addition to the quality target: the estimates of the selected versions are biased upwards, because a
	// version whose ratings happened to be good is selected more often.
	margin = 0.002
	// ratingBudget is the part of the cost of the answers that are chosen by quality that ratings asked for may cost.
	ratingBudget = 0.02
	// confidence is the number of standard deviations of the mean quality of the past answers by which the goal is above the
	// target. Without it every second day ends below the target.
	confidence = 1
	// mostDoubt bounds that addition: paying for quality before the ratings arrive costs more than making up for it later.
	mostDoubt = 0.004
	// catchUp bounds the correction of the target for a past deficit or surplus.
	catchUp = 0.015
	// catchUpFloor is the number of requests over which a new plan makes up for a deficit.
	catchUpFloor = 200
	// changeLag is the half-life after which a decision is taken to be earlier than a change that is only now noticed.
	changeLag = 20 * time.Minute
	// memory is the half-life of the deficit. Over some days the mean of a kind meets the target, and the deficit of a long-lived
	// process still moves the goal.
	memory = 72 * time.Hour
	// priceRange bounds the price of quality in units of that of the frontier at the mean size of requests.
	priceRange = 3
	// perMillion converts prices per million tokens.
	perMillion = 1e-6
)

// planKey identifies the requests that share one plan.
type planKey struct {
	account identifier.ClientAccount
	kind    identifier.WorkKind
	model   identifier.Model
}

// option is one version that may answer, or one cascade of two versions.
type option struct {
	target identifier.Target
	// input and output are the expected prices per token.
	input, output float64
	evidence
	// exposure is the share of sessions that may use the option: 1 for a serving version.
	exposure float64
	// salt makes the exposure of different versions independent.
	salt    uint64
	cascade []identifier.Target
	// rating is the price of rating the first answer of a cascade.
	rating float64
}

// price returns the expected cost of one request.
func (o *option) price(prompt, completion float64) float64 {
	return o.input*prompt + o.output*completion + o.rating
}

// plan is what a decision reads; it is immutable but for its control.
type plan struct {
	err     error
	options []option
	// candidates are the versions that are tried by exposure.
	candidates []option
	// entries and tried are parallel to options and candidates.
	entries, tried []*entry
	// singles is the number of leading options that are no cascades.
	singles int
	// best is the option with the highest quality.
	best      int
	reachable bool
	worth     float64
	control   *control
	// goal is the corrected quality target, and lambda the price of one unit of quality that meets it.
	goal, lambda float64
	// reference holds the mean prompt and completion tokens of the requests.
	reference [2]float64
	account   *configurer.ClientAccount
	kind      *configurer.WorkKind
}

// collect lists the versions that the plan may use; the error is that of Cheapest.
func (s *Selector) collect(cfg *configurer.Configuration, q *Query) (serving, candidates []option, err error) {
	if q.Model != identifier.ModelAuto && cfg.Model(q.Model) == nil {
		return nil, nil, ErrUnknownModel
	}
	allowed := false
	for i := range cfg.Models {
		m := &cfg.Models[i]
		if q.Model != identifier.ModelAuto && q.Model != m.Name {
			continue
		}
		for j := range m.Versions {
			v := &m.Versions[j]
			t := identifier.Target{Model: m.Name, Version: v.Name}
			if !q.ClientAccount.Allows(t) {
				continue
			}
			allowed = true
			o := option{target: t, input: v.InputPrice * perMillion, output: v.OutputPrice * perMillion, exposure: 1}
			o.evidence = s.evidence(q.WorkKind, t, v)
			switch v.State {
			case configurer.VersionServing:
				serving = append(serving, o)
			case configurer.VersionCandidate:
				o.exposure, o.salt = v.Exposure, hashTarget(t)
				if o.exposure > 0 {
					candidates = append(candidates, o)
				}
			case configurer.VersionWithdrawn:
			}
		}
	}
	switch {
	case !allowed:
		return nil, nil, ErrNotAllowed
	case len(serving)+len(candidates) == 0:
		return nil, nil, ErrNoVersion
	}
	return serving, candidates, nil
}

// build makes the plan of one key; c is the control of the previous plan, or a fresh one.
func (s *Selector) build(cfg *configurer.Configuration, q *Query, c *control) *plan {
	p := &plan{control: c, account: q.ClientAccount, kind: q.WorkKind, best: -1}
	serving, candidates, err := s.collect(cfg, q)
	if err != nil {
		p.err = err
		return p
	}
	if r := cfg.RankIndex(q.WorkKind.Rank); r >= 0 {
		p.worth = cfg.Ranks[r].Worth
	}
	list := c.sizes.list()
	if len(list) == 0 {
		list = append(list, size{prompt: float64(q.PromptTokens), output: float64(q.MaxTokens), cascade: s.cascadeFits(cfg, q)})
	}
	p.reference = mean(list)
	p.options, p.candidates = serving, candidates
	p.singles = len(serving)
	for i := range p.options {
		if p.best < 0 || p.options[i].quality > p.options[p.best].quality {
			p.best = i
		}
	}
	target := q.WorkKind.QualityTarget
	// An option that is only reached through its exposure cannot be relied on to meet the target.
	p.reachable = p.best >= 0 && p.options[p.best].quality >= target
	if s.estimator != nil && !q.WorkKind.NonIdempotent {
		p.options = append(p.options, s.cascades(p)...)
	}
	for i := range p.options {
		p.entries = append(p.entries, c.entry(&p.options[i]))
	}
	for i := range p.candidates {
		p.tried = append(p.tried, c.entry(&p.candidates[i]))
	}
	goal := target
	if s.estimator != nil {
		goal *= 1 + margin
	}
	s.revalue(cfg, p)
	if p.singles > 0 {
		p.steer(goal, q.Now, list, s.factor())
	}
	return p
}

// steer corrects the goal for past decisions and sets the price of quality at which the requests of the list meet it.
func (p *plan) steer(goal float64, now time.Time, list []size, factor float64) {
	c := p.control
	fade, keep := 1.0, 1.0
	c.base = goal
	if !c.steeredAt.IsZero() {
		fade = math.Exp2(-float64(now.Sub(c.steeredAt)) / float64(changeLag))
		keep = math.Exp2(-float64(now.Sub(c.steeredAt)) / float64(memory))
	}
	c.steeredAt = now
	c.frozen *= keep
	c.frozenDeficit *= keep
	total, deficit, variance := 0.0, 0.0, 0.0
	for _, e := range c.entries {
		n := e.selected.Load()
		e.weight = e.weight*keep + float64(n-e.settled)
		e.recent = min(e.recent*fade+float64(n-e.settled), e.weight)
		e.settled = n
		total += e.weight
		variance += e.weight * e.weight * e.deviation * e.deviation
		deficit += e.weight * (goal - e.quality)
	}
	if total > 0 {
		doubt := min(confidence*math.Sqrt(variance)/total, mostDoubt)
		goal += doubt
		deficit += doubt * total
	}
	total += c.frozen
	deficit += c.frozenDeficit
	// The deficit is made up for over the next quarter of the traffic, with a floor that damps the first minutes.
	goal += min(max(deficit/(total/4+catchUpFloor), -catchUp), catchUp)
	p.goal = goal
	// The sizes of requests spread around the reference, so the price can be above that of the frontier.
	most := priceRange * frontier(hull(p.options[:p.singles], p.reference), goal)
	p.lambda = p.price(list, factor, goal, most, c.lambda)
	c.lambda = p.lambda
}
