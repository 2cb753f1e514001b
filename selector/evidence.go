package selector

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// evidence holds the estimates for one target and work kind.
type evidence struct {
	// quality is the expected rating, deviation its standard deviation, and ratingWeight the weight of the ratings behind it.
	quality, deviation, ratingWeight float64
	// belowTargetShare is the share of answers below the kind's target, and meanAboveTarget the mean rating of the others.
	belowTargetShare, meanAboveTarget float64
	// qualityChanges counts the changes of the quality that the estimator has detected.
	qualityChanges int64
}

// evidenceKey identifies evidence within one refresh.
type evidenceKey struct {
	kind   identifier.WorkKind
	target identifier.Target
}

// evidence returns the evidence for a work kind and target. It asks the estimator once per refresh, because the result is the
// same for all client accounts. s.mu must be held.
func (s *Selector) evidence(kind *configurer.WorkKind, t identifier.Target, v *configurer.Version) evidence {
	if s.estimator == nil {
		return evidence{quality: v.PriorQuality}
	}
	key := evidenceKey{kind.Name, t}
	if e, ok := s.evidenceCache[key]; ok {
		return e
	}
	var e evidence
	e.quality, e.deviation, e.ratingWeight = s.estimator.Quality(kind.Name, t)
	e.belowTargetShare, e.meanAboveTarget = s.estimator.ShareBelow(kind.Name, t, kind.QualityTarget)
	e.qualityChanges = s.estimator.QualityChanges(kind.Name, t)
	s.evidenceCache[key] = e
	return e
}

// controlState is what is kept from one plan of a key to the next: the sizes of past requests and the selections made so far.
type controlState struct {
	// baseGoal is the quality target with its margin, and lambda the price of quality of the last plan.
	baseGoal, lambda float64
	sizes            sizeWindow
	// frozenWeight is the weight of the decisions before a quality change, and frozenDeficit the sum of the quality that they
	// lacked to reach the goal. Selector.mu guards both, baseGoal, lambda and goalUpdatedAt.
	frozenWeight, frozenDeficit float64
	goalUpdatedAt               time.Time
	// stats holds the decisions per option; Selector.mu must be held to change the list.
	stats []*optionStats
}

// optionStats counts the decisions for one option and holds its current quality estimate.
type optionStats struct {
	// target is the version, or the first one of a cascade; second is the second version of a cascade.
	target, second identifier.Target
	quality        float64
	// deviation is the standard deviation of the estimate in quality.
	deviation      float64
	selectionCount atomic.Int64
	// countedSelections is the part of selectionCount that is already included in weight. weight decays and excludes the decisions
	// before a quality change.
	countedSelections int64
	weight            float64
	// recentWeight is the part of weight whose decisions are assumed to be later than a quality change that is detected now.
	recentWeight   float64
	qualityChanges int64
}

// statsFor returns the stats of o, which it adds if needed, with the quality estimate updated.
func (c *controlState) statsFor(o *option) *optionStats {
	var second identifier.Target
	if o.cascade != nil {
		second = o.cascade[0]
	}
	i := slices.IndexFunc(c.stats, func(st *optionStats) bool { return st.target == o.target && st.second == second })
	if i < 0 {
		i = len(c.stats)
		c.stats = append(c.stats, &optionStats{target: o.target, second: second})
	}
	c.stats[i].updateEstimate(c, &o.evidence)
	return c.stats[i]
}

// updateEstimate sets the quality of the counted decisions to the current estimate. If the quality has changed, the decisions
// before the change are moved to c.frozenWeight and c.frozenDeficit.
func (st *optionStats) updateEstimate(c *controlState, estimate *evidence) {
	if st.qualityChanges != estimate.qualityChanges {
		// Decisions before the change keep the previous estimate, which described the version as it was at that time.
		frozen := st.weight - st.recentWeight
		c.frozenWeight += frozen
		c.frozenDeficit += frozen * (c.baseGoal - st.quality)
		st.weight, st.qualityChanges = st.recentWeight, estimate.qualityChanges
	}
	st.quality, st.deviation = estimate.quality, estimate.deviation
}

// updateOtherStats updates the estimates of options that the plan no longer compares; their past answers still count towards the
// quality target.
func (s *Selector) updateOtherStats(cfg *configurer.Configuration, p *plan) {
	for _, st := range p.control.stats {
		if s.estimator == nil || slices.Contains(p.optionStats, st) || slices.Contains(p.candidateStats, st) {
			continue
		}
		first := cfg.Version(st.target)
		if first == nil {
			continue
		}
		estimate := s.evidence(p.kind, st.target, first)
		if st.second != (identifier.Target{}) {
			second := cfg.Version(st.second)
			if second == nil {
				continue
			}
			secondEstimate := s.evidence(p.kind, st.second, second)
			estimate = cascadeEvidence(&estimate, &secondEstimate)
		}
		st.updateEstimate(p.control, &estimate)
	}
}

// cascadeEvidence returns the evidence for a cascade of two versions from that for each version.
func cascadeEvidence(first, second *evidence) evidence {
	// firstEffect is the change of the cascade's quality per change of the first version's quality. It is small, because the
	// second version replaces the answers below the target.
	firstEffect := 0.0
	if spread := first.meanAboveTarget - first.quality; spread > 0 {
		firstEffect = first.belowTargetShare * (first.meanAboveTarget - second.quality) / spread
	}
	return evidence{
		quality:      (1-first.belowTargetShare)*first.meanAboveTarget + first.belowTargetShare*second.quality,
		deviation:    math.Hypot(firstEffect*first.deviation, first.belowTargetShare*second.deviation),
		ratingWeight: first.ratingWeight, qualityChanges: first.qualityChanges + second.qualityChanges,
	}
}
