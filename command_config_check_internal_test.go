package main

import (
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/questioner"
)

const exampleConfiguration = "examples/solas-sraide/configuration.yaml"

// changedExample writes the example configuration with one replacement and returns the path.
func changedExample(t testing.TB, old, replacement string) string {
	t.Helper()
	text, err := os.ReadFile(exampleConfiguration)
	must.NoError(t, err)
	must.StrContains(t, string(text), old)
	return writeFile(t, strings.Replace(string(text), old, replacement, 1))
}

func writeFile(t testing.TB, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "c.yaml")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// serveExample serves the administration API with the example configuration and returns its address and a key file.
func serveExample(t testing.TB) (address, keyFile string) {
	t.Helper()
	text, err := os.ReadFile(exampleConfiguration)
	must.NoError(t, err)
	c, err := configurer.Parse(exampleConfiguration, text)
	must.NoError(t, err)
	server := administrator.New(administrator.NewMemoryStore(c, time.Now), administrator.WithLog(slog.New(slog.DiscardHandler)))
	return serve(t, server), writeFile(t, questioner.ExampleOperatorKey("Solas Sráide Trust", "auditor"))
}

// unusedAddress returns a loopback address at which nothing listens.
func unusedAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	return l.Addr().String()
}

// Guards against an exit status that takes a warning for no finding, a difference for a finding, or a file that was not
// checked for one with findings.
func TestConfigCheckExitStatus(t *testing.T) {
	address, keyFile := serveExample(t)
	differs := changedExample(t, "deadline: 10s", "deadline: 11s")
	warns := changedExample(t, "overflow-factor: 1.0", "overflow-factor: 0.0")
	refused := changedExample(t, "deadline: 10s", "deadline: 10")
	key := []string{"--key-file", keyFile}
	for name, tc := range map[string]struct {
		want int
		args []string
	}{
		"no findings":        {0, []string{exampleConfiguration}},
		"same file":          {0, []string{exampleConfiguration, "--against", exampleConfiguration}},
		"differences only":   {0, []string{differs, "--against", exampleConfiguration}},
		"in force":           {0, append([]string{differs, "--in-force", address}, key...)},
		"warning":            {1, []string{warns}},
		"warning and other":  {1, append([]string{warns, "--in-force", address}, key...)},
		"error":              {1, []string{refused}},
		"error and other":    {1, []string{refused, "--against", differs}},
		"error in an entry":  {1, []string{"--kind", "entry", writeFile(t, "instance: x")}},
		"no file":            {2, []string{differs + "x"}},
		"a directory":        {2, []string{t.TempDir()}},
		"malformed":          {2, []string{writeFile(t, "revision: [")}},
		"empty":              {2, []string{writeFile(t, "")}},
		"malformed entry":    {2, []string{"--kind", "entry", writeFile(t, "instance: [")}},
		"no other file":      {2, []string{differs, "--against", differs + "x"}},
		"other file refused": {2, []string{differs, "--against", refused}},
		"empty other file":   {2, []string{differs, "--against", ""}},
		"no answer":          {2, append([]string{differs, "--in-force", unusedAddress(t)}, key...)},
		"no key":             {2, []string{differs, "--in-force", address, "--key-file", differs + "x"}},
		"wrong key":          {2, []string{differs, "--in-force", address, "--key-file", differs}},
		"no address":         {2, append([]string{differs, "--in-force", ""}, key...)},
		"both others":        {2, append([]string{differs, "--in-force", address, "--against", differs}, key...)},
		"other for an entry": {2, []string{"--kind", "entry", "--against", differs, "configurer/testdata/entry.yaml"}},
		"unknown kind":       {2, []string{"--kind", "weather", differs}},
		"unknown output":     {2, []string{"--output", "xml", differs}},
		"unknown flag":       {2, []string{"--weather", differs}},
		"two files":          {2, []string{differs, differs}},
	} {
		t.Run(name, func(t *testing.T) {
			out, _, err := execute(t, append([]string{"config", "check"}, tc.args...)...)
			must.EqOp(t, tc.want, exitStatus(err), must.Sprint(out, err))
		})
	}
}

// Guards against JSON keys that change or are absent when there is nothing to list, and against JSON that lacks what the table shows.
func TestConfigCheckJSON(t *testing.T) {
	file := changedExample(t, "overflow-factor: 1.0", "overflow-factor: 0.0")
	out, _, err := execute(t, "config", "check", file, "--against", exampleConfiguration, "--output", "json")
	must.ErrorIs(t, err, errWarnings)
	var result map[string]any
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	keys := func(v any) []string {
		m, ok := v.(map[string]any)
		must.True(t, ok)
		var list []string
		for k := range m {
			list = append(list, k)
		}
		slices.Sort(list)
		return list
	}
	must.Eq(t, []string{"accepted", "differences", "file", "findings", "problems", "warnings"}, keys(result))
	findings, differences := result["findings"].([]any), result["differences"].([]any)
	must.Len(t, 1, findings)
	must.Eq(t, []string{"field", "file", "line", "message", "severity"}, keys(findings[0]))
	must.Eq(t, map[string]any{
		"severity": "warning", "file": file, "line": 327.0, "field": "spend.overflow-factor",
		"message": "an overflow factor of 0 has no effect; list prices apply beyond the commitment",
	}, findings[0].(map[string]any))
	must.Len(t, 1, differences)
	must.Eq(t, map[string]any{
		"section": "spend", "name": "", "field": "overflow-factor", "before": "1", "after": "0",
		"notice": "beyond the commitment, a request is charged another price",
	}, differences[0].(map[string]any))

	table, _, err := execute(t, "config", "check", file, "--against", exampleConfiguration)
	must.ErrorIs(t, err, errWarnings)
	for _, v := range append(findings, differences...) {
		for _, text := range v.(map[string]any) {
			if s, ok := text.(string); ok {
				must.StrContains(t, table, s)
			}
		}
	}
	out, _, err = execute(t, "config", "check", exampleConfiguration, "--output", "json")
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	for _, list := range []string{"differences", "findings", "problems", "warnings"} {
		must.Eq(t, []any{}, result[list].([]any), must.Sprint(list))
	}
}

// Guards against a check that compares with another configuration than the one in force, or that sends the checked file.
func TestConfigCheckInForce(t *testing.T) {
	address, keyFile := serveExample(t)
	file := changedExample(t, "name: clare-council", "name: clare-office")
	for range 2 {
		out, _, err := execute(t, "config", "check", file, "--in-force", address, "--key-file", keyFile)
		must.NoError(t, err)
		must.StrContains(t, out, `callers of client account "clare-council" are refused from then on`)
	}
}

// Guards against a value with a line break that looks like a further row of the table.
func TestConfigCheckTableRows(t *testing.T) {
	file := changedExample(t, "path: /energisation-orders", `path: "/a\nb"`)
	out, _, err := execute(t, "config", "check", file, "--against", exampleConfiguration)
	must.NoError(t, err)
	must.StrContains(t, out, `"POST /a\nb"`)
	must.EqOp(t, 4, strings.Count(out, "\n"), must.Sprint(out)) // The line on findings, the header and two differences.
}

// Guards against a help text of config check without the exit statuses.
func TestConfigCheckHelp(t *testing.T) {
	out, _, err := execute(t, "config", "check", "--help")
	must.NoError(t, err)
	for _, text := range []string{"exit status is 0", "--against", "--in-force", "siskinfront config check configuration.yaml --against old.yaml"} {
		must.StrContains(t, out, text)
	}
}
