package replayer

import (
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Violation is one entry whose caller saw something that the trace or an invariant does not permit.
type Violation struct {
	Entry int
	// Rule names what was broken, in kebab case.
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

// Nonce returns the text that the prompt of entry i carries and that its answer must repeat.
func Nonce(i int) string {
	return fmt.Sprintf("nonce-%06d", i)
}

// Verify compares results with the trace and with the configuration in force while it was played.
func Verify(t *Trace, cfg *configurer.Configuration, results []Result) []Violation {
	var vs []Violation
	sessions := map[sessionKey]identifier.Target{}
	for i := range results {
		r, e := &results[i], &t.Entries[i]
		add := func(rule, format string, args ...any) {
			vs = append(vs, Violation{Entry: i, Rule: rule, Detail: fmt.Sprintf(format, args...)})
		}
		if r.Err != nil {
			add(RuleCompleteAnswer, "%v", r.Err)
			continue
		}
		if !e.Expect.Permits(r.Status, r.Code) {
			add(RuleStatedOutcome, "status %d code %q, permitted %v %q", r.Status, r.Code, e.Expect.Statuses, e.Expect.Code)
		}
		if r.Status != 200 {
			if r.Outcome == "" {
				add(RuleOutcomeGiven, "status %d has no outcome", r.Status)
			}
			continue
		}
		verifyAnswer(t, cfg, results, r, e, sessions, add)
	}
	return vs
}

type sessionKey struct {
	account identifier.ClientAccount
	session identifier.Session
}

func verifyAnswer(
	t *Trace, cfg *configurer.Configuration, results []Result, r *Result, e *Entry,
	sessions map[sessionKey]identifier.Target, add func(rule, format string, args ...any),
) {
	if !r.Complete && r.Code == "" {
		add(RuleCompleteAnswer, "the answer ended early without an error event")
	}
	source := r.Entry
	if e.Expect.SameAnswerAs > 0 {
		source = e.Expect.SameAnswerAs - 1
		if first := results[source]; first.Status == 200 && first.Text != r.Text {
			add(RuleSameAnswer, "differs from that of entry %d", source+1)
		}
	}
	if nonce := Nonce(source); strings.Contains(t.Entries[source].Prompt, nonce) && r.Complete &&
		!strings.Contains(r.Text, nonce) {
		add(RuleOwnAnswer, "the answer does not repeat %s", nonce)
	}
	if e.Call != nil {
		return
	}
	account := cfg.ClientAccount(e.ClientAccount)
	if v := cfg.Version(r.Target); v != nil && v.State == configurer.VersionWithdrawn {
		add(RuleWithdrawnVersion, "%s was withdrawn before the trace was played", r.Target)
	}
	if account == nil || !account.Allows(r.Target) {
		add(RuleAllowedVersion, "%s is not allowed for %s", r.Target, e.ClientAccount)
	}
	if e.Session == "" {
		return
	}
	key := sessionKey{account: e.ClientAccount, session: e.Session}
	if first, ok := sessions[key]; !ok {
		sessions[key] = r.Target
	} else if first != r.Target {
		add(RuleSessionVersion, "session %s went from %s to %s", e.Session, first, r.Target)
	}
}
