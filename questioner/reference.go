package questioner

import (
	"fmt"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// checkReferences refuses names that are defined twice and references to names that no answer defines.
func checkReferences(d *configurer.Document, a *Answers) {
	ranks := checkNames(d, "ranks", a.Ranks, func(r RankAnswer) identifier.Rank { return r.Name })
	workKinds := checkNames(d, "work", a.WorkKinds, func(w WorkKindAnswer) identifier.WorkKind { return w.Name })
	models := checkNames(d, "models", a.Models, func(m ModelAnswer) identifier.Model { return m.Name })
	services := checkNames(d, "services", a.Services, func(s ServiceAnswer) identifier.Service { return s.Name })
	checkNames(d, "client-accounts", a.ClientAccounts, func(c ClientAccountAnswer) identifier.ClientAccount { return c.Name })
	checkNames(d, "operators", a.Operators, func(o OperatorAnswer) string { return o.Name })
	versions := map[identifier.Target]bool{}
	for i, m := range a.Models {
		checkNames(d, fmt.Sprintf("models[%d].versions", i), m.Versions, func(v VersionAnswer) identifier.Version { return v.Name })
		for _, v := range m.Versions {
			versions[identifier.Target{Model: m.Name, Version: v.Name}] = true
		}
	}
	for i, w := range a.WorkKinds {
		checkDefined(d, fmt.Sprintf("work[%d].rank", i), "rank", w.Rank, ranks)
	}
	for i, s := range a.Services {
		checkDefined(d, fmt.Sprintf("services[%d].rank", i), "rank", s.Rank, ranks)
	}
	for i, c := range a.ClientAccounts {
		field := fmt.Sprintf("client-accounts[%d]", i)
		for j, k := range c.WorkKinds {
			checkDefined(d, fmt.Sprintf("%s.work[%d]", field, j), "kind of work", k, workKinds)
		}
		for j, s := range c.Services {
			checkDefined(d, fmt.Sprintf("%s.services[%d]", field, j), "service", s, services)
		}
		for j, m := range c.Allowed {
			checkDefined(d, fmt.Sprintf("%s.models[%d].model", field, j), "model", m.Model, models)
			for k, v := range m.Versions {
				if t := (identifier.Target{Model: m.Model, Version: v}); models[m.Model] && !versions[t] {
					d.AddProblem(fmt.Sprintf("%s.models[%d].versions[%d]", field, j, k), "no version is named %q", t)
				}
			}
		}
	}
}

// checkNames refuses names that appear twice and returns the set of all names.
func checkNames[T any, N ~string](d *configurer.Document, field string, list []T, name func(T) N) map[N]bool {
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

// checkDefined refuses a name that is not in defined.
func checkDefined[N ~string](d *configurer.Document, field, kind string, name N, defined map[N]bool) {
	if !defined[name] {
		d.AddProblem(field, "no %s is named %q", kind, string(name))
	}
}
