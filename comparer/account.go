package comparer

import (
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
)

func (d *comparison) compareAccounts() {
	entries[configurer.ClientAccount]{
		section: "client-accounts", before: d.before.ClientAccounts, after: d.after.ClientAccounts,
		name: func(a *configurer.ClientAccount) string { return string(a.Name) },
		added: func(a *configurer.ClientAccount) {
			d.add("", "", d.name, "callers of client account %q are accepted from then on", a.Name)
		},
		removed: func(a *configurer.ClientAccount) {
			d.add("", d.name, "", "callers of client account %q are refused from then on", a.Name)
		},
		changed: d.compareAccount,
	}.compare(d)
}

func (d *comparison) compareAccount(b, a *configurer.ClientAccount) {
	who := fmt.Sprintf("callers of client account %q", a.Name)
	d.compareKeys(who, b.Keys, a.Keys)
	d.compareAllowed(who, b, a)
	count := len(d.list)
	for _, k := range setDifference(b.WorkKinds, a.WorkKinds) {
		d.add("work-kinds", string(k), "", "%s are refused with the kind of work %q from then on", who, k)
	}
	for _, k := range setDifference(a.WorkKinds, b.WorkKinds) {
		d.add("work-kinds", "", string(k), "%s may ask for the kind of work %q from then on", who, k)
	}
	if len(b.WorkKinds) > 0 && len(a.WorkKinds) > 0 && b.WorkKinds[0] != a.WorkKinds[0] {
		d.add("work-kinds[0]", string(b.WorkKinds[0]), string(a.WorkKinds[0]),
			"requests of %s that name no kind of work have the kind %q from then on", who, a.WorkKinds[0])
	}
	if len(d.list) == count {
		d.changed("work-kinds", b.WorkKinds, a.WorkKinds, "%s notice nothing, as only the order or a repetition differs", who)
	}
	count = len(d.list)
	for _, s := range setDifference(b.Services, a.Services) {
		d.add("services", string(s), "", "%s are refused at the service %q from then on", who, s)
	}
	for _, s := range setDifference(a.Services, b.Services) {
		d.add("services", "", string(s), "%s may call the service %q from then on", who, s)
	}
	if len(d.list) == count {
		d.changed("services", b.Services, a.Services, "%s notice nothing, as only the order or a repetition differs", who)
	}
	share := "larger"
	if a.Weight < b.Weight {
		share = "smaller"
	}
	d.changed("weight", b.Weight, a.Weight, "under overload, %s get a %s share than before, compared with others of their rank", who, share)
	limit := fmt.Sprintf("are refused above %g tokens per second", a.TokensPerSecond)
	if a.TokensPerSecond == 0 {
		limit = "have no token limit"
	}
	d.changed("tokens-per-second", b.TokensPerSecond, a.TokensPerSecond, "%s %s from then on", who, limit)
}

// compareAllowed compares the versions that an account may use. An empty list permits all versions of a model, so two
// lists are compared by what they permit; a list that permits the same is a difference without effect at present.
func (d *comparison) compareAllowed(who string, b, a *configurer.ClientAccount) {
	count := len(d.list)
	for _, v := range d.versionsBefore {
		if b.Allows(v.target) && !a.Allows(v.target) && d.after.Version(v.target) != nil {
			d.add("allowed", v.target.String(), "", "%s are refused at %s from then on", who, v.target)
		}
	}
	for _, v := range d.versionsAfter {
		if a.Allows(v.target) && !b.Allows(v.target) {
			d.add("allowed", "", v.target.String(), "%s may use %s from then on", who, v.target)
		}
	}
	if len(d.list) == count {
		d.changed("allowed", allowedText(b), allowedText(a), "%s notice nothing at once, but later versions may be treated differently", who)
	}
}

// allowedText returns the list of allowed versions, such as "finch@v1,v2 heron"; a model without versions permits all.
func allowedText(a *configurer.ClientAccount) string {
	return names(a.Allowed, func(m configurer.AllowedModel) string {
		if len(m.Versions) == 0 {
			return string(m.Model)
		}
		versions := make([]string, 0, len(m.Versions))
		for _, v := range m.Versions {
			versions = append(versions, string(v))
		}
		return string(m.Model) + "@" + strings.Join(versions, ",")
	})
}
