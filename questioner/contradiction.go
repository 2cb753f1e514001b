package questioner

import (
	"fmt"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// checkContradictions refuses answers that contradict each other; each problem names both questions.
func checkContradictions(d *configurer.Document, a *Answers) {
	addContradiction := func(first, second, format string, args ...any) {
		d.AddProblem(first, "contradicts %s: %s", second, fmt.Sprintf(format, args...))
	}
	floorSum := 0.0
	for i, r := range a.Ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		floorSum += r.Floor
		if i > 0 && floorSum > 1+1e-9 && floorSum-r.Floor <= 1+1e-9 {
			addContradiction(field+".share-kept", "ranks[0].share-kept", "the shares kept sum to %.2f, above the whole capacity", floorSum)
		}
		if r.FirstToken > r.Deadline {
			addContradiction(field+".answer-starts-within", field+".useless-after",
				"an answer of rank %q would be useless before it starts", r.Name)
		}
	}
	checkSpend(addContradiction, a)
	for i, c := range a.ClientAccounts {
		checkClientAccount(addContradiction, a, i, &c)
	}
	for i, m := range a.Models {
		exposureSum := 0.0
		for j, v := range m.Versions {
			exposureSum += v.Exposure
			if j > 0 && exposureSum >= 1 && exposureSum-v.Exposure < 1 {
				addContradiction(fmt.Sprintf("models[%d].versions[%d].on-trial", i, j), fmt.Sprintf("models[%d].versions[0].on-trial", i),
					"the trials of %q take the whole of its work", m.Name)
			}
		}
	}
	if a.Unattended.AllowCandidates && !a.Unattended.Enabled {
		addContradiction("nights.trials-without-staff", "nights.without-staff", "there is always staff, so no trial runs without it")
	}
	for i, o := range a.Operators {
		if o.Role == configurer.RoleViewer && o.MayWithdraw {
			addContradiction(fmt.Sprintf("operators[%d].may-withdraw", i), fmt.Sprintf("operators[%d].role", i), "a viewer changes nothing")
		}
	}
}

func checkSpend(addContradiction func(first, second, format string, args ...any), a *Answers) {
	s := a.Spend
	if s.HardLimit > 0 && s.HardLimit < s.Committed {
		addContradiction("spend.never-more-than", "spend.owed-in-any-case", "%g is below the %g that is owed", s.HardLimit, s.Committed)
	}
	if s.Committed > 0 && s.End.IsZero() {
		addContradiction("spend.owed-in-any-case", "spend.until", "a commitment needs the end of its period")
	}
	if !s.End.IsZero() && !s.End.After(s.Start) {
		addContradiction("spend.until", "spend.from", "the period ends before it starts")
		return
	}
	if minCost := minSpend(a); s.HardLimit > 0 && minCost > s.HardLimit {
		addContradiction("spend.never-more-than", "work[].requests-per-day",
			"the volumes cost at least %.0f in the period at the cheapest prices", minCost)
	}
}

// minSpend returns a lower bound of the cost of the stated volumes in the period, as if the version that is cheapest for
// the work gave every answer.
func minSpend(a *Answers) float64 {
	days := a.Spend.End.Sub(a.Spend.Start).Hours() / (24 * time.Hour).Hours()
	const tokensPerListPrice = 1e6
	total := 0.0
	for _, w := range a.WorkKinds {
		cheapest, found := 0.0, false
		for _, m := range a.Models {
			for _, v := range m.Versions {
				// Only one output token is counted, the least that an answer has, so that the cost is a lower bound.
				if c := (v.InputPrice*float64(w.PromptTokens) + v.OutputPrice) / tokensPerListPrice; !found || c < cheapest {
					cheapest, found = c, true
				}
			}
		}
		total += cheapest * float64(w.RequestsPerDay) * days
	}
	return total
}

func checkClientAccount(addContradiction func(first, second, format string, args ...any), a *Answers, i int, c *ClientAccountAnswer) {
	field := fmt.Sprintf("client-accounts[%d]", i)
	if len(c.Allowed) == 0 {
		addContradiction(field+".work", field+".models", "%q asks for work but may use no model", c.Name)
		return
	}
	account := configurer.ClientAccount{Allowed: c.Allowed}
	bestQuality := 0.0
	for _, m := range a.Models {
		for _, v := range m.Versions {
			if account.Allows(identifier.Target{Model: m.Name, Version: v.Name}) {
				bestQuality = max(bestQuality, v.PriorQuality)
			}
		}
	}
	for _, name := range c.WorkKinds {
		j := slices.IndexFunc(a.WorkKinds, func(w WorkKindAnswer) bool { return w.Name == name })
		if j >= 0 && a.WorkKinds[j].QualityTarget > bestQuality {
			addContradiction(fmt.Sprintf("work[%d].quality", j), field+".models",
				"%q needs %g, but the best version allowed to %q is expected to reach %g", name, a.WorkKinds[j].QualityTarget, c.Name, bestQuality)
		}
	}
}
