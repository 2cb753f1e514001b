package configurer

import (
	"fmt"

	"github.com/siskinfront/siskinfront/identifier"
)

// Warning describes a part of a valid configuration that is probably a mistake.
type Warning struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Warnings lists the probable mistakes in a valid configuration, in the order of its sections.
func Warnings(c *Configuration) []Warning {
	var list []Warning
	warn := func(field, format string, args ...any) {
		list = append(list, Warning{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	floorSum := 0.0
	for i, r := range c.Ranks {
		floorSum += r.Floor
		if r.FirstToken > r.Deadline {
			warn(fmt.Sprintf("ranks[%d].first-token", i), "rank %q has a first-token target beyond its deadline", r.Name)
		}
	}
	// The tolerance covers the rounding of floors such as 0.7 + 0.2 + 0.1.
	if floorSum > 1+1e-9 {
		warn("ranks", "the floors sum to %.2f, above 1; under overload no rank gets its whole floor", floorSum)
	}
	for i, a := range c.ClientAccounts {
		field := fmt.Sprintf("client-accounts[%d]", i)
		if len(a.Keys) == 0 {
			warn(field+".keys", "client account %q has no key and cannot call", a.Name)
		}
		for j, name := range a.WorkKinds {
			kind := c.WorkKind(name)
			best, ok := bestQuality(c, &c.ClientAccounts[i])
			switch kindField := fmt.Sprintf("%s.work-kinds[%d]", field, j); {
			case kind == nil:
			case !ok:
				warn(kindField, "client account %q may use no version that receives new work", a.Name)
			case best < kind.QualityTarget:
				warn(kindField, "no version allowed to %q is expected to reach the quality target %g of %q; the best has %g",
					a.Name, kind.QualityTarget, name, best)
			}
		}
	}
	for i, m := range c.Models {
		exposureSum := 0.0
		for _, v := range m.Versions {
			if v.State == VersionCandidate {
				exposureSum += v.Exposure
			}
		}
		if exposureSum > 1+1e-9 {
			warn(fmt.Sprintf("models[%d].versions", i), "the exposures of the candidates of %q sum to %.2f, above 1", m.Name, exposureSum)
		}
	}
	if s := c.Spend; s.Committed > 0 && s.End.IsZero() {
		warn("spend.end", "a committed spend without an end of its period cannot be paced")
	}
	if len(c.Operators) == 0 {
		warn("operators", "there is no operator; the administration API refuses every request")
	}
	return list
}

// bestQuality returns the highest prior quality among the versions that the account may use for new work.
func bestQuality(c *Configuration, a *ClientAccount) (best float64, ok bool) {
	for _, m := range c.Models {
		for _, v := range m.Versions {
			if v.State == VersionWithdrawn || !a.Allows(identifier.Target{Model: m.Name, Version: v.Name}) {
				continue
			}
			best, ok = max(best, v.PriorQuality), true
		}
	}
	return best, ok
}
