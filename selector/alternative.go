package selector

import (
	"cmp"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Alternatives returns the serving versions that may answer the request when others refuse it, the cheapest first. Each meets
// the quality target by itself and costs no more, at the present price factor, than the answer is worth; a rank without a
// stated worth sets no such limit. A query with a session has none, because a session keeps its version.
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
	found := make([]priced, 0, p.singles)
	factor := s.priceFactor()
	for i := range p.singles {
		o := &p.options[i]
		price := o.price(float64(q.PromptTokens), float64(q.MaxTokens))
		if o.quality >= q.WorkKind.QualityTarget && (p.worth == 0 || factor*price <= p.worth) {
			found = append(found, priced{o.target, price})
		}
	}
	slices.SortStableFunc(found, func(a, b priced) int { return cmp.Compare(a.price, b.price) })
	targets := make([]identifier.Target, len(found))
	for i := range found {
		targets[i] = found[i].target
	}
	return targets
}
