package questioner

import (
	"fmt"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// references refuses names that appear twice and names that no answer defines.
func references(d *configurer.Document, a *Answers) {
	ranks := defined(d, "ranks", a.Ranks, func(r RankAnswer) identifier.Rank { return r.Name })
	work := defined(d, "work", a.WorkKinds, func(w WorkKindAnswer) identifier.WorkKind { return w.Name })
	models := defined(d, "models", a.Models, func(m ModelAnswer) identifier.Model { return m.Name })
	services := defined(d, "services", a.Services, func(s ServiceAnswer) identifier.Service { return s.Name })
	defined(d, "client-accounts", a.ClientAccounts, func(c ClientAccountAnswer) identifier.ClientAccount { return c.Name })
	defined(d, "operators", a.Operators, func(o OperatorAnswer) string { return o.Name })
	versions := map[identifier.Target]bool{}
	for i, m := range a.Models {
		defined(d, fmt.Sprintf("models[%d].versions", i), m.Versions, func(v VersionAnswer) identifier.Version { return v.Name })
		for _, v := range m.Versions {
			versions[identifier.Target{Model: m.Name, Version: v.Name}] = true
		}
	}
	for i, w := range a.WorkKinds {
		refer(d, fmt.Sprintf("work[%d].rank", i), "rank", w.Rank, ranks)
	}
	for i, s := range a.Services {
		refer(d, fmt.Sprintf("services[%d].rank", i), "rank", s.Rank, ranks)
	}
	for i, c := range a.ClientAccounts {
		field := fmt.Sprintf("client-accounts[%d]", i)
		for j, k := range c.WorkKinds {
			refer(d, fmt.Sprintf("%s.work[%d]", field, j), "kind of work", k, work)
		}
		for j, s := range c.Services {
			refer(d, fmt.Sprintf("%s.services[%d]", field, j), "service", s, services)
		}
		for j, m := range c.Allowed {
			refer(d, fmt.Sprintf("%s.models[%d].model", field, j), "model", m.Model, models)
			for k, v := range m.Versions {
				if t := (identifier.Target{Model: m.Model, Version: v}); models[m.Model] && !versions[t] {
					d.AddProblem(fmt.Sprintf("%s.models[%d].versions[%d]", field, j, k), "no version is named %q", t)
				}
			}
		}
	}
}

func defined[T any, N ~string](d *configurer.Document, field string, list []T, name func(T) N) map[N]bool {
	seen := make(map[N]bool, len(list))
	for i, v := range list {
		n := name(v)
		if seen[n] {
			d.AddProblem(fmt.Sprintf("%s[%d].name", field, i), "the name %q appears twice", string(n))
		}
		seen[n] = true
	}
	return seen
}

func refer[N ~string](d *configurer.Document, field, what string, name N, known map[N]bool) {
	if !known[name] {
		d.AddProblem(field, "no %s is named %q", what, string(name))
	}
}
