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

var deployments = []string{"solas-sraide", "muleta-certa"}

func read(t testing.TB, deployment, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("../examples/" + deployment + "/" + name)
	must.NoError(t, err)
	return b
}

// Guards against generated files that drift from the answers beside them, and against unstable bytes.
func TestGenerateMatchesExamples(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				a, err := questioner.Parse("answers.yaml", read(t, name, "answers.yaml"))
				must.NoError(t, err)
				got, err := questioner.Generate(a)
				must.NoError(t, err)
				must.EqOp(t, string(read(t, name, "configuration.yaml")), string(got))
				must.Len(t, 10, a.ClientAccounts)
			}
		})
	}
}

// Guards against a secret in the YAML, and against an example key that its account does not accept.
func TestGenerateHoldsHashesOnly(t *testing.T) {
	for _, name := range deployments {
		a, err := questioner.Parse("answers.yaml", read(t, name, "answers.yaml"))
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

// Guards against an answer that changes nothing, or more than it says.
func TestChangedAnswerChangesItsItem(t *testing.T) {
	text := string(read(t, "muleta-certa", "answers.yaml"))
	for name, tc := range map[string]struct{ old, new, want string }{
		"nights":  {"trials-without-staff: false", "trials-without-staff: true", "models/melro"},
		"worth":   {"worth: 0.8", "worth: 0.9", "ranks"},
		"quality": {"quality: 0.75", "quality: 0.7", "work-kinds/counter-answer"},
		"size":    {"large: true", "large: false", "client-accounts/coimbra-counter"},
		"spend":   {"owed-in-any-case: 18000", "owed-in-any-case: 19000", "spend"},
		"once":    {"path: /bookings", "path: /book", "services/refunds"},
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
	text := string(read(t, "solas-sraide", "answers.yaml"))
	for name, tc := range map[string]struct{ old, new, first, second string }{
		"shares":     {"share-kept: 0.25", "share-kept: 0.37", "ranks[2].share-kept", "ranks[0].share-kept"},
		"too late":   {"useless-after: 10s", "useless-after: 1s", "ranks[0].answer-starts-within", "ranks[0].useless-after"},
		"limit":      {"never-more-than: 90000", "never-more-than: 50000", "spend.never-more-than", "spend.owed-in-any-case"},
		"period":     {"until: 2027", "until: 2025", "spend.until", "spend.from"},
		"no end":     {"  until: 2027-01-01T00:00:00Z\n", "", "spend.owed-in-any-case", "spend.until"},
		"volumes":    {"requests-per-day: 40000", "requests-per-day: 400000000", "spend.never-more-than", "work[].requests-per-day"},
		"quality":    {"quality: 0.6\n", "quality: 0.8\n", "work[4].quality", "client-accounts[8].models"},
		"no model":   {"    models:\n      - model: finch-small\n    services: []", "    services: []", "client-accounts[9].work", "client-accounts[9].models"},
		"trials":     {"on-trial: 0\n        input-price: 0.15", "on-trial: 0.97\n        input-price: 0.15", "models[0].versions[1].on-trial", "models[0].versions[0].on-trial"},
		"nights":     {"without-staff: true", "without-staff: false", "nights.trials-without-staff", "nights.without-staff"},
		"viewer":     {"role: operator", "role: viewer", "operators[0].may-withdraw", "operators[0].role"},
		"rank":       {"    rank: urgent\n    quality: 0.85", "    rank: urgnet\n    quality: 0.85", "a.yaml:29: work[0].rank", "no rank is named"},
		"version":    {"versions: [v1]", "versions: [v9]", "client-accounts[7].models[1].versions[0]", "no version"},
		"twice":      {"name: status-check", "name: energisation-order", "work[1].name", "appears twice"},
		"file, line": {"worth: 1.5", "worht: 1.5", "a.yaml:11", "unknown key"},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, text, tc.old)
			_, err := questioner.Parse("a.yaml", []byte(strings.Replace(text, tc.old, tc.new, 1)))
			must.ErrorContains(t, err, tc.first)
			must.ErrorContains(t, err, tc.second)
		})
	}
}

// Guards against answers that a saved file does not give back.
func TestMarshalRoundTrip(t *testing.T) {
	a, err := questioner.Parse("a", read(t, "solas-sraide", "answers.yaml"))
	must.NoError(t, err)
	b, err := questioner.Marshal(a)
	must.NoError(t, err)
	again, err := questioner.Parse("b", b)
	must.NoError(t, err)
	must.Eq(t, a, again)
}

// The answers of one person who goes back once to correct the region. An empty line keeps the default.
const session = "Test team\nwrong\n1\n" +
	"\n\n\n\n\n\n\n3\n" + // back from the first rank
	"\nie-west\n1\n" +
	"\n\n\n\n\n\n\n1\n" + "\n\n\n\n\n\n\n1\n" + "\n\n\n\n\n\n\n1\n" + // three ranks
	"order\n1\n0.7\ny\n128\n100\n200\nno double orders\n1\n" +
	"finch\nv1 0.1 0.2 0.8 0; v2 0.1 0.2 0.8 0.1\n\n1\n" +
	"depot\n1\nPOST /orders\n\n2\n" + // one service, then another that is left empty
	"\n\n\n\n1\n" +
	"council\nn\norder\nfinch\ndepot\n0\n\n1\n" +
	"EUR\n2026-01-01\n2027-01-01\n100\n200\n1\n\n1\n" +
	"y\nn\nday team only\n1\n" +
	"duty\noperator\ny\n1\n" +
	"y\n"

// Guards against questions whose answers are lost, and against a way back that does not work.
func TestInterview(t *testing.T) {
	var out bytes.Buffer
	v := questioner.NewInterview(questioner.WithInput(strings.NewReader(session)), questioner.WithOutput(&out), questioner.WithAccessible())
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

// Guards against an interview that starts anew instead of from earlier answers, or hides what they change.
func TestInterviewStartsFromAnswers(t *testing.T) {
	a, err := questioner.Parse("a", read(t, "muleta-certa", "answers.yaml"))
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

// Guards against an interview that never ends when its input does.
func TestInterviewEndsWithItsInput(t *testing.T) {
	v := questioner.NewInterview(questioner.WithInput(strings.NewReader("Test team\n")), questioner.WithOutput(io.Discard), questioner.WithAccessible())
	_, err := v.Run(t.Context(), questioner.Defaults(time.Now()))
	must.ErrorIs(t, err, questioner.ErrAborted)
}

// Guards against a panic on hostile answers, and against accepted answers that generate a refused configuration.
func FuzzParse(f *testing.F) {
	for _, name := range deployments {
		f.Add(read(f, name, "answers.yaml"))
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
