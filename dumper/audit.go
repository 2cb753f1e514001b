package dumper

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// redactedText stands in the place of a value that looks like a secret.
const redactedText = "redacted"

// secretForms matches values that are keys of callers and operators, authorization headers, PEM blocks and hashes of
// keys: a hash in a dump would allow guesses to be checked offline.
var secretForms = regexp.MustCompile(`(?i)\bsk-[0-9a-z_-]{8,}|\bexample-[0-9a-f]{32}|\bbearer +\S+|-----BEGIN|\b[0-9a-f]{64}\b`)

// secretKeys are keys whose values are secrets whatever they look like.
var secretKeys = []string{"secret", "password", "authorization", "api-key", "private-key", "sha256"}

// keyForm matches kebab case; names of models, addresses and the like may also be keys.
var keyForm = regexp.MustCompile(`^[a-z0-9]+([-./:@_][a-z0-9]+)*$`)

// Audit lists what is wrong with the JSON form of a state: keys that are not in kebab case and values that look like
// secrets. It names the place and never the value.
func Audit(state []byte) ([]string, error) {
	v, err := parse(state)
	if err != nil {
		return nil, err
	}
	var problems []string
	walk(v, "", func(place, problem string) { problems = append(problems, place+": "+problem) })
	slices.Sort(problems)
	return problems, nil
}

func parse(state []byte) (any, error) {
	var v any
	d := json.NewDecoder(bytes.NewReader(state))
	// Numbers keep their digits; a revision above 2^53 would change as a float64.
	d.UseNumber()
	if err := d.Decode(&v); err != nil {
		return nil, fmt.Errorf("dumper: parse state: %w", err)
	}
	return v, nil
}

// redact returns the state with the values that look like secrets replaced, and their number.
func redact(state []byte) (json.RawMessage, int, error) {
	v, err := parse(state)
	if err != nil {
		return nil, 0, err
	}
	n := 0
	v = walk(v, "", func(_, problem string) {
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

// The problems that walk reports.
const (
	secretProblem = "looks like a secret"
	keyProblem    = "the key is not in kebab case"
)

// walk reports problems and returns v with secrets replaced.
func walk(v any, place string, report func(place, problem string)) any {
	switch v := v.(type) {
	case map[string]any:
		clean := make(map[string]any, len(v))
		for k, child := range v {
			at := place + "/" + k
			if secretForms.MatchString(k) {
				report(place, secretProblem)
				k, at = redactedText, place+"/"+redactedText
			} else if !keyForm.MatchString(k) {
				report(at, keyProblem)
			}
			if text, ok := child.(string); ok && text != "" && slices.Contains(secretKeys, strings.ToLower(k)) {
				report(at, secretProblem)
				clean[k] = redactedText
				continue
			}
			clean[k] = walk(child, at, report)
		}
		return clean
	case []any:
		for i := range v {
			v[i] = walk(v[i], fmt.Sprintf("%s/%d", place, i), report)
		}
		return v
	case string:
		if secretForms.MatchString(v) {
			report(place, secretProblem)
			return redactedText
		}
	}
	return v
}
