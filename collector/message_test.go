package collector_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/collector"
)

const (
	validTally = `{"entry":"a","to":"v2","number":7,"began-ms":1,"at-ms":2,"active":0,"exposure":0.5,"candidate":{},"stable":{},"held":[1]}`
	validCall  = `{"order":{"service":"drafting","to":"v2","number":7,"era":1},"tally":` + validTally + `,"short":true,"needs-status":false}`
	validSum   = `{"entry":"","to":"v2","number":7,"began-ms":1,"at-ms":9,"active":0,"exposure":0.5,"candidate":{},"stable":{},"held":[1]}`
	validEnd   = `{"to":"v2","number":7,"era":1,"state":"rolled-back","reason":"r","by":"a","at-ms":3}`
	validReply = `{"era":1,"clock-ms":9,"status-read":true,"status-written":true,"verdict":` + validEnd + `,"sum":` + validSum + `,"tallies":3,"next-ms":500}`
)

// invalidValues are those that a field of a message may have by mistake; a field that is absent has none.
func invalidValues() []string {
	return []string{"absent", "null", `""`, `"text"`, "-1", "1e300", "99999999999999999999", "[]", "{}", "[[]]", "true", "9223372036854775807"}
}

// withValue returns a message in which a field at a path has another value.
func withValue(t *testing.T, message string, path []string, value string) string {
	t.Helper()
	var root map[string]json.RawMessage
	must.NoError(t, json.Unmarshal([]byte(message), &root))
	switch {
	case len(path) > 1:
		root[path[0]] = json.RawMessage(withValue(t, string(root[path[0]]), path[1:], value))
	case value == "absent":
		delete(root, path[0])
	default:
		root[path[0]] = json.RawMessage(value)
	}
	b, err := json.Marshal(root)
	must.NoError(t, err)
	return string(b)
}

// paths returns the paths of all fields of a message.
func paths(t *testing.T, message string) [][]string {
	t.Helper()
	var root map[string]json.RawMessage
	must.NoError(t, json.Unmarshal([]byte(message), &root))
	var list [][]string
	for key, value := range root {
		list = append(list, []string{key})
		if strings.HasPrefix(string(value), "{") {
			for _, rest := range paths(t, string(value)) {
				list = append(list, append([]string{key}, rest...))
			}
		}
	}
	return list
}

// Guards against an invalid call that ends the collector, or that it takes although its tally cannot be written: every field absent, null,
// empty, text, negative, huge or of another type.
func TestInvalidCalls(t *testing.T) {
	_, err := collector.ParseCall([]byte(validCall))
	must.NoError(t, err)
	// Without these an entry has the usual value, and 1 and the like are valid numbers.
	refused := 0
	for _, path := range paths(t, validCall) {
		for _, value := range invalidValues() {
			c, err := collector.ParseCall([]byte(withValue(t, validCall, path, value)))
			if err != nil {
				must.ErrorIs(t, err, collector.ErrInvalid)
				refused++
				continue
			}
			must.NoError(t, c.Tally.Validate(), must.Sprint(path, value))
			must.EqOp(t, c.Order.Number, c.Tally.Number)
			must.True(t, c.Order.Service != "" && c.Order.To != "" && c.Order.Number > 0, must.Sprint(path, value))
		}
	}
	must.Greater(t, 100, refused)
	for name, data := range map[string]string{
		"empty": "", "null": "null", "text": `"x"`, "list": "[]", "no object": "{}", "cut": validCall[:len(validCall)-1],
		"oversized":         validCall[:len(validCall)-1] + `,"x":"` + strings.Repeat("x", collector.MaxCallBytes) + `"}`,
		"key of a verdict":  strings.Replace(validCall, `"entry":"a"`, `"entry":"/verdict/1"`, 1),
		"another order":     strings.Replace(validCall, `"number":7`, `"number":8`, 1),
		"too many sessions": strings.Replace(validCall, `"held":[1]`, `"held":[1`+strings.Repeat(",1", 1000)+`]`, 1),
		"negative count":    strings.Replace(validCall, `"candidate":{}`, `"candidate":{"r":{"bad":-1}}`, 1),
	} {
		_, err := collector.ParseCall([]byte(data))
		must.ErrorIs(t, err, collector.ErrInvalid, must.Sprint(name))
	}
}

// Guards against an invalid answer on which an entry acts.
func TestInvalidAnswers(t *testing.T) {
	_, err := collector.ParseAnswer([]byte(validReply), testOrder())
	must.NoError(t, err)
	refused := 0
	for _, path := range paths(t, validReply) {
		for _, value := range invalidValues() {
			a, err := collector.ParseAnswer([]byte(withValue(t, validReply, path, value)), testOrder())
			if err != nil {
				must.ErrorIs(t, err, collector.ErrInvalid)
				refused++
				continue
			}
			checkAnswer(t, &a)
		}
	}
	must.Greater(t, 60, refused)
	for name, data := range map[string]string{
		"empty": "", "null": "null", "no object": "{}", "list": "[]",
		"verdict on another order": strings.Replace(validReply, validEnd, strings.Replace(validEnd, "7", "8", 1), 1),
		"verdict without an end":   strings.Replace(validReply, "rolled-back", "canary", 1),
		"sum of another order":     strings.Replace(validReply, validSum, strings.Replace(validSum, "v2", "v3", 1), 1),
		"status and no verdict":    strings.Replace(validReply, `"verdict":`+validEnd+",", "", 1),
		"long interval":            strings.Replace(validReply, `"next-ms":500`, `"next-ms":1501`, 1),
		"no clock":                 strings.Replace(validReply, `"clock-ms":9`, `"clock-ms":0`, 1),
	} {
		_, err := collector.ParseAnswer([]byte(data), testOrder())
		must.ErrorIs(t, err, collector.ErrInvalid, must.Sprint(name))
	}
}

func checkAnswer(t *testing.T, a *collector.Answer) {
	t.Helper()
	must.True(t, a.StatusRead || a.Verdict != nil || a.Sum != nil)
	must.Between(t, 0, a.Next(), collector.LongInterval)
	must.GreaterEq(t, 0, a.ClockMillis)
	if a.Sum != nil {
		must.NoError(t, a.Sum.ValidateSum())
		must.EqOp(t, 7, a.Sum.Number)
	}
	if a.Verdict != nil {
		must.EqOp(t, 7, a.Verdict.Number)
	}
}

// Guards against bytes that end the process.
func TestRandomMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, valid := range []string{validCall, validReply} {
			b := []byte(valid)
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.SampledFrom([]byte(`{}[],:"-e9 xn`)).Draw(t, "byte")
			}
			if c, err := collector.ParseCall(b); err == nil {
				must.NoError(t, c.Tally.Validate())
			}
			if a, err := collector.ParseAnswer(b, testOrder()); err == nil && a.Sum != nil {
				must.NoError(t, a.Sum.ValidateSum(), must.Sprint(string(b)))
			}
		}
	})
}
