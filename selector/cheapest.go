package selector

import (
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Cheapest returns the allowed serving version with the lowest list price, whatever its quality.
func Cheapest(cfg *configurer.Configuration, q Query) (identifier.Target, error) {
	if q.Model != identifier.ModelAuto && cfg.Model(q.Model) == nil {
		return identifier.Target{}, ErrUnknownModel
	}
	cheapest, cheapestCost := identifier.Target{}, 0.0
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
			if v.State != configurer.VersionServing {
				continue
			}
			cost := ListPrice(v, q.PromptTokens, q.MaxTokens)
			if cheapest.Model == "" || cost < cheapestCost {
				cheapest, cheapestCost = t, cost
			}
		}
	}
	switch {
	case cheapest.Model != "":
		return cheapest, nil
	case !allowed:
		return cheapest, ErrNotAllowed
	default:
		return cheapest, ErrNoVersion
	}
}

// ListPrice returns the list price of a request with the given token counts, in the currency of the spend.
func ListPrice(v *configurer.Version, promptTokens, completionTokens int) float64 {
	const perMillion = 1e6
	return (v.InputPrice*float64(promptTokens) + v.OutputPrice*float64(completionTokens)) / perMillion
}
