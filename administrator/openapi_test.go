package administrator_test

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/configurer"
)

type operation struct {
	Summary    string           `yaml:"summary"`
	Role       string           `yaml:"x-role"`
	Parameters []map[string]any `yaml:"parameters"`
	Responses  map[string]any   `yaml:"responses"`
}

type document struct {
	Paths      map[string]map[string]any `yaml:"paths"`
	Components struct {
		Schemas map[string]struct {
			Properties map[string]any `yaml:"properties"`
		} `yaml:"schemas"`
	} `yaml:"components"`
}

func readDocument(t testing.TB) document {
	t.Helper()
	data, err := os.ReadFile("openapi.yaml")
	must.NoError(t, err)
	var d document
	must.NoError(t, yaml.Unmarshal(data, &d))
	return d
}

// Guards against operations that are missing from openapi.yaml, and documented operations that do not exist.
func TestOpenAPIMatchesRoutes(t *testing.T) {
	d := readDocument(t)
	documented := map[string]operation{}
	for path, item := range d.Paths {
		for method, v := range item {
			if method == "parameters" {
				continue
			}
			b, err := yaml.Marshal(v)
			must.NoError(t, err)
			var op operation
			must.NoError(t, yaml.Unmarshal(b, &op))
			documented[strings.ToUpper(method)+" "+path] = op
		}
	}
	for _, r := range administrator.Routes() {
		name := r.Method + " " + r.Path
		op, ok := documented[name]
		must.True(t, ok, must.Sprint(name))
		delete(documented, name)
		must.EqOp(t, r.Summary, op.Summary)
		must.EqOp(t, string(r.MinRole), op.Role)
		conditional := slices.ContainsFunc(op.Parameters, func(p map[string]any) bool { return p["$ref"] == "#/components/parameters/if-match" })
		must.EqOp(t, r.RequiresIfMatch, conditional, must.Sprint(name))
		for _, code := range []string{"412", "428"} {
			must.EqOp(t, r.RequiresIfMatch, op.Responses[code] != nil, must.Sprint(name, code))
		}
	}
	must.MapEmpty(t, documented)
}

// Guards against schemas in openapi.yaml that lack a key of the configuration type or have an extra one.
func TestOpenAPIMatchesTypes(t *testing.T) {
	d := readDocument(t)
	for name, v := range map[string]any{
		"Configuration": configurer.Configuration{}, "Rank": configurer.Rank{}, "WorkKind": configurer.WorkKind{},
		"Model": configurer.Model{}, "Version": configurer.Version{}, "ClientAccount": configurer.ClientAccount{}, "Key": configurer.Key{},
		"Allowed": configurer.AllowedModel{}, "Service": configurer.Service{}, "Call": configurer.CallPattern{}, "Spend": configurer.Spend{},
		"Operator": configurer.Operator{},
	} {
		want := slices.DeleteFunc(configurer.FieldPaths(v), func(k string) bool { return strings.ContainsAny(k, "[.") })
		slices.Sort(want)
		must.Eq(t, want, slices.Sorted(maps.Keys(d.Components.Schemas[name].Properties)), must.Sprint(name))
	}
}
