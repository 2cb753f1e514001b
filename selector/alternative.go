package selector

import (
	"cmp"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Alternatives returns the serving versions that may answer the request when others refuse it, the cheapest first. Each meets
// the quality target by itself, and its price, multiplied by the current price factor, is at most the worth of the answer; a
// rank without a worth sets no such limit. A query with a session has no alternatives, because a session keeps its version.
func (s *Selector) Alternatives(cfg *configurer.Configuration, q Query) []identifier.Target {
	if q.Session != "" {
		return nil
	}
	if q.Now.IsZero() {
		q.Now = s.now()
	}
	p := s.plan(cfg, &q)
	if p.err != nil {
		return nil
	}
	type priced struct {
		target identifier.Target
		price  float64
	}
	affordable := make([]priced, 0, p.singleCount)
	factor := s.priceFactor()
	for i := range p.singleCount {
		o := &p.options[i]
		price := o.price(float64(q.PromptTokens), float64(q.MaxTokens))
		if o.quality >= q.WorkKind.QualityTarget && (p.worth == 0 || factor*price <= p.worth) {
			affordable = append(affordable, priced{o.target, price})
		}
	}
	slices.SortStableFunc(affordable, func(a, b priced) int { return cmp.Compare(a.price, b.price) })
	targets := make([]identifier.Target, len(affordable))
	for i := range affordable {
		targets[i] = affordable[i].target
	}
	return targets
}
