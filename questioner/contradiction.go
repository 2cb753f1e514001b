package questioner

import (
	"fmt"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// contradictions refuses answers that cannot hold together, each with the names of both questions.
func contradictions(d *configurer.Document, a *Answers) {
	clash := func(first, second, format string, args ...any) {
		d.AddProblem(first, "contradicts %s: %s", second, fmt.Sprintf(format, args...))
	}
	kept := 0.0
	for i, r := range a.Ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		kept += r.Floor
		if i > 0 && kept > 1+1e-9 && kept-r.Floor <= 1+1e-9 {
			clash(field+".share-kept", "ranks[0].share-kept", "the shares kept sum to %.2f, above the whole capacity", kept)
		}
		if r.FirstToken > r.Deadline {
			clash(field+".answer-starts-within", field+".useless-after",
				"an answer of rank %q would be useless before it starts", r.Name)
		}
	}
	spendContradictions(clash, a)
	for i, c := range a.ClientAccounts {
		accountContradictions(clash, a, i, &c)
	}
	for i, m := range a.Models {
		trial := 0.0
		for j, v := range m.Versions {
			trial += v.Exposure
			if j > 0 && trial >= 1 && trial-v.Exposure < 1 {
				clash(fmt.Sprintf("models[%d].versions[%d].on-trial", i, j), fmt.Sprintf("models[%d].versions[0].on-trial", i),
					"the trials of %q take the whole of its work", m.Name)
			}
		}
	}
	if a.Unattended.AllowCandidates && !a.Unattended.Enabled {
		clash("nights.trials-without-staff", "nights.without-staff", "there is always staff, so no trial runs without it")
	}
	for i, o := range a.Operators {
		if o.Role == configurer.RoleViewer && o.MayWithdraw {
			clash(fmt.Sprintf("operators[%d].may-withdraw", i), fmt.Sprintf("operators[%d].role", i), "a viewer changes nothing")
		}
	}
}

func spendContradictions(clash func(first, second, format string, args ...any), a *Answers) {
	s := a.Spend
	if s.HardLimit > 0 && s.HardLimit < s.Committed {
		clash("spend.never-more-than", "spend.owed-in-any-case", "%g is below the %g that is owed", s.HardLimit, s.Committed)
	}
	if s.Committed > 0 && s.End.IsZero() {
		clash("spend.owed-in-any-case", "spend.until", "a commitment needs the end of its period")
	}
	if !s.End.IsZero() && !s.End.After(s.Start) {
		clash("spend.until", "spend.from", "the period ends before it starts")
		return
	}
	if least := leastCost(a); s.HardLimit > 0 && least > s.HardLimit {
		clash("spend.never-more-than", "work[].requests-per-day",
			"the volumes cost at least %.0f in the period at the cheapest prices", least)
	}
}

// leastCost returns what the stated volumes cost in the period if every answer came from the cheapest version.
func leastCost(a *Answers) float64 {
	days := a.Spend.End.Sub(a.Spend.Start).Hours() / (24 * time.Hour).Hours()
	const perMillion = 1e6
	sum := 0.0
	for _, w := range a.WorkKinds {
		cheapest, found := 0.0, false
		for _, m := range a.Models {
			for _, v := range m.Versions {
				// An answer has one token at least, so that the figure is a lower bound.
				if c := (v.InputPrice*float64(w.PromptTokens) + v.OutputPrice) / perMillion; !found || c < cheapest {
					cheapest, found = c, true
				}
			}
		}
		sum += cheapest * float64(w.RequestsPerDay) * days
	}
	return sum
}

func accountContradictions(clash func(first, second, format string, args ...any), a *Answers, i int, c *ClientAccountAnswer) {
	field := fmt.Sprintf("client-accounts[%d]", i)
	if len(c.Allowed) == 0 {
		clash(field+".work", field+".models", "%q asks for work but may use no model", c.Name)
		return
	}
	account := configurer.ClientAccount{Allowed: c.Allowed}
	best := 0.0
	for _, m := range a.Models {
		for _, v := range m.Versions {
			if account.Allows(identifier.Target{Model: m.Name, Version: v.Name}) {
				best = max(best, v.PriorQuality)
			}
		}
	}
	for _, name := range c.WorkKinds {
		j := slices.IndexFunc(a.WorkKinds, func(w WorkKindAnswer) bool { return w.Name == name })
		if j >= 0 && a.WorkKinds[j].QualityTarget > best {
			clash(fmt.Sprintf("work[%d].quality", j), field+".models",
				"%q needs %g, but the best version allowed to %q is expected to reach %g", name, a.WorkKinds[j].QualityTarget, c.Name, best)
		}
	}
}
