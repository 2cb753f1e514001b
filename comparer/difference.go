package comparer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
)

// Difference is one value that differs between two configurations, with what callers notice of it.
type Difference struct {
	// Section is the section of the configuration, such as client-accounts.
	Section string `json:"section"`
	// Name names the entry of the section; it is empty for the order of ranks and the spend.
	Name string `json:"name"`
	// Field is the field of the entry; it is empty for an entry that was added or removed.
	Field string `json:"field"`
	// Before is empty for something added, After for something removed.
	Before string `json:"before"`
	After  string `json:"after"`
	// Notice says in one sentence what callers or operators notice.
	Notice string `json:"notice"`
}

// Differences lists what differs from before to after, by section and within a section by entry.
func Differences(before, after *configurer.Configuration) []Difference {
	d := &comparison{
		before: before, after: after, versionsBefore: flatVersions(before), versionsAfter: flatVersions(after),
	}
	d.compareRanks()
	d.compareWorkKinds()
	d.compareModels()
	d.compareAccounts()
	d.compareServices()
	d.compareOperators()
	d.compareSpend()
	return d.list
}

// comparison collects the differences between two configurations.
type comparison struct {
	before, after *configurer.Configuration
	section, name string
	list          []Difference

	versionsBefore, versionsAfter []flatVersion
}

// add adds a difference of the current entry.
func (d *comparison) add(field, before, after, format string, args ...any) {
	d.list = append(d.list, Difference{
		Section: d.section, Name: d.name, Field: field, Before: before, After: after, Notice: fmt.Sprintf(format, args...),
	})
}

// changed adds a difference of a field if its values differ.
func (d *comparison) changed(field string, before, after any, format string, args ...any) {
	if b, a := fmt.Sprint(before), fmt.Sprint(after); b != a {
		d.add(field, b, a, format, args...)
	}
}

// entries pairs the entries of two lists by name, those of before first. It calls added, removed or changed.
type entries[T any] struct {
	section        string
	before, after  []T
	name           func(*T) string
	added, removed func(*T)
	changed        func(before, after *T)
}

func (e entries[T]) compare(d *comparison) {
	d.section = e.section
	next := make(map[string]*T, len(e.after))
	for i := range e.after {
		next[e.name(&e.after[i])] = &e.after[i]
	}
	known := make(map[string]bool, len(e.before))
	for i := range e.before {
		b := &e.before[i]
		d.name = e.name(b)
		known[d.name] = true
		if a := next[d.name]; a != nil {
			e.changed(b, a)
		} else {
			e.removed(b)
		}
	}
	for i := range e.after {
		if d.name = e.name(&e.after[i]); !known[d.name] {
			e.added(&e.after[i])
		}
	}
	d.name = ""
}

// setDifference returns the values that are only in a.
func setDifference[T comparable](a, b []T) []T {
	other := make(map[T]bool, len(b))
	for _, v := range b {
		other[v] = true
	}
	var only []T
	for _, v := range a {
		if !other[v] {
			only = append(only, v)
		}
	}
	return only
}

// names returns the names of entries in their order, separated by spaces.
func names[T any](list []T, name func(T) string) string {
	all := make([]string, 0, len(list))
	for _, v := range list {
		all = append(all, name(v))
	}
	return strings.Join(all, " ")
}

// compareKeys compares the keys of a client account or an operator; who names their owner in the notice.
func (d *comparison) compareKeys(who string, before, after []configurer.Key) {
	find := func(list []configurer.Key, name string) *configurer.Key {
		if i := slices.IndexFunc(list, func(k configurer.Key) bool { return k.Name == name }); i >= 0 {
			return &list[i]
		}
		return nil
	}
	count := len(d.list)
	for _, b := range before {
		switch a := find(after, b.Name); {
		case a == nil:
			d.add("keys", b.Name, "", "%s with the key %q are refused from then on", who, b.Name)
		case a.SHA256 != b.SHA256:
			d.add("keys", keyText(&b), keyText(a), "%s with the previous secret of the key %q are refused from then on", who, b.Name)
		}
	}
	for _, a := range after {
		if find(before, a.Name) == nil {
			d.add("keys", "", a.Name, "%s with the key %q are accepted from then on", who, a.Name)
		}
	}
	keyName := func(k configurer.Key) string { return k.Name }
	if len(before) > 0 && len(after) == 0 {
		d.add("keys", names(before, keyName), "", "%s are refused from then on, because no key is left", who)
	}
	if len(d.list) == count {
		d.changed("keys", names(before, keyName), names(after, keyName), "%s notice nothing, as only the order differs", who)
	}
}

// keyText tells two secrets of a key apart by the begin of their hash, which viewers may see.
func keyText(k *configurer.Key) string {
	return fmt.Sprintf("%s (%.8s)", k.Name, k.SHA256)
}
