package costbencher

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// outcome sums cost and expected quality of the requests of one kind.
type outcome struct{ cost, quality, requests float64 }

func (o *outcome) add(cost, quality float64) {
	o.cost += cost
	o.quality += quality
	o.requests++
}

// optimum returns per kind the lowest cost at which each account's mean quality meets the target, for a policy that
// knows the true quality of each version at each time, but not the answers. It is the value of the linear programme
// that assigns shares of requests to versions and cascades, found as the maximum of its dual over the price of quality.
// The prices of quality per kind and account are those at which that maximum is reached.
func (w *world) optimum() (kinds []outcome, prices [][]float64) {
	kinds = make([]outcome, len(w.cfg.WorkKinds))
	prices = make([][]float64, len(w.cfg.WorkKinds))
	groups := make([][][]request, len(w.cfg.WorkKinds))
	for k := range groups {
		groups[k] = make([][]request, len(w.cfg.ClientAccounts))
	}
	for _, r := range w.requests {
		groups[r.kind][r.account] = append(groups[r.kind][r.account], r)
	}
	for k := range groups {
		prices[k] = make([]float64, len(groups[k]))
		for a := range groups[k] {
			if len(groups[k][a]) == 0 {
				continue
			}
			goal := w.cfg.WorkKinds[k].QualityTarget
			low, high := 0.0, 1.0
			for range 40 {
				middle := (low + high) / 2
				if o := w.relaxed(groups[k][a], k, a, middle); o.quality >= goal*o.requests {
					high = middle
				} else {
					low = middle
				}
			}
			prices[k][a] = high
			o := w.relaxed(groups[k][a], k, a, high)
			// The dual value is a lower bound of the cost, tight up to one request.
			kinds[k].cost += o.cost + high*(goal*o.requests-o.quality)
			kinds[k].quality += goal * o.requests
			kinds[k].requests += o.requests
		}
	}
	return kinds, prices
}

// relaxed serves each request with the lowest cost less lambda times the quality.
func (w *world) relaxed(requests []request, kind, account int, lambda float64) outcome {
	var sum outcome
	before, after := w.choices(kind, account, w.start), w.choices(kind, account, w.midday)
	for i := range requests {
		r := &requests[i]
		choices := before
		if !r.at.Before(w.midday) {
			choices = after
		}
		sum.add(w.best(r, choices, lambda))
	}
	return sum
}

// best returns the cost and quality of the choice with the lowest cost less lambda times the quality.
func (w *world) best(r *request, choices []choice, lambda float64) (cost, quality float64) {
	least, fits := math.Inf(1), w.cascadeFits(r)
	for _, c := range choices {
		if c.cascade && !fits {
			continue
		}
		price := c.input*float64(r.prompt) + c.output*float64(r.output) + c.rating
		if score := price - lambda*c.quality; score < least {
			least, cost, quality = score, price, c.quality
		}
	}
	return cost, quality
}

type choice struct {
	input, output, rating, quality float64
	cascade                        bool
}

// choices lists the allowed versions and cascades at one time.
func (w *world) choices(kind, account int, at time.Time) []choice {
	var choices []choice
	for i, t := range w.targets {
		if !w.cfg.ClientAccounts[account].Allows(t) {
			continue
		}
		v, short := w.cfg.Version(t), w.shortfall(kind, i, at)
		single := choice{input: v.InputPrice * 1e-6, output: v.OutputPrice * 1e-6, quality: expected(short)}
		choices = append(choices, single)
		for j, u := range w.targets {
			if i == j || !w.cfg.ClientAccounts[account].Allows(u) {
				continue
			}
			next := w.cfg.Version(u)
			choices = append(choices, choice{
				input: single.input + short*next.InputPrice*1e-6, output: single.output + short*next.OutputPrice*1e-6,
				rating: ratingPrice, cascade: true,
				quality: (1-short)*goodAnswer + short*expected(w.shortfall(kind, j, at)),
			})
		}
	}
	return choices
}

// cascadeFits is the rule of the platform for two runs: idempotent work without session, within the deadline.
func (w *world) cascadeFits(r *request) bool {
	kind := &w.cfg.WorkKinds[r.kind]
	rank := &w.cfg.Ranks[w.cfg.RankIndex(kind.Rank)]
	run := rank.FirstToken + time.Duration(r.output)*rank.BetweenTokens
	return !kind.NonIdempotent && r.session == "" && r.at.Add(2*run+ratingDelay).Before(r.deadline)
}

// naive serves each request with the cheapest allowed version.
func (w *world) naive() ([]outcome, error) {
	kinds := make([]outcome, len(w.cfg.WorkKinds))
	for i := range w.requests {
		r := &w.requests[i]
		t, err := selector.Cheapest(w.cfg, w.query(r))
		if err != nil {
			return nil, err
		}
		kinds[r.kind].add(w.price(t, r), expected(w.shortfall(r.kind, w.index(t), r.at)))
	}
	return kinds, nil
}

func (w *world) query(r *request) selector.Query {
	return selector.Query{
		ClientAccount: &w.cfg.ClientAccounts[r.account], WorkKind: &w.cfg.WorkKinds[r.kind], Model: identifier.ModelAuto,
		Session: r.session, PromptTokens: r.prompt, MaxTokens: r.output, Deadline: r.deadline, Now: r.at,
	}
}

func (w *world) price(t identifier.Target, r *request) float64 {
	return selector.ListPrice(w.cfg.Version(t), r.prompt, r.output)
}

func (w *world) index(t identifier.Target) int {
	for i := range w.targets {
		if w.targets[i] == t {
			return i
		}
	}
	return -1
}
