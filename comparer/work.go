package comparer

import (
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

func (d *comparison) compareRanks() {
	entries[configurer.Rank]{
		section: "ranks", before: d.before.Ranks, after: d.after.Ranks,
		name: func(r *configurer.Rank) string { return string(r.Name) },
		added: func(r *configurer.Rank) {
			d.add("", "", d.name, "work may have the rank %q from then on", r.Name)
		},
		removed: func(r *configurer.Rank) {
			d.add("", d.name, "", "no work has the rank %q from then on", r.Name)
		},
		changed: func(b, a *configurer.Rank) {
			d.changed("floor", b.Floor, a.Floor, "under overload, work of rank %q keeps another share of the capacity", a.Name)
			d.changed("first-token", b.FirstToken, a.FirstToken, "requests of rank %q have another target for the first token", a.Name)
			d.changed("between-tokens", b.BetweenTokens, a.BetweenTokens, "requests of rank %q have another target between tokens", a.Name)
			d.changed("deadline", b.Deadline, a.Deadline, "requests of rank %q without a deadline of the caller end after %s", a.Name, a.Deadline)
			d.changed("worth", b.Worth, a.Worth, "answers of rank %q are valued differently against their price", a.Name)
		},
	}.compare(d)
	// Only ranks that both configurations have show a changed order; others are listed as added or removed.
	common := func(ranks []configurer.Rank, other *configurer.Configuration) string {
		var kept []string
		for _, r := range ranks {
			if other.RankIndex(r.Name) >= 0 {
				kept = append(kept, string(r.Name))
			}
		}
		return strings.Join(kept, " ")
	}
	d.changed("order", common(d.before.Ranks, d.after), common(d.after.Ranks, d.before),
		"under load, the ranks are served in another order")
}

func (d *comparison) compareWorkKinds() {
	entries[configurer.WorkKind]{
		section: "work-kinds", before: d.before.WorkKinds, after: d.after.WorkKinds,
		name: func(k *configurer.WorkKind) string { return string(k.Name) },
		added: func(k *configurer.WorkKind) {
			d.add("", "", d.name, "requests of the kind %q are accepted from then on, from client accounts that list it", k.Name)
		},
		removed: func(k *configurer.WorkKind) {
			d.add("", d.name, "", "requests of the kind %q are refused from then on", k.Name)
		},
		changed: func(b, a *configurer.WorkKind) {
			d.changed("rank", b.Rank, a.Rank, "requests of the kind %q have the rank %q from then on", a.Name, a.Rank)
			d.changed("quality-target", b.QualityTarget, a.QualityTarget, "other versions may answer requests of the kind %q", a.Name)
			idempotency := "may run again after a failure"
			if a.NonIdempotent {
				idempotency = "run at most once, so more of them end with an error after a failure"
			}
			d.changed("non-idempotent", b.NonIdempotent, a.NonIdempotent, "requests of the kind %q %s", a.Name, idempotency)
			d.changed("max-tokens", b.MaxTokens, a.MaxTokens, "answers of the kind %q end after at most %d tokens", a.Name, a.MaxTokens)
		},
	}.compare(d)
}

// flatVersion is a version with its model, so that versions of all models are compared in one list.
type flatVersion struct {
	target identifier.Target
	configurer.Version
}

func flatVersions(c *configurer.Configuration) []flatVersion {
	var list []flatVersion
	for _, m := range c.Models {
		for _, v := range m.Versions {
			list = append(list, flatVersion{identifier.Target{Model: m.Name, Version: v.Name}, v})
		}
	}
	return list
}

func (d *comparison) compareModels() {
	entries[flatVersion]{
		section: "models", before: d.versionsBefore, after: d.versionsAfter,
		name: func(v *flatVersion) string { return v.target.String() },
		added: func(v *flatVersion) {
			d.add("", "", string(v.State), "%s", newWork(v))
		},
		removed: func(v *flatVersion) {
			d.add("", string(v.State), "", "%s answers no request from then on, and sessions pinned to it are refused", v.target)
		},
		changed: d.compareVersion,
	}.compare(d)
	d.compareVersionOrder()
}

// newWork says which share of new work a version receives.
func newWork(v *flatVersion) string {
	switch v.State {
	case configurer.VersionServing:
		return v.target.String() + " may answer new requests from then on"
	case configurer.VersionCandidate:
		return v.target.String() + " is tried with a part of the new requests from then on"
	default:
		return v.target.String() + " answers no request from then on, and sessions pinned to it are refused"
	}
}

func (d *comparison) compareVersion(b, a *flatVersion) {
	d.changed("state", b.State, a.State, "%s", newWork(a))
	exposure := fmt.Sprintf("%s answers a share of %g of the new requests to its model", a.target, a.Exposure)
	if a.State != configurer.VersionCandidate {
		exposure = fmt.Sprintf("callers notice nothing of the exposure, as %s is %s", a.target, a.State)
	}
	d.changed("exposure", b.Exposure, a.Exposure, "%s", exposure)
	pause := fmt.Sprintf("the roll-out of %s continues; callers notice nothing at once", a.target)
	switch {
	case a.State != configurer.VersionCandidate:
		pause = fmt.Sprintf("callers notice nothing of the pause, as %s is %s", a.target, a.State)
	case a.Paused:
		pause = fmt.Sprintf("the roll-out of %s stands still; callers notice nothing at once", a.target)
	}
	d.changed("paused", b.Paused, a.Paused, "%s", pause)
	const price = "requests to the model auto may move to or from %s, and bills for it change"
	d.changed("input-price", b.InputPrice, a.InputPrice, price, a.target)
	d.changed("output-price", b.OutputPrice, a.OutputPrice, price, a.target)
	d.changed("prior-quality", b.PriorQuality, a.PriorQuality, "until answers of %s are rated, other requests may go to it", a.target)
}

// compareVersionOrder reports models whose versions are the same in another order.
func (d *comparison) compareVersionOrder() {
	for i := range d.after.Models {
		a := &d.after.Models[i]
		b := d.before.Model(a.Name)
		if b == nil {
			continue
		}
		list := func(m *configurer.Model) []identifier.Version {
			all := make([]identifier.Version, 0, len(m.Versions))
			for _, v := range m.Versions {
				all = append(all, v.Name)
			}
			return all
		}
		before, after := list(b), list(a)
		if len(setDifference(before, after))+len(setDifference(after, before)) == 0 {
			d.name = string(a.Name)
			d.changed("versions", before, after, "the versions of %q are listed in another order; callers notice nothing", a.Name)
		}
	}
	d.name = ""
}
