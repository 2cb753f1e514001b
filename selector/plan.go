package selector

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// explorationShare is the share of requests that may be sent to versions whose quality may be better than estimated.
	explorationShare = 0.05
	// explorationDeviations is the number of standard deviations by which exploration assumes a version to be better than
	// estimated.
	explorationDeviations = 2
	// targetMargin is the relative addition to the quality target. It compensates for the upward bias of the estimates of selected
	// versions: a version whose ratings happened to be good is selected more often.
	targetMargin = 0.002
	// maxRatingCostShare bounds the cost of the requested ratings relative to the cost of the answers whose version is selected by
	// quality.
	maxRatingCostShare = 0.02
	// goalDeviations is the number of standard deviations of the mean quality of the past answers that is added to the quality
	// goal. Without the addition every second day ends below the target.
	goalDeviations = 1
	// maxUncertaintyMargin bounds that addition, because paying for more quality before ratings arrive costs more than correcting
	// a deficit later.
	maxUncertaintyMargin = 0.004
	// maxGoalCorrection bounds the correction of the goal for a past deficit or surplus of quality.
	maxGoalCorrection = 0.015
	// minCorrectionRequests is the number of requests over which a new plan corrects a deficit.
	minCorrectionRequests = 200
	// changeDetectionHalfLife is the half-life of decisions in recentWeight: the older a decision, the more likely it was made
	// before a quality change that is detected now.
	changeDetectionHalfLife = 20 * time.Minute
	// deficitHalfLife is the half-life of past decisions in the deficit. It is long enough for the mean quality of a work kind to
	// meet the target over some days, and lets recent decisions still move the goal of a process that has run for long.
	deficitHalfLife = 72 * time.Hour
	// maxLambdaFactor bounds the price of quality relative to the one that meets the goal on the hull for requests of the mean size.
	maxLambdaFactor = 3
	// perToken converts prices per million tokens to prices per token.
	perToken = 1e-6
)

// planKey identifies the requests that share one plan.
type planKey struct {
	account identifier.ClientAccount
	kind    identifier.WorkKind
	model   identifier.Model
}

// option is a version that may answer a request, or a cascade of two versions.
type option struct {
	target identifier.Target
	// inputPrice and outputPrice are the expected prices per token.
	inputPrice, outputPrice float64
	evidence
	// exposure is the share of sessions that may use the option; it is 1 for a serving version.
	exposure float64
	// salt makes the choice of the exposed sessions independent between versions.
	salt uint64
	// cascade holds the second version of a cascade, and is nil for a single version.
	cascade []identifier.Target
	// ratingPrice is the price of rating the first answer of a cascade.
	ratingPrice float64
}

// price returns the expected cost of one request with the given token counts.
func (o *option) price(prompt, completion float64) float64 {
	return o.inputPrice*prompt + o.outputPrice*completion + o.ratingPrice
}

// plan holds the options and the price of quality for the requests of one key; it is immutable except for control and the stats.
type plan struct {
	err     error
	options []option
	// candidates are the candidate versions, which answer only the sessions of their exposure.
	candidates []option
	// optionStats and candidateStats are parallel to options and candidates.
	optionStats, candidateStats []*optionStats
	// singleCount is the number of single versions, which precede the cascades in options.
	singleCount int
	// bestIndex is the index of the single version with the highest quality, or -1.
	bestIndex int
	// targetReachable is set when the quality of that version meets the target.
	targetReachable bool
	// worth is the worth of an answer at the rank of the work kind, or 0.
	worth   float64
	control *controlState
	// goal is the corrected quality target, and lambda the price of one unit of quality at which the requests meet it.
	goal, lambda float64
	// meanTokens holds the mean number of prompt tokens and of completion tokens of the requests.
	meanTokens [2]float64
	account    *configurer.ClientAccount
	kind       *configurer.WorkKind
}

// listVersions returns the serving and the candidate versions that the plan may use, or the error that Cheapest returns.
func (s *Selector) listVersions(cfg *configurer.Configuration, q *Query) (serving, candidates []option, err error) {
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
			o := option{target: t, inputPrice: v.InputPrice * perToken, outputPrice: v.OutputPrice * perToken, exposure: 1}
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

// buildPlan returns the plan of one key; control is that of the previous plan, or a new one.
func (s *Selector) buildPlan(cfg *configurer.Configuration, q *Query, control *controlState) *plan {
	p := &plan{control: control, account: q.ClientAccount, kind: q.WorkKind, bestIndex: -1}
	serving, candidates, err := s.listVersions(cfg, q)
	if err != nil {
		p.err = err
		return p
	}
	if r := cfg.RankIndex(q.WorkKind.Rank); r >= 0 {
		p.worth = cfg.Ranks[r].Worth
	}
	requests := control.sizes.list()
	if len(requests) == 0 {
		requests = append(requests, requestSize{
			prompt: float64(q.PromptTokens), output: float64(q.MaxTokens), cascadeAllowed: s.isCascadeAllowed(cfg, q),
		})
	}
	p.meanTokens = meanTokens(requests)
	p.options, p.candidates = serving, candidates
	p.singleCount = len(serving)
	for i := range p.options {
		if p.bestIndex < 0 || p.options[i].quality > p.options[p.bestIndex].quality {
			p.bestIndex = i
		}
	}
	target := q.WorkKind.QualityTarget
	// Only serving versions count here: a candidate answers just a share of the sessions and cannot meet the target for all.
	p.targetReachable = p.bestIndex >= 0 && p.options[p.bestIndex].quality >= target
	if s.estimator != nil && !q.WorkKind.NonIdempotent {
		p.options = append(p.options, s.cascades(p)...)
	}
	for i := range p.options {
		p.optionStats = append(p.optionStats, control.statsFor(&p.options[i]))
	}
	for i := range p.candidates {
		p.candidateStats = append(p.candidateStats, control.statsFor(&p.candidates[i]))
	}
	goal := target
	if s.estimator != nil {
		goal *= 1 + targetMargin
	}
	s.updateOtherStats(cfg, p)
	if p.singleCount > 0 {
		p.updateGoal(goal, q.Now, requests, s.clampedPriceFactor())
	}
	return p
}

// updateGoal corrects the goal for past decisions and sets the price of quality at which the given requests meet it.
func (p *plan) updateGoal(goal float64, now time.Time, requests []requestSize, priceFactor float64) {
	c := p.control
	recentDecay, deficitDecay := 1.0, 1.0
	c.baseGoal = goal
	if !c.goalUpdatedAt.IsZero() {
		recentDecay = math.Exp2(-float64(now.Sub(c.goalUpdatedAt)) / float64(changeDetectionHalfLife))
		deficitDecay = math.Exp2(-float64(now.Sub(c.goalUpdatedAt)) / float64(deficitHalfLife))
	}
	c.goalUpdatedAt = now
	c.frozenWeight *= deficitDecay
	c.frozenDeficit *= deficitDecay
	totalWeight, deficit, variance := 0.0, 0.0, 0.0
	for _, st := range c.stats {
		selections := st.selectionCount.Load()
		st.weight = st.weight*deficitDecay + float64(selections-st.countedSelections)
		st.recentWeight = min(st.recentWeight*recentDecay+float64(selections-st.countedSelections), st.weight)
		st.countedSelections = selections
		totalWeight += st.weight
		variance += st.weight * st.weight * st.deviation * st.deviation
		deficit += st.weight * (goal - st.quality)
	}
	if totalWeight > 0 {
		uncertaintyMargin := min(goalDeviations*math.Sqrt(variance)/totalWeight, maxUncertaintyMargin)
		goal += uncertaintyMargin
		deficit += uncertaintyMargin * totalWeight
	}
	totalWeight += c.frozenWeight
	deficit += c.frozenDeficit
	// The deficit is corrected over the next requests, a quarter as many as so far, plus a minimum that damps the correction in the
	// first minutes.
	goal += min(max(deficit/(totalWeight/4+minCorrectionRequests), -maxGoalCorrection), maxGoalCorrection)
	p.goal = goal
	// The hull is that of the mean size, but the sizes of requests vary, so the price of quality may be above that of the hull.
	maxLambda := maxLambdaFactor * hullLambda(hull(p.options[:p.singleCount], p.meanTokens), goal)
	p.lambda = p.findLambda(requests, priceFactor, goal, maxLambda, c.lambda)
	c.lambda = p.lambda
}
