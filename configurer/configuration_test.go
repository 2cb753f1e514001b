package configurer_test

import (
	"bytes"
	_ "embed"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
)

//go:embed testdata/configuration.yaml
var configurationFile string

func parse(t testing.TB, text string) *configurer.Configuration {
	t.Helper()
	c, err := configurer.Parse("c.yaml", []byte(text))
	must.NoError(t, err)
	return c
}

// Guards against a mistake in a file that is accepted, or refused without its line and field.
func TestParseRefuses(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown key":       {"    worth: 1\n", "    worht: 1\n", "c.yaml:8: ranks[0].worht: unknown key"},
		"no unit":           {"first-token: 400ms", "first-token: 400", "c.yaml:5: ranks[0].first-token: \"400\" is not a duration"},
		"wrong unit":        {"deadline: 5s", "deadline: 5 seconds", "c.yaml:7: ranks[0].deadline:"},
		"unit on a number":  {"max-tokens: 64", "max-tokens: 64k", "c.yaml:20: work-kinds[0].max-tokens: needs a whole number"},
		"unknown rank":      {"    rank: urgent\n    quality", "    rank: urgnet\n    quality", "c.yaml:17: work-kinds[0].rank: no rank is named \"urgnet\""},
		"unknown model":     {"model: finch", "model: wren", "c.yaml:36: client-accounts[0].allowed[0].model: no model"},
		"unknown version":   {"versions: [v1]", "versions: [v2]", "c.yaml:37: client-accounts[0].allowed[0].versions[0]:"},
		"unknown kind":      {"work-kinds: [status-check]", "work-kinds: [chat]", "c.yaml:38: client-accounts[0].work-kinds[0]:"},
		"unknown service":   {"services: [orders]", "services: [parcels]", "c.yaml:39: client-accounts[0].services[0]:"},
		"duplicate name":    {"name: batch", "name: urgent", "c.yaml:9: ranks[1].name: the name \"urgent\" appears twice"},
		"duplicate key":     {"revision: 7", "revision: 7\nrevision: 8", "c.yaml:2"},
		"share above 1":     {"floor: 0.6", "floor: 60", "c.yaml:4: ranks[0].floor: must be at most 1"},
		"not a number":      {"floor: 0.6", "floor: .nan", "c.yaml:4: ranks[0].floor: needs a number"},
		"missing name":      {"- name: finch\n    versions", "- versions", "models[0].name: is missing"},
		"unknown state":     {"state: serving", "state: live", "c.yaml:25: models[0].versions[0].state: must be one of"},
		"unknown role":      {"role: operator", "role: root", "operators[0].role: must be one of"},
		"short hash":        {"0123456789abcdef\n", "\n", "keys[0].sha256: must be 64 characters long"},
		"bare number":       {"name: v1", "name: 1.5", "c.yaml:24: models[0].versions[0].name: needs text"},
		"limit below spend": {"hard-limit: 2000", "hard-limit: 20", "spend.hard-limit: is below spend.committed"},
		"period reversed":   {"end: 2027", "end: 2025", "spend.end: must be after spend.start"},
		"reserved name":     {"name: finch", "name: auto", "c.yaml:22: models[0].name: \"auto\" is reserved"},
		"alias":             {"revision: 7", "revision: &a 7", "anchors, aliases"},
		"two documents":     {"revision: 7", "revision: 7\n---\nrevision: 8", "more than one document"},
		"malformed":         {"revision: 7", "revision: [", "c.yaml:"},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, configurationFile, tc.old)
			_, err := configurer.Parse("c.yaml", []byte(strings.Replace(configurationFile, tc.old, tc.new, 1)))
			must.ErrorContains(t, err, tc.want)
		})
	}
}

// Guards against a small request body that occupies a processor for minutes: the parser needs quadratic time for deep
// nesting.
func TestParseRefusesDeepNesting(t *testing.T) {
	for _, mark := range []string{"[", "{a: ", "- ", "? "} {
		_, err := configurer.Parse("c.yaml", []byte(strings.Repeat(mark, 1000)))
		must.ErrorContains(t, err, "nested too deeply")
	}
}

// Guards against Parse reporting only the first problem of a file.
func TestParseListsAllProblems(t *testing.T) {
	text := strings.NewReplacer("floor: 0.6", "floor: 6", "role: operator", "role: x", "max-tokens: 64", "max-token: 64").Replace(configurationFile)
	_, err := configurer.Parse("c.yaml", []byte(text))
	var invalid *configurer.InvalidError
	must.True(t, errors.As(err, &invalid))
	must.Len(t, 4, invalid.Problems) // The misspelt key counts twice: max-token is unknown and max-tokens is missing.
}

// Guards against marshalled bytes that depend on the order of names in a file.
func TestMarshalIsStable(t *testing.T) {
	c := parse(t, configurationFile)
	c.Models = append(c.Models, configurer.Model{Name: "a", Versions: c.Models[0].Versions})
	first, err := configurer.Marshal(c)
	must.NoError(t, err)
	slices.Reverse(c.Models)
	second, err := configurer.Marshal(c)
	must.NoError(t, err)
	must.EqOp(t, string(first), string(second))
	again, err := configurer.Marshal(parse(t, string(first)))
	must.NoError(t, err)
	must.EqOp(t, string(first), string(again))
}

// Guards against a part of a configuration that Split or Assemble loses, and against an invalid item that is accepted.
func TestSplitAndAssemble(t *testing.T) {
	c := parse(t, configurationFile)
	items, err := configurer.Split(c)
	must.NoError(t, err)
	slices.Reverse(items)
	got, err := configurer.Assemble(c.Revision, items)
	must.NoError(t, err)
	must.Eq(t, c, got)

	for name, bad := range map[string]configurer.Item{
		"unknown kind": {Key: "weather/today", Value: []byte(`{}`)},
		"wrong name":   {Key: "models/wren", Value: []byte(`{"name": "finch"}`)},
	} {
		_, err := configurer.Assemble(1, append(slices.Clone(items), bad))
		must.Error(t, err, must.Sprint(name))
	}
}

// Guards against a patched configuration that differs from the complete one, a Patch that modifies its base, and a
// removal that leaves a reference to an undefined name.
func TestPatch(t *testing.T) {
	base, next := parse(t, configurationFile), parse(t, configurationFile)
	before, err := configurer.Marshal(base)
	must.NoError(t, err)
	next.Revision = 8
	next.Ranks = slices.Clone(next.Ranks)
	next.Ranks[0].Worth = 3
	next.Models = append(slices.Clone(next.Models), configurer.Model{Name: "a", Versions: next.Models[0].Versions})
	next.Operators = nil
	next.Spend.Committed = 1
	next = next.Canonical()
	diff, err := configurer.Diff(base, next)
	must.NoError(t, err)
	var changed []configurer.Item
	var removed []string
	for _, d := range diff {
		if d.After == nil {
			removed = append(removed, d.Key)
		} else {
			changed = append(changed, configurer.Item{Key: d.Key, Value: d.After})
		}
	}
	must.Len(t, 3, changed)
	got, err := configurer.Patch(base, 8, changed, removed)
	must.NoError(t, err)
	want, err := configurer.Marshal(next)
	must.NoError(t, err)
	patched, err := configurer.Marshal(got)
	must.NoError(t, err)
	must.EqOp(t, string(want), string(patched))
	after, err := configurer.Marshal(base)
	must.NoError(t, err)
	must.EqOp(t, string(before), string(after))
	_, err = configurer.Patch(base, 8, nil, []string{"models/finch"})
	must.ErrorContains(t, err, "no model is named")
}

// Guards against a change that a diff does not show, or shows under another item.
func TestDiff(t *testing.T) {
	a, b := parse(t, configurationFile), parse(t, configurationFile)
	b.Models = append(slices.Clone(b.Models), configurer.Model{Name: "wren", Versions: b.Models[0].Versions})
	b.Operators = nil
	b.Spend.Committed++
	diff, err := configurer.Diff(a, b)
	must.NoError(t, err)
	got := make([]string, 0, len(diff))
	for _, d := range diff {
		got = append(got, d.Kind()+" "+d.Key)
	}
	must.Eq(t, []string{"added models/wren", "removed operators/duty", "changed spend"}, got)
}

// Guards against a file that is no YAML document at all and counts as one with a wrong field, and the reverse.
func TestMalformed(t *testing.T) {
	for text, want := range map[string]bool{
		"": true, "revision: [": true, "revision: 7\n---\nrevision: 8": true, strings.Repeat("[", 1000): true,
		"revision: x": false, "weather: 1": false, "7": false,
	} {
		_, err := configurer.Parse("c.yaml", []byte(text))
		var invalid *configurer.InvalidError
		must.True(t, errors.As(err, &invalid))
		must.EqOp(t, want, invalid.Malformed, must.Sprint(text))
	}
}

// Guards against a panic on malicious input, and an accepted file that yields another configuration after a round trip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(configurationFile))
	f.Add([]byte(strings.Replace(configurationFile, "name: urgent", "name: \"1.5: #\\n\"", 1)))
	f.Add([]byte("ranks: [{name: a, floor: 1e-9, first-token: 1ns, between-tokens: 1h, deadline: 1s, worth: 0}]"))
	f.Add([]byte("ranks: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configurer.Parse("f", data)
		if err != nil {
			return
		}
		b, err := configurer.Marshal(c)
		must.NoError(t, err)
		again, err := configurer.Parse("f", b)
		must.NoError(t, err)
		second, err := configurer.Marshal(again)
		must.NoError(t, err)
		must.True(t, bytes.Equal(b, second))
		items, err := configurer.Split(c)
		must.NoError(t, err)
		got, err := configurer.Assemble(c.Revision, items)
		must.NoError(t, err)
		must.Eq(t, c, got)
	})
}
