package inspector

import (
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

func (r *report) checkRanks() {
	used := map[identifier.Rank]bool{}
	for i := range r.cfg.WorkKinds {
		used[r.cfg.WorkKinds[i].Rank] = true
	}
	for i := range r.cfg.Services {
		used[r.cfg.Services[i].Rank] = true
	}
	floorSum := 0.0
	for i := range r.cfg.Ranks {
		rank := &r.cfg.Ranks[i]
		field := fmt.Sprintf("ranks[%d]", i)
		floorSum += rank.Floor
		if rank.FirstToken > rank.Deadline {
			r.warn(field+".first-token", "rank %q has a first-token target beyond its deadline", rank.Name)
		}
		if rank.BetweenTokens > rank.Deadline {
			r.warn(field+".between-tokens", "rank %q has a between-tokens target beyond its deadline", rank.Name)
		}
		if !used[rank.Name] {
			r.warn(field+".name", "no kind of work and no service has the rank %q", rank.Name)
		}
	}
	if floorSum > 1+sumTolerance {
		r.warn("ranks", "the floors sum to %.2f, above 1; under overload no rank gets its whole floor", floorSum)
	}
}

func (r *report) checkWorkKinds() {
	for i := range r.cfg.WorkKinds {
		if name := r.cfg.WorkKinds[i].Name; !r.usedKinds[name] {
			r.warn(fmt.Sprintf("work-kinds[%d].name", i), "no client account may ask for the kind of work %q", name)
		}
	}
}

func (r *report) checkModels() {
	for i := range r.cfg.Models {
		m := &r.cfg.Models[i]
		exposureSum := 0.0
		for j := range m.Versions {
			r.checkVersion(fmt.Sprintf("models[%d].versions[%d]", i, j), m.Name, &m.Versions[j])
			if m.Versions[j].State == configurer.VersionCandidate {
				exposureSum += m.Versions[j].Exposure
			}
		}
		if exposureSum > 1+sumTolerance {
			r.warn(fmt.Sprintf("models[%d].versions", i), "the exposures of the candidates of %q sum to %.2f, above 1", m.Name, exposureSum)
		}
	}
}

func (r *report) checkVersion(field string, model identifier.Model, v *configurer.Version) {
	target := identifier.Target{Model: model, Version: v.Name}
	switch {
	case v.State == configurer.VersionCandidate:
		if v.Paused && v.Exposure == 0 {
			r.warn(field+".exposure", "candidate %s is paused at an exposure of 0 and receives no new work", target)
		}
	case v.Paused:
		r.warn(field+".paused", "%s is %s, so paused has no effect", target, v.State)
	// The promoter gives a version that it confirms an exposure of 1.
	case v.State == configurer.VersionServing && v.Exposure > 0 && v.Exposure < 1,
		v.State == configurer.VersionWithdrawn && v.Exposure > 0:
		r.warn(field+".exposure", "%s is %s, so its exposure of %g has no effect", target, v.State, v.Exposure)
	}
	if v.State != configurer.VersionWithdrawn && !r.usedVersions[target] {
		r.warn(field+".name", "no client account may use %s", target)
	}
}

func (r *report) checkAccount(i int) {
	a := &r.cfg.ClientAccounts[i]
	field := fmt.Sprintf("client-accounts[%d]", i)
	if len(a.Keys) == 0 {
		r.warn(field+".keys", "client account %q has no key and cannot call", a.Name)
	}
	best, anyUsable := 0.0, false
	var unusable []int
	for j := range a.Allowed {
		usable := false
		for _, v := range r.allowedVersions(&a.Allowed[j]) {
			if receivesWork(v) {
				best, usable = max(best, v.PriorQuality), true
			}
		}
		if anyUsable = anyUsable || usable; !usable {
			unusable = append(unusable, j)
		}
		warnRepeated(r, fmt.Sprintf("%s.allowed[%d].versions", field, j), a.Allowed[j].Versions)
	}
	// Without any usable version each kind of work of the account has a warning that says so.
	if anyUsable {
		for _, j := range unusable {
			r.warn(fmt.Sprintf("%s.allowed[%d]", field, j), "none of the versions of %q that client account %q may use receives new work",
				a.Allowed[j].Model, a.Name)
		}
	}
	for j, name := range a.WorkKinds {
		if kind := r.kinds[name]; kind != nil {
			r.checkAccountKind(fmt.Sprintf("%s.work-kinds[%d]", field, j), a, kind, best, anyUsable)
		}
	}
	warnRepeated(r, field+".work-kinds", a.WorkKinds)
	warnRepeated(r, field+".services", a.Services)
}

// checkAccountKind checks a kind of work that an account may ask for; best is the highest prior quality among the
// versions that the account may use, if anyUsable.
func (r *report) checkAccountKind(
	field string, a *configurer.ClientAccount, kind *configurer.WorkKind, best float64, anyUsable bool,
) {
	switch {
	case !anyUsable:
		r.warn(field, "client account %q may use no version that receives new work", a.Name)
	case best < kind.QualityTarget:
		r.warn(field, "no version allowed to %q is expected to reach the quality target %g of %q; the best has %g",
			a.Name, kind.QualityTarget, kind.Name, best)
	}
	// The limit is charged with max-tokens before a run. A larger request passes once the burst is saved up and goes into
	// debt, and until the debt is repaid the account's requests are refused.
	rank := r.cfg.RankIndex(kind.Rank)
	if a.TokensPerSecond == 0 || rank < 0 {
		return
	}
	if deadline := r.cfg.Ranks[rank].Deadline; float64(kind.MaxTokens) > a.TokensPerSecond*deadline.Seconds() {
		r.warn(field, "one answer of %q may have %d tokens, more than the limit of client account %q gives within the deadline %s of its rank",
			kind.Name, kind.MaxTokens, a.Name, deadline)
	}
}

func (r *report) checkServices() {
	for i := range r.cfg.Services {
		s := &r.cfg.Services[i]
		if !r.usedServices[s.Name] {
			r.warn(fmt.Sprintf("services[%d].name", i), "no client account may call the service %q", s.Name)
		}
		for j := range s.NonIdempotent {
			if k := coveringPattern(s.NonIdempotent, j); k >= 0 {
				r.warn(fmt.Sprintf("services[%d].non-idempotent[%d]", i, j), "every call that %q selects is already selected by %q",
					patternText(s.NonIdempotent[j]), patternText(s.NonIdempotent[k]))
			}
		}
	}
}

// coveringPattern returns the index of a pattern that selects every call that pattern j selects, or -1. Of equal
// patterns the first one covers the others. Methods are compared without case and paths without a leading slash, as for calls.
func coveringPattern(patterns []configurer.CallPattern, j int) int {
	path := strings.TrimPrefix(patterns[j].Path, "/")
	for k, p := range patterns {
		other := strings.TrimPrefix(p.Path, "/")
		if k == j || !strings.EqualFold(p.Method, patterns[j].Method) || !strings.HasPrefix(path, other) {
			continue
		}
		if other != path || k < j {
			return k
		}
	}
	return -1
}

// patternText returns the method and the path prefix of a pattern, such as "POST /orders".
func patternText(p configurer.CallPattern) string { return p.Method + " " + p.Path }

func (r *report) checkOperators() {
	if len(r.cfg.Operators) == 0 {
		r.warn("operators", "there is no operator; the administration API refuses every request")
		return
	}
	keys := 0
	for i := range r.cfg.Operators {
		keys += len(r.cfg.Operators[i].Keys)
	}
	for i := range r.cfg.Operators {
		if o := &r.cfg.Operators[i]; keys > 0 && len(o.Keys) == 0 {
			r.warn(fmt.Sprintf("operators[%d].keys", i), "operator %q has no key and cannot use the administration API", o.Name)
		}
	}
	if keys == 0 {
		r.warn("operators", "no operator has a key; the administration API refuses every request")
	}
}

func (r *report) checkSpend() {
	s := &r.cfg.Spend
	if s.Committed == 0 {
		return
	}
	if s.End.IsZero() {
		r.warn("spend.end", "a committed spend without an end of its period cannot be paced")
	}
	if s.OverflowFactor == 0 {
		r.warn("spend.overflow-factor", "an overflow factor of 0 has no effect; list prices apply beyond the commitment")
	}
}
