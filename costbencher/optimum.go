package costbencher

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// outcome sums the cost, the expected quality and the number of the requests of one kind.
type outcome struct{ cost, quality, requests float64 }

func (o *outcome) add(cost, quality float64) {
	o.cost += cost
	o.quality += quality
	o.requests++
}

// optimum returns per kind the lowest cost at which the mean quality of each client account meets the target, for a policy
// that knows the true quality of each version at each time, but not the individual answers. That cost is the value of a linear
// programme that assigns shares of requests to versions and cascades; it is found by maximising the dual over the price of
// quality. prices holds the maximising price per kind and account.
func (w *simulatedDay) optimum() (kinds []outcome, prices [][]float64) {
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
			lowPrice, highPrice := 0.0, 1.0
			for range 40 {
				middle := (lowPrice + highPrice) / 2
				if o := w.serveAtPrice(groups[k][a], k, a, middle); o.quality >= goal*o.requests {
					highPrice = middle
				} else {
					lowPrice = middle
				}
			}
			prices[k][a] = highPrice
			o := w.serveAtPrice(groups[k][a], k, a, highPrice)
			// The dual value is a lower bound of the cost, and within the cost of one request of it.
			kinds[k].cost += o.cost + highPrice*(goal*o.requests-o.quality)
			kinds[k].quality += goal * o.requests
			kinds[k].requests += o.requests
		}
	}
	return kinds, prices
}

// serveAtPrice serves each request by the choice with the lowest cost less qualityPrice times its quality, and returns the sum.
func (w *simulatedDay) serveAtPrice(requests []request, kind, account int, qualityPrice float64) outcome {
	var sum outcome
	before, after := w.allowedChoices(kind, account, w.start), w.allowedChoices(kind, account, w.midday)
	for i := range requests {
		r := &requests[i]
		choices := before
		if !r.at.Before(w.midday) {
			choices = after
		}
		sum.add(w.cheapestChoice(r, choices, qualityPrice))
	}
	return sum
}

// cheapestChoice returns the cost and quality of the choice with the lowest cost less qualityPrice times its quality.
func (w *simulatedDay) cheapestChoice(r *request, choices []choice, qualityPrice float64) (cost, quality float64) {
	least, fits := math.Inf(1), w.cascadeFits(r)
	for _, c := range choices {
		if c.cascade && !fits {
			continue
		}
		price := c.inputPrice*float64(r.prompt) + c.outputPrice*float64(r.output) + c.ratingPrice
		if score := price - qualityPrice*c.quality; score < least {
			least, cost, quality = score, price, c.quality
		}
	}
	return cost, quality
}

// choice is one version, or a cascade of two, with its expected prices per token, its price for a rating, and its expected
// quality.
type choice struct {
	inputPrice, outputPrice, ratingPrice, quality float64
	cascade                                       bool
}

// allowedChoices lists the versions and cascades that an account may use, with their expected quality at one time.
func (w *simulatedDay) allowedChoices(kind, account int, at time.Time) []choice {
	var choices []choice
	for i, t := range w.targets {
		if !w.cfg.ClientAccounts[account].Allows(t) {
			continue
		}
		v, unusable := w.cfg.Version(t), w.unusableShare(kind, i, at)
		single := choice{inputPrice: v.InputPrice * 1e-6, outputPrice: v.OutputPrice * 1e-6, quality: expectedQuality(unusable)}
		choices = append(choices, single)
		for j, u := range w.targets {
			if i == j || !w.cfg.ClientAccounts[account].Allows(u) {
				continue
			}
			next := w.cfg.Version(u)
			choices = append(choices, choice{
				inputPrice: single.inputPrice + unusable*next.InputPrice*1e-6, outputPrice: single.outputPrice + unusable*next.OutputPrice*1e-6,
				ratingPrice: ratingPrice, cascade: true,
				quality: (1-unusable)*usableQuality + unusable*expectedQuality(w.unusableShare(kind, j, at)),
			})
		}
	}
	return choices
}

// cascadeFits reports whether the platform allows two runs for a request: idempotent work without a session, if both runs and
// the rating between them end before the deadline.
func (w *simulatedDay) cascadeFits(r *request) bool {
	kind := &w.cfg.WorkKinds[r.kind]
	rank := &w.cfg.Ranks[w.cfg.RankIndex(kind.Rank)]
	run := rank.FirstToken + time.Duration(r.output)*rank.BetweenTokens
	return !kind.NonIdempotent && r.session == "" && r.at.Add(2*run+ratingDelay).Before(r.deadline)
}

// routeNaively serves each request with the cheapest allowed version.
func (w *simulatedDay) routeNaively() ([]outcome, error) {
	kinds := make([]outcome, len(w.cfg.WorkKinds))
	for i := range w.requests {
		r := &w.requests[i]
		t, err := selector.Cheapest(w.cfg, w.query(r))
		if err != nil {
			return nil, err
		}
		kinds[r.kind].add(w.price(t, r), expectedQuality(w.unusableShare(r.kind, w.index(t), r.at)))
	}
	return kinds, nil
}

func (w *simulatedDay) query(r *request) selector.Query {
	return selector.Query{
		ClientAccount: &w.cfg.ClientAccounts[r.account], WorkKind: &w.cfg.WorkKinds[r.kind], Model: identifier.ModelAuto,
		Session: r.session, PromptTokens: r.prompt, MaxTokens: r.output, Deadline: r.deadline, Now: r.at,
	}
}

func (w *simulatedDay) price(t identifier.Target, r *request) float64 {
	return selector.ListPrice(w.cfg.Version(t), r.prompt, r.output)
}

func (w *simulatedDay) index(t identifier.Target) int {
	for i := range w.targets {
		if w.targets[i] == t {
			return i
		}
	}
	return -1
}
