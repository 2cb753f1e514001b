package costbencher

import "github.com/siskinfront/siskinfront/selector"

// lossBreakdown splits the cost above the optimum for one work kind by its cause. The parts sum to that cost.
type lossBreakdown struct {
	// choice and exploration are the cost of the chosen versions above that of the best ones, with quality valued at the
	// optimum's price. exploration covers the decisions made to explore, choice all others.
	choice, exploration float64
	// ratings is the cost of ratings outside cascades.
	ratings float64
	// surplus is the value of the quality above the target at the optimum's price of quality. It is negative for a deficit.
	surplus float64
}

// decision is the outcome of one served request.
type decision struct {
	reason        string
	cost, quality float64
	// rating is the part of the cost that was paid for a rating outside a cascade.
	rating float64
}

// breakDownLosses splits the cost of the decisions by work kind; decisions[i] belongs to w.requests[i].
func (w *simulatedDay) breakDownLosses(decisions []decision, prices [][]float64) []lossBreakdown {
	losses := make([]lossBreakdown, len(w.cfg.WorkKinds))
	type key struct {
		kind, account int
		afterMidday   bool
	}
	choicesByKey := map[key][]choice{}
	for i := range decisions {
		d, r := &decisions[i], &w.requests[i]
		k := key{r.kind, r.account, !r.at.Before(w.midday)}
		choices, ok := choicesByKey[k]
		if !ok {
			choices = w.allowedChoices(r.kind, r.account, r.at)
			choicesByKey[k] = choices
		}
		price := prices[r.kind][r.account]
		cost, quality := w.cheapestChoice(r, choices, price)
		l := &losses[r.kind]
		versionLoss := &l.choice
		if d.reason == selector.ReasonExploration {
			versionLoss = &l.exploration
		}
		*versionLoss += d.cost - d.rating - cost - price*(d.quality-quality)
		l.ratings += d.rating
		l.surplus += price * (d.quality - w.cfg.WorkKinds[r.kind].QualityTarget)
	}
	return losses
}
