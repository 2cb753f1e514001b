package replayer

import (
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Violation is one breach of a rule: a result that the trace or an invariant does not permit.
type Violation struct {
	// Entry is the index of the entry, counted from 0.
	Entry int
	// Rule is one of the rules that Verify checks.
	Rule   string
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("entry %d: %s: %s", v.Entry+1, v.Rule, v.Detail)
}

// The rules that Verify checks.
const (
	RuleStatedOutcome    = "stated-outcome"
	RuleCompleteAnswer   = "complete-answer"
	RuleOwnAnswer        = "own-answer"
	RuleAllowedVersion   = "allowed-version"
	RuleSessionVersion   = "session-version"
	RuleSameAnswer       = "same-answer"
	RuleOutcomeGiven     = "outcome-given"
	RuleWithdrawnVersion = "withdrawn-version"
)

// Nonce returns the marker in the prompt of entry i, which its answer must repeat.
func Nonce(i int) string {
	return fmt.Sprintf("nonce-%06d", i)
}

// Verify returns the violations that the results show, given the configuration in force while the trace was played.
func Verify(t *Trace, cfg *configurer.Configuration, results []Result) []Violation {
	var violations []Violation
	sessionTargets := map[sessionKey]identifier.Target{}
	for i := range results {
		r, e := &results[i], &t.Entries[i]
		report := func(rule, format string, args ...any) {
			violations = append(violations, Violation{Entry: i, Rule: rule, Detail: fmt.Sprintf(format, args...)})
		}
		if r.Err != nil {
			report(RuleCompleteAnswer, "%v", r.Err)
			continue
		}
		if !e.Expect.Permits(r.Status, r.Code) {
			report(RuleStatedOutcome, "status %d code %q, permitted %v %q", r.Status, r.Code, e.Expect.Statuses, e.Expect.Code)
		}
		if r.Status != 200 {
			if r.Outcome == "" {
				report(RuleOutcomeGiven, "status %d has no outcome", r.Status)
			}
			continue
		}
		verifyAnswer(t, cfg, results, r, e, sessionTargets, report)
	}
	return violations
}

type sessionKey struct {
	account identifier.ClientAccount
	session identifier.Session
}

func verifyAnswer(
	t *Trace, cfg *configurer.Configuration, results []Result, r *Result, e *Entry,
	sessionTargets map[sessionKey]identifier.Target, report func(rule, format string, args ...any),
) {
	if !r.Complete && r.Code == "" {
		report(RuleCompleteAnswer, "the answer ended early without an error event")
	}
	source := r.Entry
	if e.Expect.SameAnswerAs > 0 {
		source = e.Expect.SameAnswerAs - 1
		if first := results[source]; first.Status == 200 && first.Text != r.Text {
			report(RuleSameAnswer, "the answer differs from that of entry %d", source+1)
		}
	}
	if nonce := Nonce(source); strings.Contains(t.Entries[source].Prompt, nonce) && r.Complete &&
		!strings.Contains(r.Text, nonce) {
		report(RuleOwnAnswer, "the answer does not repeat %s", nonce)
	}
	if e.Call != nil {
		return
	}
	account := cfg.ClientAccount(e.ClientAccount)
	if v := cfg.Version(r.Target); v != nil && v.State == configurer.VersionWithdrawn {
		report(RuleWithdrawnVersion, "%s was withdrawn before the trace was played", r.Target)
	}
	if account == nil || !account.Allows(r.Target) {
		report(RuleAllowedVersion, "%s is not allowed for %s", r.Target, e.ClientAccount)
	}
	if e.Session == "" {
		return
	}
	key := sessionKey{account: e.ClientAccount, session: e.Session}
	if first, ok := sessionTargets[key]; !ok {
		sessionTargets[key] = r.Target
	} else if first != r.Target {
		report(RuleSessionVersion, "session %s went from %s to %s", e.Session, first, r.Target)
	}
}
