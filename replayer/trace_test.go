package replayer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/replayer"
)

func configuration() *configurer.Configuration {
	return &configurer.Configuration{
		WorkKinds: []configurer.WorkKind{
			{Name: "order", Rank: "urgent", NonIdempotent: true, MaxTokens: 8},
			{Name: "status", Rank: "normal", MaxTokens: 8},
		},
		ClientAccounts: []configurer.ClientAccount{{
			Name: "a", WorkKinds: []identifier.WorkKind{"order", "status"},
			Allowed: []configurer.AllowedModel{{Model: "m"}},
		}},
	}
}

// Guards against a trace that differs after it was written and read again, or when generated twice with one seed.
func TestGeneratedTraceSurvivesWriting(t *testing.T) {
	traffic := replayer.Traffic{Duration: 5 * time.Second, Rate: 40, RepeatShare: 0.1}
	trace := replayer.Generate(configuration(), traffic, 3)
	must.Greater(t, 100, len(trace.Entries))
	must.Eq(t, trace, replayer.Generate(configuration(), traffic, 3))
	var b bytes.Buffer
	must.NoError(t, trace.Write(&b))
	read, err := replayer.Read(&b)
	must.NoError(t, err)
	must.Eq(t, trace, read)
}

// Guards against an invalid line that is skipped or reported without its number.
func TestReadNamesTheFaultyLine(t *testing.T) {
	good := `{"offset":"1s","client-account":"a","expect":{"statuses":[200]}}`
	for name, bad := range map[string]string{
		"unknown key":     `{"offset":"1s","client-account":"a","expect":{"statuses":[200]},"colour":1}`,
		"negative offset": `{"offset":"-1s","client-account":"a","expect":{"statuses":[200]}}`,
		"out of order":    `{"offset":"0s","client-account":"a","expect":{"statuses":[200]}}`,
		"no outcome":      `{"offset":"2s","client-account":"a","expect":{"statuses":[]}}`,
		"later answer":    `{"offset":"2s","client-account":"a","expect":{"statuses":[200],"same-answer-as":2}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := replayer.Read(strings.NewReader(good + "\n" + bad + "\n"))
			must.ErrorIs(t, err, replayer.ErrInvalidTrace)
			must.StrContains(t, err.Error(), "line 2")
		})
	}
}

// Guards against a check that accepts a misdelivered, truncated or disallowed answer, a session that changes its version,
// a status that the trace doesn't permit, or a refusal without an outcome.
func TestVerifyFindsEachViolation(t *testing.T) {
	target := identifier.Target{Model: "m", Version: "v1"}
	entry := func(i int) replayer.Entry {
		return replayer.Entry{
			ClientAccount: "a", Session: "s", Prompt: replayer.Nonce(i), Expect: replayer.Expect{Statuses: []int{200}},
		}
	}
	trace := &replayer.Trace{Entries: []replayer.Entry{entry(0), entry(1)}}
	good := func() []replayer.Result {
		results := make([]replayer.Result, 2)
		for i := range results {
			results[i] = replayer.Result{Entry: i, Status: 200, Target: target, Text: replayer.Nonce(i), Complete: true}
		}
		return results
	}
	must.SliceEmpty(t, replayer.Verify(trace, configuration(), good()))
	for rule, corrupt := range map[string]func(r *replayer.Result){
		replayer.RuleOwnAnswer:      func(r *replayer.Result) { r.Text = replayer.Nonce(0) },
		replayer.RuleCompleteAnswer: func(r *replayer.Result) { r.Complete = false },
		replayer.RuleAllowedVersion: func(r *replayer.Result) { r.Target.Model = "other" },
		replayer.RuleSessionVersion: func(r *replayer.Result) { r.Target.Version = "v2" },
		replayer.RuleStatedOutcome:  func(r *replayer.Result) { r.Status, r.Outcome = 500, "unknown" },
		replayer.RuleOutcomeGiven:   func(r *replayer.Result) { r.Status = 429 },
	} {
		t.Run(rule, func(t *testing.T) {
			results := good()
			corrupt(&results[1])
			var rules []string
			for _, v := range replayer.Verify(trace, configuration(), results) {
				rules = append(rules, v.Rule)
			}
			must.SliceContains(t, rules, rule)
		})
	}
}
