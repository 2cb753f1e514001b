package comparer

import (
	"fmt"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
)

func (d *comparison) compareServices() {
	entries[configurer.Service]{
		section: "services", before: d.before.Services, after: d.after.Services,
		name: func(s *configurer.Service) string { return string(s.Name) },
		added: func(s *configurer.Service) {
			d.add("", "", d.name, "calls of the service %q are accepted from then on, from client accounts that list it", s.Name)
		},
		removed: func(s *configurer.Service) {
			d.add("", d.name, "", "calls of the service %q are refused from then on", s.Name)
		},
		changed: func(b, a *configurer.Service) {
			d.changed("rank", b.Rank, a.Rank, "calls of the service %q have the rank %q from then on", a.Name, a.Rank)
			d.compareCalls(b, a)
		},
	}.compare(d)
}

func (d *comparison) compareCalls(b, a *configurer.Service) {
	count := len(d.list)
	for _, p := range setDifference(b.NonIdempotent, a.NonIdempotent) {
		d.add("non-idempotent", patternText(p), "", "calls %q of the service %q may run again after a failure, unless another pattern selects them", patternText(p), a.Name)
	}
	for _, p := range setDifference(a.NonIdempotent, b.NonIdempotent) {
		d.add("non-idempotent", "", patternText(p), "calls %q of the service %q run at most once, so more of them end with an error after a failure",
			patternText(p), a.Name)
	}
	if len(d.list) == count {
		d.changed("non-idempotent", b.NonIdempotent, a.NonIdempotent, "callers notice nothing, as only the order or a repetition differs")
	}
}

func (d *comparison) compareOperators() {
	entries[configurer.Operator]{
		section: "operators", before: d.before.Operators, after: d.after.Operators,
		name: func(o *configurer.Operator) string { return o.Name },
		added: func(o *configurer.Operator) {
			d.add("", "", d.name, "operator %q may use the administration API from then on; callers notice nothing", o.Name)
		},
		removed: func(o *configurer.Operator) {
			d.add("", d.name, "", "operator %q is refused by the administration API from then on; callers notice nothing", o.Name)
		},
		changed: func(b, a *configurer.Operator) {
			d.changed("role", b.Role, a.Role, "operator %q has the rights of the role %s from then on", a.Name, a.Role)
			may := "may not"
			if a.CanWithdraw() {
				may = "may"
			}
			d.changed("may-withdraw", b.MayWithdraw, a.MayWithdraw, "operator %q %s withdraw versions from then on", a.Name, may)
			d.compareKeys(fmt.Sprintf("requests of operator %q", a.Name), b.Keys, a.Keys)
		},
	}.compare(d)
}

func (d *comparison) compareSpend() {
	d.section = "spend"
	b, a := &d.before.Spend, &d.after.Spend
	d.changed("currency", b.Currency, a.Currency, "amounts are read in another currency; callers notice nothing")
	period := "the spend of another period is counted; callers notice it if that changes how much of the commitment or the limit is left"
	d.changed("start", timeText(b.Start), timeText(a.Start), "%s", period)
	d.changed("end", timeText(b.End), timeText(a.End), "%s", period)
	d.changed("committed", b.Committed, a.Committed, "requests to the model auto may get cheaper or dearer versions, as the pace of the spend changes")
	limit := fmt.Sprintf("requests are refused once the spend of the period reaches %g", a.HardLimit)
	if a.HardLimit == 0 {
		limit = "no request is refused because of the spend"
	}
	d.changed("hard-limit", b.HardLimit, a.HardLimit, "%s", limit)
	d.changed("overflow-factor", b.OverflowFactor, a.OverflowFactor, "beyond the commitment, a request is charged another price")
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339Nano)
}

// patternText returns the method and the path prefix of a pattern, such as "POST /orders".
func patternText(p configurer.CallPattern) string { return p.Method + " " + p.Path }
