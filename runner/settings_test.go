package runner_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/runner"
)

// renderTemplate returns the settings template in deploy with its placeholders filled in as the platform does it, all bounds
// stated.
func renderTemplate(t *testing.T) string {
	t.Helper()
	return renderTemplateWith(t, map[string]string{"ColdOver": "1.5", "ColdSlack": "5", "EvacuateMs": "6000"})
}

// renderTemplateWith is renderTemplate with the bounds that may be missing.
func renderTemplateWith(t *testing.T, bounds map[string]string) string {
	t.Helper()
	b, err := os.ReadFile("../deploy/settings.yaml.tmpl")
	must.NoError(t, err)
	dataCentres := "{{#Zones}}  - name: {{@}}\n    region: {{.|json}}\n{{/Zones}}"
	must.StrContains(t, string(b), dataCentres)
	return strings.NewReplacer(dataCentres, "  - name: ie-west-a\n    region: \"ie-west\"\n",
		"{{NodeName|json}}", `"front-1"`, "{{Zone|json}}", `"ie-west-a"`, "{{Region|json}}", `"ie-west"`,
		"{{Listen.Front|json}}", `"10.1.0.40:8227"`, "{{Listen.Ready|json}}", `"10.1.0.40:8220"`, "{{Ip}}", "10.1.0.40", "{{InternalPorts.0}}", "7340",
		"{{Platform.Address|json}}", `"10.200.1.7:8223"`, "{{Platform.ReadsPerS}}", "2000", "{{Limits.MemoryMb}}", "134", "{{Limits.CpuShare}}", "0.304", "{{Bounds.GraceS}}", "8",
		"{{Bounds.ExposeShare}}", "0.15", "{{Bounds.ExposeSlack}}", "30",
		"{{Bounds.RetryBudgetRatio}}", "0.9", "{{Bounds.RetryBudgetExtra}}", "56",
		"{{Bounds.SessionS}}", "8.5", "{{Bounds.ContactMs}}", "3000", "{{Bounds.DrainMs}}", "2000",
		"{{Bounds.ConfigApplyMs}}", "4000").Replace(renderSections(string(b), bounds))
}

// renderSections renders the sections of bounds that may be missing.
func renderSections(text string, bounds map[string]string) string {
	for _, name := range []string{"ColdOver", "ColdSlack", "EvacuateMs"} {
		open, end := "{{#Bounds."+name+"}}", "{{/Bounds."+name+"}}"
		before, rest, _ := strings.Cut(text, open)
		section, after, _ := strings.Cut(rest, end)
		value, ok := bounds[name]
		if !ok {
			section = ""
		}
		text = before + strings.ReplaceAll(section, "{{Bounds."+name+"}}", value) + after
	}
	return text
}

// Guards against a template that renders to invalid settings where the bounds of cold upstreams, or one of them, are not stated.
func TestTemplateWithoutColdBounds(t *testing.T) {
	for _, bounds := range []map[string]string{
		{}, {"ColdOver": "1.5", "ColdSlack": "5"}, {"ColdOver": "1.5"}, {"ColdSlack": "5"}, {"ColdOver": "0", "ColdSlack": "0"},
	} {
		text := renderTemplateWith(t, bounds)
		must.StrNotContains(t, text, "{{")
		s, err := runner.ParseSettings("entry.yaml", []byte(text))
		must.NoError(t, err, must.Sprint(text))
		over, _ := strconv.ParseFloat(bounds["ColdOver"], 64)
		slack, _ := strconv.ParseFloat(bounds["ColdSlack"], 64)
		must.Eq(t, runner.ColdSettings{Over: over, Slack: slack}, s.Cold)
	}
}

// Guards against a template that renders to settings which the entry rejects, and against a placeholder that is not filled in.
func TestTemplate(t *testing.T) {
	text := renderTemplate(t)
	must.StrNotContains(t, text, "{{")
	s, err := runner.ParseSettings("entry.yaml", []byte(text))
	must.NoError(t, err)
	must.EqOp(t, "front-1", string(s.Instance))
	must.EqOp(t, "10.1.0.40:9464", s.DebugAddress.String())
	must.EqOp(t, "10.1.0.40:7340", s.PeerAddress.String())
	must.True(t, s.SharedConfirmations)
	must.True(t, s.SharedTallies)
	must.True(t, s.SingleStoreProbe)
	must.EqOp(t, 8500*time.Millisecond, s.SessionTime)
	must.EqOp(t, 134_000_000, s.MemoryBytes)
	must.EqOp(t, 0.304, s.ProcessorShare)
	must.EqOp(t, 8*time.Second, s.Shutdown)
	must.EqOp(t, 30, s.ExposureSlack)
	must.EqOp(t, 0.9, s.Retries.Ratio)
	must.EqOp(t, 2*time.Second, s.LeaveTime)
	must.EqOp(t, 4*time.Second, s.ApplyTime)
	must.False(t, s.EvenLoad)
	must.False(t, s.SharedPrompts)
	must.EqOp(t, 6*time.Second, s.EvacuateTime)
	s, err = runner.ParseSettings("entry.yaml", []byte(renderTemplateWith(t, nil)))
	must.NoError(t, err)
	must.EqOp(t, 4*time.Second, s.ApplyTime)
	must.EqOp(t, 5*time.Second, s.EvacuateTime)
}

// Guards against entries that call each other without the setting.
func TestSharedTalliesByDefault(t *testing.T) {
	for _, value := range []string{"", "shared-tallies: false\n"} {
		s, err := runner.ParseSettings("entry.yaml", []byte(strings.Replace(renderTemplate(t), "shared-tallies: true\n", value, 1)))
		must.NoError(t, err, must.Sprint(value))
		must.False(t, s.SharedTallies, must.Sprint(value))
	}
}

// Guards against an entry that starts with invalid settings: the error names the file, the line and the field.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, test := range map[string]struct{ old, replacement, want string }{
		"unknown key":               {"shutdown:", "shut-down:", "shut-down"},
		"wrong unit":                {"shutdown: 8s", "shutdown: 8", "shutdown"},
		"missing field":             {"store: \"10.200.1.7:8223\"\n", "", "store"},
		"bad address":               {"10.1.0.40:8227", "10.1.0.40", "caller-address"},
		"no share":                  {"exposure: 0.15", "exposure: 1.5", "exposure"},
		"no time":                   {"evacuate-time: 6000ms", "evacuate-time: 0s", "evacuate-time"},
		"negative time":             {"evacuate-time: 6000ms", "evacuate-time: -1s", "evacuate-time"},
		"empty time":                {"evacuate-time: 6000ms", "evacuate-time:", "evacuate-time"},
		"time as text":              {"evacuate-time: 6000ms", "evacuate-time: soon", "evacuate-time"},
		"huge time":                 {"evacuate-time: 6000ms", "evacuate-time: 99999999999999h", "evacuate-time"},
		"negative over":             {"over: 1.5", "over: -1", "over"},
		"text as slack":             {"slack: 5", "slack: few", "slack"},
		"infinite over":             {"over: 1.5", "over: .inf", "over"},
		"number, not a truth value": {"confirmations: true", "confirmations: 1", "shared-confirmations"},
		"negative truth value":      {"confirmations: true", "confirmations: -1", "shared-confirmations"},
		"huge truth value":          {"confirmations: true", "confirmations: 1e300", "shared-confirmations"},
		"text as truth value":       {"confirmations: true", "confirmations: often", "shared-confirmations"},
		"number for prompts":        {"prompts: false", "prompts: 0", "shared-prompts"},
		"negative for prompts":      {"prompts: false", "prompts: -1", "shared-prompts"},
		"huge number for prompts":   {"prompts: false", "prompts: 1e300", "shared-prompts"},
		"text for prompts":          {"prompts: false", "prompts: long", "shared-prompts"},
		"number as tallies":         {"tallies: true", "tallies: 1", "shared-tallies"},
		"negative tallies":          {"tallies: true", "tallies: -1", "shared-tallies"},
		"huge tallies":              {"tallies: true", "tallies: 1e300", "shared-tallies"},
		"text as tallies":           {"tallies: true", "tallies: often", "shared-tallies"},
		"list as tallies":           {"tallies: true", "tallies: [true]", "shared-tallies"},
		"empty tallies":             {"tallies: true", "tallies:", "shared-tallies"},
		"null as tallies":           {"tallies: true", "tallies: null", "shared-tallies"},
		"number as probe":           {"probe: true", "probe: 1", "single-store-probe"},
		"negative probe":            {"probe: true", "probe: -1", "single-store-probe"},
		"huge probe":                {"probe: true", "probe: 1e300", "single-store-probe"},
		"text as probe":             {"probe: true", "probe: sometimes", "single-store-probe"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(renderTemplate(t), test.old, test.replacement, 1)
			_, err := runner.ParseSettings("entry.yaml", []byte(text))
			must.Error(t, err)
			must.StrContains(t, err.Error(), "entry.yaml")
			must.StrContains(t, err.Error(), test.want)
		})
	}
}
