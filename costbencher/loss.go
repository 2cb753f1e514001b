package costbencher

import "github.com/siskinfront/siskinfront/selector"

// loss splits the cost above the optimum of one kind by its cause. The sum of the parts is that cost.
type loss struct {
	// choice and exploration are what the chosen versions cost above the best one at the optimum's price of quality, for
	// the decisions by estimate and for those to learn.
	choice, exploration float64
	// ratings is the cost of ratings outside cascades.
	ratings float64
	// surplus is the quality above the target at the optimum's price of quality; it is negative for a deficit.
	surplus float64
}

// decision is one request as it was served.
type decision struct {
	reason        string
	cost, quality float64
	// rating is the part of the cost that paid for a rating outside a cascade.
	rating float64
}

// losses splits the cost of the decisions, which are parallel to the requests of the day, per kind.
func (w *world) losses(decisions []decision, prices [][]float64) []loss {
	losses := make([]loss, len(w.cfg.WorkKinds))
	type key struct {
		kind, account int
		late          bool
	}
	known := map[key][]choice{}
	for i := range decisions {
		d, r := &decisions[i], &w.requests[i]
		k := key{r.kind, r.account, !r.at.Before(w.midday)}
		choices, ok := known[k]
		if !ok {
			choices = w.choices(r.kind, r.account, r.at)
			known[k] = choices
		}
		price := prices[r.kind][r.account]
		cost, quality := w.best(r, choices, price)
		l := &losses[r.kind]
		part := &l.choice
		if d.reason == selector.ReasonExploration {
			part = &l.exploration
		}
		*part += d.cost - d.rating - cost - price*(d.quality-quality)
		l.ratings += d.rating
		l.surplus += price * (d.quality - w.cfg.WorkKinds[r.kind].QualityTarget)
	}
	return losses
}
