package configurer

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"github.com/siskinfront/siskinfront/identifier"
)

// Parse reads a configuration strictly and returns an InvalidError with every problem of the file.
func Parse(file string, data []byte) (*Configuration, error) {
	c, d := ParseDocument(file, data)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c.Canonical(), nil
}

// ParseDocument is Parse without sorting, so that the document has the line of each field of the returned configuration.
func ParseDocument(file string, data []byte) (*Configuration, *Document) {
	c := &Configuration{}
	d := Decode(file, data, c)
	ValidateTags(d, c)
	checkReferences(d, c)
	return c, d
}

// Validate checks a configuration that did not come from a file.
func Validate(c *Configuration) error {
	d := &Document{File: "configuration"}
	ValidateTags(d, c)
	checkReferences(d, c)
	return d.Err()
}

// DecodeAndValidate decodes a file into v and applies the validate tags of its type; it returns an InvalidError or nil.
func DecodeAndValidate(file string, data []byte, v any) error {
	d := Decode(file, data, v)
	ValidateTags(d, v)
	return d.Err()
}

// tagValidator returns the validator of struct tags; it caches its analysis of types and is safe for concurrent use.
var tagValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	return v
})

// ValidateTags applies the validate tags of v, a pointer to a struct, and skips fields that already have a problem.
func ValidateTags(d *Document, v any) {
	var invalid validator.ValidationErrors
	if err := tagValidator().Struct(v); err == nil || !errors.As(err, &invalid) {
		return
	}
	hasProblem := map[string]bool{}
	for _, p := range d.Problems {
		hasProblem[p.Field] = true
	}
	for _, e := range invalid {
		_, field, _ := strings.Cut(e.Namespace(), ".")
		field = strings.TrimPrefix(field, embeddedName(v)+".")
		if !hasProblem[field] {
			d.AddProblem(field, "%s", ruleMessage(e))
		}
	}
}

// embeddedName returns the name of the embedded struct of v, which the validator includes in field paths. If there is
// none, it returns "-", which is in no path.
func embeddedName(v any) string {
	t := reflect.TypeOf(v).Elem()
	for i := range t.NumField() {
		if t.Field(i).Anonymous {
			return t.Field(i).Name
		}
	}
	return "-"
}

func ruleMessage(e validator.FieldError) string {
	messages := map[string]string{
		"required":      "is missing",
		"required_with": "is missing; the files for TLS are given together",
		"gte":           "must be at least " + e.Param(),
		"lte":           "must be at most " + e.Param(),
		"gt":            "must be more than " + e.Param(),
		"gtfield":       "must be more than " + strings.ToLower(e.Param()),
		"min":           "needs at least " + e.Param() + " entries",
		"oneof":         "must be one of " + strings.ReplaceAll(e.Param(), " ", ", "),
		"len":           "must be " + e.Param() + " characters long",
	}
	if message, ok := messages[e.Tag()]; ok {
		return message
	}
	return "breaks the rule " + e.Tag() + " " + e.Param()
}

// checkReferences refuses duplicate names, undefined names, keys used twice and contradictory bounds of the spend.
func checkReferences(d *Document, c *Configuration) {
	ranks := checkNames(d, "ranks", c.Ranks, func(r Rank) identifier.Rank { return r.Name })
	kinds := checkNames(d, "work-kinds", c.WorkKinds, func(k WorkKind) identifier.WorkKind { return k.Name })
	services := checkNames(d, "services", c.Services, func(s Service) identifier.Service { return s.Name })
	checkNames(d, "models", c.Models, func(m Model) identifier.Model { return m.Name })
	checkNames(d, "client-accounts", c.ClientAccounts, func(a ClientAccount) identifier.ClientAccount { return a.Name })
	checkNames(d, "operators", c.Operators, func(o Operator) string { return o.Name })
	for i, k := range c.WorkKinds {
		checkDefined(d, fmt.Sprintf("work-kinds[%d].rank", i), "rank", k.Rank, ranks)
	}
	for i, s := range c.Services {
		checkDefined(d, fmt.Sprintf("services[%d].rank", i), "rank", s.Rank, ranks)
	}
	for i, m := range c.Models {
		field := fmt.Sprintf("models[%d]", i)
		if m.Name == identifier.ModelAuto {
			d.AddProblem(field+".name", "%q is reserved for the choice by the router", m.Name)
		}
		checkNames(d, field+".versions", m.Versions, func(v Version) identifier.Version { return v.Name })
	}
	hashes := map[string]string{}
	for i, a := range c.ClientAccounts {
		field := fmt.Sprintf("client-accounts[%d]", i)
		checkKeys(d, field, a.Keys, hashes)
		checkAllowed(d, field, c, a.Allowed)
		for j, k := range a.WorkKinds {
			checkDefined(d, fmt.Sprintf("%s.work-kinds[%d]", field, j), "kind of work", k, kinds)
		}
		for j, s := range a.Services {
			checkDefined(d, fmt.Sprintf("%s.services[%d]", field, j), "service", s, services)
		}
	}
	for i, o := range c.Operators {
		checkKeys(d, fmt.Sprintf("operators[%d]", i), o.Keys, hashes)
	}
	if s := c.Spend; !s.End.IsZero() && !s.End.After(s.Start) {
		d.AddProblem("spend.end", "must be after spend.start")
	}
	if s := c.Spend; s.HardLimit > 0 && s.HardLimit < s.Committed {
		d.AddProblem("spend.hard-limit", "is below spend.committed")
	}
}

// checkKeys refuses a key that another client account or operator has, because a key must identify exactly one of them.
func checkKeys(d *Document, field string, keys []Key, hashes map[string]string) {
	checkNames(d, field+".keys", keys, func(k Key) string { return k.Name })
	for i, k := range keys {
		hashField := fmt.Sprintf("%s.keys[%d].sha256", field, i)
		if k.SHA256 != strings.ToLower(k.SHA256) {
			d.AddProblem(hashField, "must be in lower case")
		}
		if other, ok := hashes[k.SHA256]; ok && k.SHA256 != "" {
			d.AddProblem(hashField, "is the same key as %s", other)
		}
		hashes[k.SHA256] = hashField
	}
}

// checkAllowed refuses models and versions that an account may use but that the configuration does not define.
func checkAllowed(d *Document, field string, c *Configuration, allowed []AllowedModel) {
	checkNames(d, field+".allowed", allowed, func(a AllowedModel) identifier.Model { return a.Model })
	for i, a := range allowed {
		entryField := fmt.Sprintf("%s.allowed[%d]", field, i)
		if a.Model != "" && c.Model(a.Model) == nil {
			d.AddProblem(entryField+".model", "no model is named %q", a.Model)
			continue
		}
		for j, v := range a.Versions {
			if c.Version(identifier.Target{Model: a.Model, Version: v}) == nil {
				d.AddProblem(fmt.Sprintf("%s.versions[%d]", entryField, j), "model %q has no version %q", a.Model, v)
			}
		}
	}
}

// checkNames refuses names that appear twice or hold a slash or white space, and returns the set of all names.
func checkNames[T any, N ~string](d *Document, field string, list []T, name func(T) N) map[N]bool {
	seen := make(map[N]bool, len(list))
	for i, v := range list {
		n := name(v)
		if seen[n] && n != "" {
			d.AddProblem(fmt.Sprintf("%s[%d].name", field, i), "the name %q appears twice", string(n))
		}
		if strings.ContainsAny(string(n), "/ \t\n") {
			d.AddProblem(fmt.Sprintf("%s[%d].name", field, i), "the name %q holds a slash or white space", string(n))
		}
		seen[n] = true
	}
	return seen
}

// checkDefined refuses a name that is not in defined; an empty name is left to the validate tags.
func checkDefined[N ~string](d *Document, field, kind string, name N, defined map[N]bool) {
	if name != "" && !defined[name] {
		d.AddProblem(field, "no %s is named %q", kind, string(name))
	}
}
