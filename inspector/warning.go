package inspector

import (
	"fmt"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Warning describes a part of a valid configuration that is probably a mistake.
type Warning struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// sumTolerance covers the rounding of sums such as 0.7 + 0.2 + 0.1.
const sumTolerance = 1e-9

// Warnings lists the probable mistakes in a valid configuration, in the order of its sections.
func Warnings(c *configurer.Configuration) []Warning {
	r := newReport(c)
	r.checkRanks()
	r.checkWorkKinds()
	r.checkModels()
	for i := range c.ClientAccounts {
		r.checkAccount(i)
	}
	r.checkServices()
	r.checkOperators()
	r.checkSpend()
	return r.warnings
}

// AddedWarnings lists the warnings about after that before does not have. It compares messages, because an added entry
// shifts the indices in the fields of others.
func AddedWarnings(before, after *configurer.Configuration) []Warning {
	known := map[string]int{}
	for _, w := range Warnings(before) {
		known[w.Message]++
	}
	var added []Warning
	for _, w := range Warnings(after) {
		if known[w.Message]--; known[w.Message] < 0 {
			added = append(added, w)
		}
	}
	return added
}

// report collects the warnings about one configuration, with indices that keep the checks linear in its size.
type report struct {
	cfg      *configurer.Configuration
	warnings []Warning

	models       map[identifier.Model]*configurer.Model
	kinds        map[identifier.WorkKind]*configurer.WorkKind
	usedKinds    map[identifier.WorkKind]bool
	usedServices map[identifier.Service]bool
	usedVersions map[identifier.Target]bool
}

func newReport(c *configurer.Configuration) *report {
	r := &report{
		cfg: c, models: map[identifier.Model]*configurer.Model{}, kinds: map[identifier.WorkKind]*configurer.WorkKind{},
		usedKinds: map[identifier.WorkKind]bool{}, usedServices: map[identifier.Service]bool{},
		usedVersions: map[identifier.Target]bool{},
	}
	for i := range c.Models {
		r.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.WorkKinds {
		r.kinds[c.WorkKinds[i].Name] = &c.WorkKinds[i]
	}
	for i := range c.ClientAccounts {
		a := &c.ClientAccounts[i]
		for _, k := range a.WorkKinds {
			r.usedKinds[k] = true
		}
		for _, s := range a.Services {
			r.usedServices[s] = true
		}
		for j := range a.Allowed {
			for _, v := range r.allowedVersions(&a.Allowed[j]) {
				r.usedVersions[identifier.Target{Model: a.Allowed[j].Model, Version: v.Name}] = true
			}
		}
	}
	return r
}

func (r *report) warn(field, format string, args ...any) {
	r.warnings = append(r.warnings, Warning{Field: field, Message: fmt.Sprintf(format, args...)})
}

// allowedVersions returns the versions that an entry of an account's list permits.
func (r *report) allowedVersions(allowed *configurer.AllowedModel) []*configurer.Version {
	m := r.models[allowed.Model]
	if m == nil {
		return nil
	}
	listed := make(map[identifier.Version]bool, len(allowed.Versions))
	for _, v := range allowed.Versions {
		listed[v] = true
	}
	var versions []*configurer.Version
	for i := range m.Versions {
		if len(allowed.Versions) == 0 || listed[m.Versions[i].Name] {
			versions = append(versions, &m.Versions[i])
		}
	}
	return versions
}

// receivesWork reports whether new work reaches the version. A candidate with an exposure of 0 is started by the
// promoter, unless it is paused.
func receivesWork(v *configurer.Version) bool {
	switch v.State {
	case configurer.VersionServing:
		return true
	case configurer.VersionCandidate:
		return v.Exposure > 0 || !v.Paused
	default:
		return false
	}
}

// warnRepeated warns about each entry of a list of names that repeats an earlier one.
func warnRepeated[N ~string](r *report, field string, names []N) {
	seen := make(map[N]bool, len(names))
	for i, n := range names {
		if seen[n] {
			r.warn(fmt.Sprintf("%s[%d]", field, i), "%q is already in the list, so this entry has no effect", string(n))
		}
		seen[n] = true
	}
}
