package configurer_test

import (
	_ "embed"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
)

//go:embed testdata/entry.yaml
var entryFile string

//go:embed testdata/agent.yaml
var agentFile string

// Guards against a section of a file that resets the defaults of the settings it leaves out.
func TestParseSettingsKeepsDefaults(t *testing.T) {
	e, err := configurer.ParseEntrySettings("e.yaml", []byte(entryFile))
	must.NoError(t, err)
	must.EqOp(t, 20*time.Second, e.Timings.Shutdown)
	must.EqOp(t, 3*time.Second, e.Timings.SilenceTimeout)
	must.EqOp(t, 512, e.Limits.MaxRequests)
	must.EqOp(t, "127.0.0.1:7100", e.Platform.Table.String())
	a, err := configurer.ParseAgentSettings("a.yaml", []byte(agentFile))
	must.NoError(t, err)
	must.EqOp(t, 16, a.Upstream.Slots)
	must.EqOp(t, 1024, a.Limits.MaxQueued)
}

// Guards against settings with a mistake that are accepted, or refused without line and field.
func TestParseEntrySettingsRefuses(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown key":              {"region:", "regoin:", "e.yaml:3: regoin: unknown key"},
		"no unit":                  {"shutdown: 20s", "shutdown: 20", "e.yaml:15: timings.shutdown: \"20\" is not a duration"},
		"host name":                {"table: 127.0.0.1:7100", "table: localhost:7100", "e.yaml:9: platform.table:"},
		"no port":                  {"table: 127.0.0.1:7100", "table: 127.0.0.1", "e.yaml:9: platform.table:"},
		"missing":                  {"caller-address: 127.0.0.1:7002\n", "", "caller-address: is missing"},
		"unlisted data centre":     {"data-centre: dc-1", "data-centre: dc-9", "e.yaml:2: data-centre: no entry of data-centres is named \"dc-9\""},
		"data centre twice":        {"[dc-1, dc-2]", "[dc-1, dc-1]", "e.yaml:18: data-centres[1]: the name \"dc-1\" appears twice"},
		"no data centres":          {"data-centres: [dc-1, dc-2]", "", "e.yaml:1: data-centres: is missing"},
		"empty data centres":       {"[dc-1, dc-2]", "[]", "e.yaml:18: data-centres: "},
		"negative":                 {"max-requests: 512", "max-requests: -1", "e.yaml:17: limits.max-requests: must be more than 0"},
		"size unit":                {"max-requests: 512", "max-body-bytes: 4MB", "e.yaml:17: limits.max-body-bytes: needs a whole number"},
		"silence equals keepalive": {"shutdown: 20s", "silence: 1s", "e.yaml:15: timings.silence: must be more than keepalive"},
		"incomplete TLS":           {"limits:", "tls:\n  key: k.pem\nlimits:", "tls.certificate: is missing"},
		"agent setting":            {"limits:", "upstream: {}\nlimits:", "e.yaml:16: upstream: unknown key"},
		"not a list":               {"region: ie-west", "region: [ie-west]", "e.yaml:3: region: needs text"},
		"not a map":                {"timings:\n  shutdown: 20s", "timings: 20s", "e.yaml:14: timings: needs a mapping"},
		"admin without TLS":        {"admin-address: 127.0.0.1:7003", "admin-address: 10.0.0.4:7003", "e.yaml:7: admin-address: needs admin.certificate and admin.key, or admin.allow-plain"},
		"admin on any address":     {"admin-address: 127.0.0.1:7003", "admin-address: 0.0.0.0:7003", "e.yaml:7: admin-address: needs admin.certificate"},
		"admin without key":        {"admin-address: 127.0.0.1:7003", "admin-address: 127.0.0.1:7003\nadmin: {certificate: c.pem}", "e.yaml:8: admin.key: is missing"},
		"empty":                    {entryFile, "", "e.yaml: the file is empty"},
		"scalar document":          {entryFile, "7", "e.yaml:1: needs a mapping"},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, entryFile, tc.old)
			_, err := configurer.ParseEntrySettings("e.yaml", []byte(strings.Replace(entryFile, tc.old, tc.new, 1)))
			must.ErrorContains(t, err, tc.want)
		})
	}
}

// Guards against refusing an administration address other than loopback that has TLS files or is permitted without TLS.
func TestAdminAddressPermitted(t *testing.T) {
	for _, admin := range []string{"{certificate: c.pem, key: k.pem}", "{allow-plain: true}"} {
		text := strings.Replace(entryFile, "admin-address: 127.0.0.1:7003", "admin-address: 10.0.0.4:7003\nadmin: "+admin, 1)
		_, err := configurer.ParseEntrySettings("e.yaml", []byte(text))
		must.NoError(t, err, must.Sprint(admin))
	}
}

// Guards against a setting without documentation, and documentation of a setting that no longer exists.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	must.NoError(t, err)
	for heading, v := range map[string]any{
		"Entry": configurer.EntrySettings{}, "Agent": configurer.AgentSettings{}, "Configuration": configurer.Configuration{},
	} {
		_, section, found := strings.Cut(string(page), "\n## "+heading+"\n")
		must.True(t, found, must.Sprint(heading))
		section, _, _ = strings.Cut(section, "\n## ")
		rows := regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(section, -1)
		got := make([]string, 0, len(rows))
		for _, m := range rows {
			got = append(got, m[1])
		}
		want := configurer.FieldPaths(v)
		slices.Sort(want)
		slices.Sort(got)
		must.Eq(t, want, got, must.Sprint(heading))
	}
}

// Guards against a panic on malicious input, and an unusable value that the defaults and rules accept.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(entryFile))
	f.Add([]byte(agentFile))
	f.Add([]byte("platform: {table: '[::1%eth0]:1'}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if e, err := configurer.ParseEntrySettings("f", data); err == nil {
			must.True(t, e.CallerAddress.IsValid() && e.Platform.Table.IsValid() && e.Timings.Shutdown > 0 && e.Limits.MaxRequests > 0)
		}
		if a, err := configurer.ParseAgentSettings("f", data); err == nil {
			must.True(t, a.DataAddress.IsValid() && a.Upstream.Name != "" && a.Upstream.Slots > 0)
		}
	})
}
