package configurer

import (
	"bytes"
	"cmp"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/siskinfront/siskinfront/identifier"
)

// Canonical returns a copy whose lists are sorted by name; the order of ranks, versions and an account's kinds of work
// is significant and kept. Nested lists, such as the versions of a model, are shared with c and must not be modified;
// WithVersion changes a version without modifying c.
func (c *Configuration) Canonical() *Configuration {
	n := *c
	n.WorkKinds = sortedBy(c.WorkKinds, func(k WorkKind) string { return string(k.Name) })
	n.Models = sortedBy(c.Models, func(m Model) string { return string(m.Name) })
	n.ClientAccounts = sortedBy(c.ClientAccounts, func(a ClientAccount) string { return string(a.Name) })
	n.Services = sortedBy(c.Services, func(s Service) string { return string(s.Name) })
	n.Operators = sortedBy(c.Operators, func(o Operator) string { return o.Name })
	return &n
}

// WithVersion returns a copy of c in which change was applied to the version that t names; c is not modified. If there
// is no such version, it returns c.
func (c *Configuration) WithVersion(t identifier.Target, change func(*Version)) *Configuration {
	if c.Version(t) == nil {
		return c
	}
	n := *c
	n.Models = slices.Clone(c.Models)
	m := n.Model(t.Model)
	m.Versions = slices.Clone(m.Versions)
	change(n.Version(t))
	return &n
}

func sortedBy[T any](list []T, name func(T) string) []T {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

// Marshal returns the configuration as YAML; the same configuration gives the same bytes.
func Marshal(c *Configuration) ([]byte, error) {
	return MarshalWithComments(c, nil)
}

// MarshalWithComments is Marshal with a comment above each YAML path in comments, such as $.ranks[0].floor.
func MarshalWithComments(c *Configuration, comments map[string]string) ([]byte, error) {
	headComments := yaml.CommentMap{}
	for path, text := range comments {
		headComments[path] = []*yaml.Comment{yaml.HeadComment(" " + text)}
	}
	var b bytes.Buffer
	e := yaml.NewEncoder(&b, yaml.WithComment(headComments), yaml.IndentSequence(true))
	if err := e.Encode(c.Canonical()); err != nil {
		return nil, fmt.Errorf("configurer: marshal revision %d: %w", c.Revision, err)
	}
	return b.Bytes(), nil
}

// MarshalJSON returns v as JSON with the same keys as in YAML and durations with a unit; Decode reads it back.
func MarshalJSON(v any) (json.RawMessage, error) {
	b, err := json.Marshal(ToGeneric(v))
	if err != nil {
		return nil, fmt.Errorf("configurer: encode %T: %w", v, err)
	}
	return b, nil
}

// ToGeneric converts v to maps, lists and scalars with the same keys as in YAML, for use by an encoder.
func ToGeneric(v any) any {
	return genericValue(reflect.ValueOf(v))
}

func genericValue(v reflect.Value) any {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return nil
		}
		v = v.Elem()
	}
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.String()
	case time.Time:
		return x.Format(time.RFC3339Nano)
	case encoding.TextMarshaler:
		return x
	}
	switch v.Kind() {
	case reflect.Struct:
		m := map[string]any{}
		for name, f := range fieldsByKey(v) {
			m[name] = genericValue(f)
		}
		return m
	case reflect.Slice:
		list := make([]any, 0, v.Len())
		for i := range v.Len() {
			list = append(list, genericValue(v.Index(i)))
		}
		return list
	default:
		return v.Interface()
	}
}
