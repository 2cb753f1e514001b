package selector

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// evidence is what the estimator knows about one target and kind.
type evidence struct {
	quality, deviation, ratings float64
	// short is the share of answers below the kind's target, and above the mean rating of the others.
	short, above float64
	// changes counts the assumed changes of the quality.
	changes int64
}

// evidenceKey identifies evidence within one refresh.
type evidenceKey struct {
	kind   identifier.WorkKind
	target identifier.Target
}

// evidence asks the estimator once per refresh, since all client accounts share its answer; s.mu is held.
func (s *Selector) evidence(kind *configurer.WorkKind, t identifier.Target, v *configurer.Version) evidence {
	if s.estimator == nil {
		return evidence{quality: v.PriorQuality}
	}
	key := evidenceKey{kind.Name, t}
	if e, ok := s.known[key]; ok {
		return e
	}
	var e evidence
	e.quality, e.deviation, e.ratings = s.estimator.Quality(kind.Name, t)
	e.short, e.above = s.estimator.ShareBelow(kind.Name, t, kind.QualityTarget)
	e.changes = s.estimator.QualityChanges(kind.Name, t)
	s.known[key] = e
	return e
}

// control is the part of a plan that outlives the plan: what was requested and selected so far.
type control struct {
	// base is the quality target with its margin, and lambda the price of quality of the last plan.
	base, lambda float64
	sizes        sizes
	// frozen counts the decisions before a change, and frozenDeficit sums their missed quality; Selector.mu guards these, base,
	// lambda and steeredAt.
	frozen, frozenDeficit float64
	steeredAt             time.Time
	// entries count the decisions per option; only the holder of Selector.mu changes the list.
	entries []*entry
}

// entry counts the decisions for one option, whose quality is estimated anew at each refresh.
type entry struct {
	target, next identifier.Target
	quality      float64
	// deviation is the standard deviation of quality.
	deviation float64
	selected  atomic.Int64
	// settled is the part of selected that is included in weight; weight excludes the decisions before a change.
	settled int64
	weight  float64
	// recent is the part of weight whose decisions may be later than a change that is only now noticed.
	recent  float64
	changes int64
}

// entry returns the entry of o with its quality updated.
func (c *control) entry(o *option) *entry {
	var next identifier.Target
	if o.cascade != nil {
		next = o.cascade[0]
	}
	i := slices.IndexFunc(c.entries, func(e *entry) bool { return e.target == o.target && e.next == next })
	if i < 0 {
		i = len(c.entries)
		c.entries = append(c.entries, &entry{target: o.target, next: next})
	}
	c.entries[i].revalue(c, &o.evidence)
	return c.entries[i]
}

// revalue gives the decisions of e the value of the current estimate.
func (e *entry) revalue(c *control, v *evidence) {
	if e.changes != v.changes {
		// Decisions before a change keep the value they had: the version was as good as it seemed when they were made.
		frozen := e.weight - e.recent
		c.frozen += frozen
		c.frozenDeficit += frozen * (c.base - e.quality)
		e.weight, e.changes = e.recent, v.changes
	}
	e.quality, e.deviation = v.quality, v.deviation
}

// revalue updates the entries whose options the plan no longer compares; the answers they gave count all the same.
func (s *Selector) revalue(cfg *configurer.Configuration, p *plan) {
	for _, e := range p.control.entries {
		if s.estimator == nil || slices.Contains(p.entries, e) || slices.Contains(p.tried, e) {
			continue
		}
		low := cfg.Version(e.target)
		if low == nil {
			continue
		}
		v := s.evidence(p.kind, e.target, low)
		if e.next != (identifier.Target{}) {
			high := cfg.Version(e.next)
			if high == nil {
				continue
			}
			next := s.evidence(p.kind, e.next, high)
			v = cascaded(&v, &next)
		}
		e.revalue(p.control, &v)
	}
}

// cascaded returns the evidence about a cascade of low and high.
func cascaded(low, high *evidence) evidence {
	// The quality of a cascade depends little on the shortfall of its first step, whose short answers are replaced.
	gain := 0.0
	if span := low.above - low.quality; span > 0 {
		gain = low.short * (low.above - high.quality) / span
	}
	return evidence{
		quality:   (1-low.short)*low.above + low.short*high.quality,
		deviation: math.Hypot(gain*low.deviation, low.short*high.deviation),
		ratings:   low.ratings, changes: low.changes + high.changes,
	}
}
