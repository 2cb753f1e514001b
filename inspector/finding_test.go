package inspector_test

import (
	_ "embed"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/inspector"
)

//go:embed testdata/configuration.yaml
var configurationFile string

// replace replaces the first occurrence of old in the test configuration, which must contain it.
func replace(t testing.TB, old, replacement string) string {
	t.Helper()
	must.StrContains(t, configurationFile, old)
	return strings.Replace(configurationFile, old, replacement, 1)
}

// check returns the findings of a file as severity line field: message.
func check(text string) []string {
	_, findings, _ := inspector.Check("c.yaml", []byte(text))
	list := make([]string, 0, len(findings))
	for _, f := range findings {
		list = append(list, fmt.Sprintf("%s %s:%d %s: %s", f.Severity, f.File, f.Line, f.Field, f.Message))
	}
	return list
}

// findingCase is a change of the test configuration with the findings that it gives.
type findingCase struct {
	old, new string
	want     []string
}

// findingCases has a case for each check. The names of the cases say what each guards against leaving unreported.
func findingCases() map[string]findingCase {
	const kinds = "    work-kinds: [status-check, fault-summary]\n"
	return map[string]findingCase{
		"error": {"    worth: 1\n", "    worht: 1\n", []string{
			"error c.yaml:8 ranks[0].worht: unknown key"}},
		"floors over the whole": {"floor: 0.1", "floor: 0.5", []string{
			"warning c.yaml:2 ranks: the floors sum to 1.10, above 1; under overload no rank gets its whole floor"}},
		"first token beyond deadline": {"first-token: 400ms", "first-token: 6s", []string{
			`warning c.yaml:5 ranks[0].first-token: rank "urgent" has a first-token target beyond its deadline`}},
		"between tokens beyond deadline": {"between-tokens: 60ms", "between-tokens: 6s", []string{
			`warning c.yaml:6 ranks[0].between-tokens: rank "urgent" has a between-tokens target beyond its deadline`}},
		"rank without work": {"    rank: batch\n", "    rank: urgent\n", []string{
			`warning c.yaml:9 ranks[1].name: no kind of work and no service has the rank "batch"`}},
		"kind that nobody asks for": {kinds, "    work-kinds: [status-check]\n", []string{
			`warning c.yaml:21 work-kinds[1].name: no client account may ask for the kind of work "fault-summary"`}},
		"kind listed twice": {kinds, "    work-kinds:\n      - status-check\n      - fault-summary\n      - status-check\n", []string{
			`warning c.yaml:58 client-accounts[0].work-kinds[2]: "status-check" is already in the list, so this entry has no effect`}},
		"service listed twice": {"[orders]", "[orders, orders]", []string{
			`warning c.yaml:56 client-accounts[0].services[1]: "orders" is already in the list, so this entry has no effect`}},
		"version listed twice": {"[v1, v2]", "[v1, v2, v1]", []string{
			`warning c.yaml:53 client-accounts[0].allowed[0].versions[2]: "v1" is already in the list, so this entry has no effect`}},
		"exposures over the whole": {"        prior-quality: 0.9\n", "        prior-quality: 0.9\n      - {name: v3, state: candidate, exposure: 0.97}\n", []string{
			"warning c.yaml:36 models[0].versions[1].name: no client account may use finch@v3",
			`warning c.yaml:28 models[0].versions: the exposures of the candidates of "finch" sum to 1.02, above 1`}},
		"candidate paused at 0": {"exposure: 0.05", "exposure: 0", []string{
			"warning c.yaml:38 models[0].versions[1].exposure: candidate finch@v2 is paused at an exposure of 0 and receives no new work"}},
		"serving version paused": {"paused: false", "paused: true", []string{
			"warning c.yaml:34 models[0].versions[0].paused: finch@v1 is serving, so paused has no effect"}},
		"exposure of a serving version": {"exposure: 0\n", "exposure: 0.5\n", []string{
			"warning c.yaml:31 models[0].versions[0].exposure: finch@v1 is serving, so its exposure of 0.5 has no effect"}},
		"exposure of a withdrawn version": {"state: candidate\n        exposure: 0.05\n        paused: true", "state: withdrawn\n        exposure: 0.05", []string{
			"warning c.yaml:38 models[0].versions[1].exposure: finch@v2 is withdrawn, so its exposure of 0.05 has no effect"}},
		"version that nobody may use": {"[v1, v2]", "[v1]", []string{
			"warning c.yaml:36 models[0].versions[1].name: no client account may use finch@v2"}},
		"account without keys": {"keys:\n      - name: first\n        sha256: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n", "keys: []\n", []string{
			`warning c.yaml:48 client-accounts[0].keys: client account "galway-council" has no key and cannot call`}},
		"allowed model without new work": {"name: w1\n        state: serving", "name: w1\n        state: withdrawn", []string{
			`warning c.yaml:54 client-accounts[0].allowed[1]: none of the versions of "wren" that client account "galway-council" may use receives new work`}},
		"kinds that nothing serves": {"    allowed:\n      - model: finch\n        versions: [v1, v2]\n      - model: wren\n" + kinds, kinds, []string{
			"warning c.yaml:29 models[0].versions[0].name: no client account may use finch@v1",
			"warning c.yaml:36 models[0].versions[1].name: no client account may use finch@v2",
			"warning c.yaml:43 models[1].versions[0].name: no client account may use wren@w1",
			`warning c.yaml:51 client-accounts[0].work-kinds[0]: client account "galway-council" may use no version that receives new work`,
			`warning c.yaml:51 client-accounts[0].work-kinds[1]: client account "galway-council" may use no version that receives new work`}},
		"quality target out of reach": {"quality-target: 0.8", "quality-target: 0.95", []string{
			`warning c.yaml:55 client-accounts[0].work-kinds[0]: no version allowed to "galway-council" is expected to reach the quality target 0.95 of "status-check"; the best has 0.9`}},
		"answer over the limit of its account": {"tokens-per-second: 100", "tokens-per-second: 10", []string{
			`warning c.yaml:55 client-accounts[0].work-kinds[0]: one answer of "status-check" may have 64 tokens, more than the limit of client account "galway-council" gives within the deadline 5s of its rank`}},
		"service that nobody calls": {"services: [orders]", "services: []", []string{
			`warning c.yaml:60 services[0].name: no client account may call the service "orders"`}},
		"pattern covered by a later one": {"path: /orders\n", "path: /orders/a\n      - {method: post, path: orders}\n", []string{
			`warning c.yaml:63 services[0].non-idempotent[0]: every call that "POST /orders/a" selects is already selected by "post orders"`}},
		"pattern that appears twice": {"method: DELETE\n        path: /orders/open", "method: POST\n        path: /orders", []string{
			`warning c.yaml:65 services[0].non-idempotent[1]: every call that "POST /orders" selects is already selected by "POST /orders"`}},
		"no operator": {"operators:\n  - name: duty\n    role: operator\n    may-withdraw: true\n    keys:\n      - name: first\n        sha256: fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210\n", "", []string{
			"warning c.yaml:1 operators: there is no operator; the administration API refuses every request"}},
		"operator without keys": {"operators:\n", "operators:\n  - {name: night, role: viewer}\n", []string{
			`warning c.yaml:68 operators[0].keys: operator "night" has no key and cannot use the administration API`}},
		"no operator with a key": {"    keys:\n      - name: first\n        sha256: fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210\n", "", []string{
			"warning c.yaml:67 operators: no operator has a key; the administration API refuses every request"}},
		"commitment without end": {"  end: 2027-01-01T00:00:00Z\n", "", []string{
			"warning c.yaml:74 spend.end: a committed spend without an end of its period cannot be paced"}},
		"overflow factor of 0": {"overflow-factor: 1", "overflow-factor: 0", []string{
			"warning c.yaml:80 spend.overflow-factor: an overflow factor of 0 has no effect; list prices apply beyond the commitment"}},
	}
}

// Guards against a probable mistake that is not reported, or with another severity, line or field.
func TestFindings(t *testing.T) {
	for name, tc := range findingCases() {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, check(replace(t, tc.old, tc.new)))
		})
	}
}

// Guards against findings about a configuration without mistakes, and against a warning about what the promoter writes or starts.
func TestNoFindings(t *testing.T) {
	must.SliceEmpty(t, check(configurationFile))
	must.SliceEmpty(t, check(replace(t, "exposure: 0\n", "exposure: 1\n")))
	must.SliceEmpty(t, check(replace(t, "exposure: 0.05\n        paused: true", "exposure: 0\n        paused: false")))
	must.SliceEmpty(t, check(replace(t, "path: /orders/open", "path: /orders")))
}

// Guards against kinds of work of an account that count as served although all its versions are withdrawn.
func TestAllVersionsWithdrawn(t *testing.T) {
	text := replace(t, "state: candidate\n        exposure: 0.05\n        paused: true", "state: withdrawn")
	const message = `client account "galway-council" may use no version that receives new work`
	must.Eq(t, []string{
		"warning c.yaml:53 client-accounts[0].work-kinds[0]: " + message, "warning c.yaml:53 client-accounts[0].work-kinds[1]: " + message,
	}, check(strings.ReplaceAll(text, "state: serving", "state: withdrawn")))
}

// Guards against the line of another entry in a file whose entries are not sorted by name.
func TestLinesOfUnsortedFile(t *testing.T) {
	added := "services:\n"
	text := replace(t, added, "  - name: clare-council\n    allowed: [{model: finch}]\n    work-kinds: [status-check]\n    weight: 1\n"+added)
	must.Eq(t, []string{`warning c.yaml:59 client-accounts[1].keys: client account "clare-council" has no key and cannot call`}, check(text))
}

// Guards against a change of an item that is not warned of, and against one that repeats the warnings from before it.
func TestAddedWarnings(t *testing.T) {
	parse := func(text string) *configurer.Configuration {
		c, err := configurer.Parse("c.yaml", []byte(text))
		must.NoError(t, err)
		return c
	}
	before := parse(replace(t, "overflow-factor: 1", "overflow-factor: 0"))
	must.SliceEmpty(t, inspector.AddedWarnings(before, before))
	must.SliceEmpty(t, inspector.AddedWarnings(before, parse(configurationFile)))
	after := parse(strings.Replace(replace(t, "overflow-factor: 1", "overflow-factor: 0"), "services: [orders]", "services: []", 1))
	added := inspector.AddedWarnings(before, after)
	must.Len(t, 1, added)
	must.EqOp(t, "services[0].name", added[0].Field)
}

// Guards against a panic on a name that nothing defines, in a configuration that was not validated.
func TestWarningsOfUndefinedNames(t *testing.T) {
	must.SliceNotEmpty(t, inspector.Warnings(&configurer.Configuration{
		WorkKinds: []configurer.WorkKind{{Name: "chat", Rank: "none"}},
		ClientAccounts: []configurer.ClientAccount{{
			Name: "crew", TokensPerSecond: 1, Allowed: []configurer.AllowedModel{{Model: "none"}}, WorkKinds: []identifier.WorkKind{"none", "chat"},
		}},
	}))
}
