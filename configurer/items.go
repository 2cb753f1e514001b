package configurer

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/siskinfront/siskinfront/identifier"
)

// Item is one part of a configuration that is stored and distributed under its own key, such as models/finch.
type Item struct {
	Key string `json:"key"`
	// Value is the JSON form of the part.
	Value json.RawMessage `json:"value"`
}

// The keys of items that hold a whole section. The order of ranks is significant, so all ranks form one item.
const (
	ranksKey = "ranks"
	spendKey = "spend"
)

// ranksItem wraps the list of ranks, because Decode reads only structs.
type ranksItem struct {
	Ranks []Rank `yaml:"ranks"`
}

// Split returns the items of a configuration sorted by key; the revision is in none of them.
func Split(c *Configuration) ([]Item, error) {
	var s splitter
	s.add(ranksKey, ranksItem{c.Ranks})
	s.add(spendKey, c.Spend)
	addAll(&s, "work-kinds", c.WorkKinds, func(k WorkKind) string { return string(k.Name) })
	addAll(&s, "models", c.Models, func(m Model) string { return string(m.Name) })
	addAll(&s, "client-accounts", c.ClientAccounts, func(a ClientAccount) string { return string(a.Name) })
	addAll(&s, "services", c.Services, func(v Service) string { return string(v.Name) })
	addAll(&s, "operators", c.Operators, func(o Operator) string { return o.Name })
	if s.err != nil {
		return nil, s.err
	}
	slices.SortFunc(s.items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return s.items, nil
}

type splitter struct {
	items []Item
	err   error
}

func (s *splitter) add(key string, v any) {
	b, err := MarshalJSON(v)
	if err != nil && s.err == nil {
		s.err = fmt.Errorf("configurer: item %s: %w", key, err)
	}
	s.items = append(s.items, Item{Key: key, Value: b})
}

func addAll[T any](s *splitter, kind string, list []T, name func(T) string) {
	for _, v := range list {
		s.add(kind+"/"+name(v), v)
	}
}

// Assemble builds a configuration from items in any order and validates it.
func Assemble(revision uint64, items []Item) (*Configuration, error) {
	c := &Configuration{Revision: revision}
	var problems []Problem
	for _, it := range items {
		d := addItem(c, it)
		problems = append(problems, d.Problems...)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	c = c.Canonical()
	if err := Validate(c); err != nil {
		return nil, err
	}
	return c, nil
}

// Patch returns a configuration that differs from base by the changed items and the removed keys, and validates it. It
// decodes only the changed items and doesn't modify base.
func Patch(base *Configuration, revision uint64, changed []Item, removed []string) (*Configuration, error) {
	c := *base
	c.Revision = revision
	for _, key := range removed {
		removeItem(&c, key)
	}
	for _, it := range changed {
		removeItem(&c, it.Key)
	}
	problems := make([]Problem, 0, len(changed))
	for _, it := range changed {
		// removeItem has copied the list, so appending to it does not modify base.
		problems = append(problems, addItem(&c, it).Problems...)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	next := c.Canonical()
	if err := Validate(next); err != nil {
		return nil, err
	}
	return next, nil
}

// removeItem removes an item from c. It copies the list first, because other configurations may share it.
func removeItem(c *Configuration, key string) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case ranksKey:
		c.Ranks = nil
	case spendKey:
		c.Spend = Spend{}
	case "work-kinds":
		c.WorkKinds = cloneWithout(c.WorkKinds, func(k WorkKind) bool { return string(k.Name) == name })
	case "models":
		c.Models = cloneWithout(c.Models, func(m Model) bool { return string(m.Name) == name })
	case "client-accounts":
		c.ClientAccounts = cloneWithout(c.ClientAccounts, func(a ClientAccount) bool { return string(a.Name) == name })
	case "services":
		c.Services = cloneWithout(c.Services, func(s Service) bool { return string(s.Name) == name })
	case "operators":
		c.Operators = cloneWithout(c.Operators, func(o Operator) bool { return o.Name == name })
	}
}

func cloneWithout[T any](list []T, drop func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), drop)
}

// addItem decodes an item into the section of c that its key names.
func addItem(c *Configuration, it Item) *Document {
	kind, name, hasName := strings.Cut(it.Key, "/")
	switch kind {
	case ranksKey:
		var r ranksItem
		d := Decode(it.Key, it.Value, &r)
		c.Ranks = r.Ranks
		return d
	case spendKey:
		return Decode(it.Key, it.Value, &c.Spend)
	}
	if hasName {
		switch kind {
		case "work-kinds":
			return addNamedItem(it, &c.WorkKinds, identifier.WorkKind(name), func(k WorkKind) identifier.WorkKind { return k.Name })
		case "models":
			return addNamedItem(it, &c.Models, identifier.Model(name), func(m Model) identifier.Model { return m.Name })
		case "client-accounts":
			return addNamedItem(it, &c.ClientAccounts, identifier.ClientAccount(name),
				func(a ClientAccount) identifier.ClientAccount { return a.Name })
		case "services":
			return addNamedItem(it, &c.Services, identifier.Service(name), func(s Service) identifier.Service { return s.Name })
		case "operators":
			return addNamedItem(it, &c.Operators, name, func(o Operator) string { return o.Name })
		}
	}
	d := &Document{File: it.Key}
	d.AddProblem("", "unknown item")
	return d
}

// addNamedItem decodes an item, appends it to list and refuses a name that differs from the one in the key.
func addNamedItem[T any, N ~string](it Item, list *[]T, key N, name func(T) N) *Document {
	var v T
	d := Decode(it.Key, it.Value, &v)
	if len(d.Problems) == 0 && name(v) != key {
		d.AddProblem("name", "%q differs from the key of the item", string(name(v)))
	}
	*list = append(*list, v)
	return d
}

// Difference is one item that differs between two configurations.
type Difference struct {
	Key string `json:"key"`
	// Before is empty for an added item, After for a removed one.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Kind classifies the difference as added, removed or changed.
func (d Difference) Kind() string {
	switch {
	case d.Before == nil:
		return "added"
	case d.After == nil:
		return "removed"
	default:
		return "changed"
	}
}

// Diff returns the items that differ between a, as before, and b, as after, sorted by key.
func Diff(a, b *Configuration) ([]Difference, error) {
	before, err := Split(a)
	if err != nil {
		return nil, err
	}
	after, err := Split(b)
	if err != nil {
		return nil, err
	}
	byKey := map[string]*Difference{}
	for _, it := range before {
		byKey[it.Key] = &Difference{Key: it.Key, Before: it.Value}
	}
	for _, it := range after {
		if d, ok := byKey[it.Key]; ok {
			d.After = it.Value
		} else {
			byKey[it.Key] = &Difference{Key: it.Key, After: it.Value}
		}
	}
	var diff []Difference
	for _, d := range byKey {
		if !bytes.Equal(d.Before, d.After) {
			diff = append(diff, *d)
		}
	}
	slices.SortFunc(diff, func(a, b Difference) int { return cmp.Compare(a.Key, b.Key) })
	return diff, nil
}
