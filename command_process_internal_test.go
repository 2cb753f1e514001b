package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/questioner"
)

// Guards against a process that starts with invalid settings, or whose error lacks file, line or field.
func TestProcessRefusesSettings(t *testing.T) {
	for kind, tc := range map[string]struct{ old, new, want string }{
		"entry": {"[dc-1, dc-2]", "[dc-2]", "entry.yaml:2: data-centre: no entry of data-centres is named \"dc-1\""},
		"agent": {"region:", "regoin:", "agent.yaml:3: regoin: unknown key"},
	} {
		t.Run(kind, func(t *testing.T) {
			text, err := os.ReadFile("configurer/testdata/" + kind + ".yaml")
			must.NoError(t, err)
			must.StrContains(t, string(text), tc.old)
			file := filepath.Join(t.TempDir(), kind+".yaml")
			must.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(text), tc.old, tc.new, 1)), 0o600))
			_, _, err = execute(t, kind, "--settings", file)
			must.ErrorContains(t, err, tc.want)
			_, _, err = execute(t, kind)
			must.ErrorContains(t, err, "settings")
			_, _, err = execute(t, kind, "--settings", file, "--log-level", "loud")
			must.ErrorContains(t, err, "log-level")
		})
	}
}

// Guards against example keys that do not match the key hashes in the example configurations. The questionnaire derives both the
// keys and the hashes from the answers.
func TestExampleKeys(t *testing.T) {
	for _, dir := range []string{"solas-sraide", "muleta-certa"} {
		answers, err := readAnswers(filepath.Join("examples", dir, "answers.yaml"))
		must.NoError(t, err)
		data, err := os.ReadFile(filepath.Join("examples", dir, "keys.yaml"))
		must.NoError(t, err)
		var keys keyFile
		must.NoError(t, yaml.Unmarshal(data, &keys))
		must.EqOp(t, len(answers.ClientAccounts), len(keys.Keys))
		for _, k := range keys.Keys {
			must.EqOp(t, questioner.ExampleKey(answers.Team, string(k.ClientAccount)), k.Key)
		}
	}
}

// Guards against a replay that sends requests although one of its input files or addresses is invalid.
func TestReplayRefusesInputs(t *testing.T) {
	const dir = "examples/muleta-certa/"
	short := filepath.Join(t.TempDir(), "keys.yaml")
	must.NoError(t, os.WriteFile(short, []byte("keys:\n  - client-account: lisboa\n    key: k\n"), 0o600))
	for name, tc := range map[string]struct{ trace, against, keys, configuration, want string }{
		"address":       {dir + "trace.ndjson", "localhost:1", dir + "keys.yaml", dir + "configuration.yaml", "--against"},
		"missing key":   {dir + "trace.ndjson", "127.0.0.1:1", short, dir + "configuration.yaml", "keys.yaml:1: keys: the key of client account"},
		"trace":         {dir + "answers.yaml", "127.0.0.1:1", dir + "keys.yaml", dir + "configuration.yaml", "line 1"},
		"configuration": {dir + "trace.ndjson", "127.0.0.1:1", dir + "keys.yaml", dir + "answers.yaml", "unknown key"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := execute(t, "replay", tc.trace, "--against", tc.against, "--keys", tc.keys, "--configuration", tc.configuration)
			must.ErrorContains(t, err, tc.want)
		})
	}
}
