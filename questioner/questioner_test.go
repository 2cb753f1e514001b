package questioner_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/questioner"
)

var exampleDeployments = []string{"solas-sraide", "muleta-certa"}

func readExample(t testing.TB, deployment, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("../examples/" + deployment + "/" + name)
	must.NoError(t, err)
	return b
}

// Guards against example configurations that no longer match their answers, and against output that differs between runs.
func TestGenerateMatchesExamples(t *testing.T) {
	for _, name := range exampleDeployments {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				a, err := questioner.Parse("answers.yaml", readExample(t, name, "answers.yaml"))
				must.NoError(t, err)
				got, err := questioner.Generate(a)
				must.NoError(t, err)
				must.EqOp(t, string(readExample(t, name, "configuration.yaml")), string(got))
				must.Len(t, 10, a.ClientAccounts)
			}
		})
	}
}

// Guards against a secret key in the YAML, and against a configuration without the hash of an example key.
func TestGenerateHoldsHashesOnly(t *testing.T) {
	for _, name := range exampleDeployments {
		a, err := questioner.Parse("answers.yaml", readExample(t, name, "answers.yaml"))
		must.NoError(t, err)
		generated, err := questioner.Generate(a)
		must.NoError(t, err)
		for _, acc := range a.ClientAccounts {
			secret := questioner.ExampleKey(a.Team, string(acc.Name))
			must.StrNotContains(t, string(generated), secret)
			must.StrContains(t, string(generated), questioner.HashKey(secret))
		}
		for _, o := range a.Operators {
			must.StrContains(t, string(generated), questioner.HashKey(questioner.ExampleOperatorKey(a.Team, o.Name)))
		}
		a.UseExampleKeys = false
		generated, err = questioner.Generate(a)
		must.NoError(t, err)
		must.StrNotContains(t, string(generated), "sha256")
	}
}

// Guards against a changed answer that changes no item of the configuration, or other items than its own.
func TestChangedAnswerChangesItsItem(t *testing.T) {
	text := string(readExample(t, "muleta-certa", "answers.yaml"))
	for name, tc := range map[string]struct{ old, new, want string }{
		"nights":         {"trials-without-staff: false", "trials-without-staff: true", "models/melro"},
		"worth":          {"worth: 0.8", "worth: 0.9", "ranks"},
		"quality":        {"quality: 0.75", "quality: 0.7", "work-kinds/counter-answer"},
		"account size":   {"large: true", "large: false", "client-accounts/coimbra-counter"},
		"spend":          {"owed-in-any-case: 18000", "owed-in-any-case: 19000", "spend"},
		"non-idempotent": {"path: /bookings", "path: /book", "services/refunds"},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, text, tc.old)
			before, err := questioner.Parse("a", []byte(text))
			must.NoError(t, err)
			after, err := questioner.Parse("a", []byte(strings.Replace(text, tc.old, tc.new, 1)))
			must.NoError(t, err)
			a, err := questioner.Configuration(before)
			must.NoError(t, err)
			b, err := questioner.Configuration(after)
			must.NoError(t, err)
			diff, err := configurer.Diff(a, b)
			must.NoError(t, err)
			must.Len(t, 1, diff)
			must.EqOp(t, tc.want, diff[0].Key)
		})
	}
}

// Guards against contradictory answers that are accepted, or refused without the names of both questions.
func TestParseRefusesContradictions(t *testing.T) {
	text := string(readExample(t, "solas-sraide", "answers.yaml"))
	for name, tc := range map[string]struct{ old, new, first, second string }{
		"shares":         {"share-kept: 0.25", "share-kept: 0.37", "ranks[2].share-kept", "ranks[0].share-kept"},
		"late start":     {"useless-after: 10s", "useless-after: 1s", "ranks[0].answer-starts-within", "ranks[0].useless-after"},
		"limit":          {"never-more-than: 90000", "never-more-than: 50000", "spend.never-more-than", "spend.owed-in-any-case"},
		"period":         {"until: 2027", "until: 2025", "spend.until", "spend.from"},
		"no end":         {"  until: 2027-01-01T00:00:00Z\n", "", "spend.owed-in-any-case", "spend.until"},
		"volumes":        {"requests-per-day: 40000", "requests-per-day: 400000000", "spend.never-more-than", "work[].requests-per-day"},
		"quality":        {"quality: 0.6\n", "quality: 0.8\n", "work[4].quality", "client-accounts[8].models"},
		"no model":       {"    models:\n      - model: finch-small\n    services: []", "    services: []", "client-accounts[9].work", "client-accounts[9].models"},
		"trials":         {"on-trial: 0\n        input-price: 0.15", "on-trial: 0.97\n        input-price: 0.15", "models[0].versions[1].on-trial", "models[0].versions[0].on-trial"},
		"nights":         {"without-staff: true", "without-staff: false", "nights.trials-without-staff", "nights.without-staff"},
		"viewer":         {"role: operator", "role: viewer", "operators[0].may-withdraw", "operators[0].role"},
		"rank":           {"    rank: urgent\n    quality: 0.85", "    rank: urgnet\n    quality: 0.85", "a.yaml:29: work[0].rank", "no rank is named"},
		"version":        {"versions: [v1]", "versions: [v9]", "client-accounts[7].models[1].versions[0]", "no version"},
		"duplicate name": {"name: status-check", "name: energisation-order", "work[1].name", "appears twice"},
		"file, line":     {"worth: 1.5", "worht: 1.5", "a.yaml:11", "unknown key"},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, text, tc.old)
			_, err := questioner.Parse("a.yaml", []byte(strings.Replace(text, tc.old, tc.new, 1)))
			must.ErrorContains(t, err, tc.first)
			must.ErrorContains(t, err, tc.second)
		})
	}
}

// Guards against answers that are lost when they are saved and read again.
func TestMarshalRoundTrip(t *testing.T) {
	a, err := questioner.Parse("a", readExample(t, "solas-sraide", "answers.yaml"))
	must.NoError(t, err)
	b, err := questioner.Marshal(a)
	must.NoError(t, err)
	again, err := questioner.Parse("b", b)
	must.NoError(t, err)
	must.Eq(t, a, again)
}

// interviewInput holds the lines of a user who goes back once to correct the region. An empty line keeps the default.
const interviewInput = "Test team\nwrong\n1\n" +
	"\n\n\n\n\n\n\n3\n" + // Back from the first rank.
	"\nie-west\n1\n" +
	"\n\n\n\n\n\n\n1\n" + "\n\n\n\n\n\n\n1\n" + "\n\n\n\n\n\n\n1\n" + // Three ranks.
	"order\n1\n0.7\ny\n128\n100\n200\nno double orders\n1\n" +
	"finch\nv1 0.1 0.2 0.8 0; v2 0.1 0.2 0.8 0.1\n\n1\n" +
	"depot\n1\nPOST /orders\n\n2\n" + // One service, then another that is left empty and so removed.
	"\n\n\n\n1\n" +
	"council\nn\norder\nfinch\ndepot\n0\n\n1\n" +
	"EUR\n2026-01-01\n2027-01-01\n100\n200\n1\n\n1\n" +
	"y\nn\nday team only\n1\n" +
	"duty\noperator\ny\n1\n" +
	"y\n"

// Guards against answers that are not stored, and against a page from which the user cannot go back.
func TestInterview(t *testing.T) {
	var out bytes.Buffer
	v := questioner.NewInterview(questioner.WithInput(strings.NewReader(interviewInput)), questioner.WithOutput(&out), questioner.WithAccessible())
	a, err := v.Run(t.Context(), questioner.Defaults(time.Date(2026, 5, 6, 0, 0, 0, 0, time.UTC)))
	must.NoError(t, err, must.Sprint(out.String()))
	must.EqOp(t, "ie-west", a.Region)
	must.EqOp(t, "Test team", a.Team)
	must.True(t, a.WorkKinds[0].NonIdempotent)
	must.StrContains(t, out.String(), "work order: rank urgent, quality 0.7, 100 a day, runs at most once")
	c, err := questioner.Configuration(a)
	must.NoError(t, err)
	must.True(t, c.Models[0].Versions[1].Paused)
	must.Len(t, 3, c.Ranks)
	must.Len(t, 1, c.Services)
	must.EqOp(t, "/orders", c.Services[0].NonIdempotent[0].Path)
}

// Guards against an interview that ignores earlier answers as defaults, or does not show which items have changed.
func TestInterviewStartsFromAnswers(t *testing.T) {
	a, err := questioner.Parse("a", readExample(t, "muleta-certa", "answers.yaml"))
	must.NoError(t, err)
	before, err := questioner.Configuration(a)
	must.NoError(t, err)
	// The first rank gets a worth of 0.9; every other question keeps its answer.
	lines := "\n\n\n" + "\n\n\n\n\n0.9\n\n\n" + strings.Repeat("\n", 400)
	var out bytes.Buffer
	v := questioner.NewInterview(questioner.WithInput(strings.NewReader(lines)), questioner.WithOutput(&out),
		questioner.WithAccessible(), questioner.WithPrevious(before))
	got, err := v.Run(t.Context(), *a)
	must.NoError(t, err, must.Sprint(out.String()))
	c, err := questioner.Configuration(got)
	must.NoError(t, err)
	diff, err := configurer.Diff(before, c)
	must.NoError(t, err)
	must.Len(t, 1, diff)
	must.EqOp(t, "ranks", diff[0].Key)
	must.StrContains(t, out.String(), "\nchanged ranks\n")
}

// Guards against an interview that goes on asking after its input has ended.
func TestInterviewEndsWithItsInput(t *testing.T) {
	v := questioner.NewInterview(questioner.WithInput(strings.NewReader("Test team\n")), questioner.WithOutput(io.Discard), questioner.WithAccessible())
	_, err := v.Run(t.Context(), questioner.Defaults(time.Now()))
	must.ErrorIs(t, err, questioner.ErrAborted)
}

// Guards against a panic on malicious answers, accepted answers whose configuration is refused, and output that differs
// between runs.
func FuzzParse(f *testing.F) {
	for _, name := range exampleDeployments {
		f.Add(readExample(f, name, "answers.yaml"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := questioner.Parse("f", data)
		if err != nil {
			return
		}
		first, err := questioner.Generate(a)
		must.NoError(t, err)
		second, err := questioner.Generate(a)
		must.NoError(t, err)
		must.True(t, bytes.Equal(first, second))
	})
}
