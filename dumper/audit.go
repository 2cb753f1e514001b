package dumper

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// redactedText replaces a value that looks like a secret.
const redactedText = "redacted"

// secretPattern matches keys of callers and operators, bearer tokens, PEM blocks and hashes of keys. Hashes count as
// secrets because they allow an offline search for the key.
var secretPattern = regexp.MustCompile(`(?i)\bsk-[0-9a-z_-]{8,}|\bexample-[0-9a-f]{32}|\bbearer +\S+|-----BEGIN|\b[0-9a-f]{64}\b`)

// secretKeys are the object keys whose string values are always redacted.
var secretKeys = []string{"secret", "password", "authorization", "api-key", "private-key", "sha256"}

// keyPattern matches object keys in kebab case, and names of models, addresses and the like, which may also be keys.
var keyPattern = regexp.MustCompile(`^[a-z0-9]+([-./:@_][a-z0-9]+)*$`)

// Audit lists the problems of a state in JSON: keys that are not in kebab case and values that look like secrets. Each
// problem has the path of the value and never the value itself.
func Audit(state []byte) ([]string, error) {
	v, err := parse(state)
	if err != nil {
		return nil, err
	}
	var problems []string
	redactSecrets(v, "", func(path, problem string) { problems = append(problems, path+": "+problem) })
	slices.Sort(problems)
	return problems, nil
}

func parse(state []byte) (any, error) {
	var v any
	d := json.NewDecoder(bytes.NewReader(state))
	// Numbers keep their digits, because a revision above 2^53 is not exact as a float64.
	d.UseNumber()
	if err := d.Decode(&v); err != nil {
		return nil, fmt.Errorf("dumper: parse state: %w", err)
	}
	return v, nil
}

// redact returns the state with the keys and values that look like secrets replaced, and their number.
func redact(state []byte) (json.RawMessage, int, error) {
	v, err := parse(state)
	if err != nil {
		return nil, 0, err
	}
	n := 0
	v = redactSecrets(v, "", func(_, problem string) {
		if problem == secretProblem {
			n++
		}
	})
	if n == 0 {
		return state, 0, nil
	}
	b, err := json.Marshal(v)
	return b, n, err
}

// The problems that redactSecrets reports.
const (
	secretProblem = "looks like a secret"
	keyProblem    = "the key is not in kebab case"
)

// redactSecrets returns v with secrets replaced, and reports each problem with the path of its value.
func redactSecrets(v any, path string, report func(path, problem string)) any {
	switch v := v.(type) {
	case map[string]any:
		redacted := make(map[string]any, len(v))
		for k, child := range v {
			childPath := path + "/" + k
			if secretPattern.MatchString(k) {
				report(path, secretProblem)
				k, childPath = redactedText, path+"/"+redactedText
			} else if !keyPattern.MatchString(k) {
				report(childPath, keyProblem)
			}
			if text, ok := child.(string); ok && text != "" && slices.Contains(secretKeys, strings.ToLower(k)) {
				report(childPath, secretProblem)
				redacted[k] = redactedText
				continue
			}
			redacted[k] = redactSecrets(child, childPath, report)
		}
		return redacted
	case []any:
		for i := range v {
			v[i] = redactSecrets(v[i], fmt.Sprintf("%s/%d", path, i), report)
		}
		return v
	case string:
		if secretPattern.MatchString(v) {
			report(path, secretProblem)
			return redactedText
		}
	}
	return v
}
