package inspector_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/comparer"
	"github.com/siskinfront/siskinfront/inspector"
)

// Guards against input that makes the check or the comparison panic, an error without a file, a malformed file without a
// finding, and a configuration that differs from itself.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(configurationFile), []byte(""))
	for _, tc := range findingCases() {
		f.Add([]byte(replace(f, tc.old, tc.new)), []byte(configurationFile))
	}
	for _, value := range []string{"", "null", "-1", "1e308", "99999999999999999999", "text", "[]", "{}", "\"\\u0000\"", "-9000h"} {
		f.Add([]byte(replace(f, "first-token: 400ms", "first-token: "+value)), []byte("ranks: []"))
		f.Add([]byte(replace(f, "tokens-per-second: 100", "tokens-per-second: "+value)), []byte("ranks: "+value))
		f.Add([]byte(replace(f, "[v1, v2]", value)), []byte(replace(f, "versions:", "versions: "+value)))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		before, findings, malformed := inspector.Check("a", first)
		after, _, _ := inspector.Check("b", second)
		for _, finding := range findings {
			must.EqOp(t, "a", finding.File)
			must.NotEq(t, "", finding.Message)
			must.EqOp(t, before == nil, finding.Severity == inspector.SeverityError)
		}
		must.True(t, before != nil || len(findings) > 0)
		must.False(t, malformed && before != nil)
		if before != nil {
			must.SliceEmpty(t, comparer.Differences(before, before))
			must.SliceEmpty(t, inspector.AddedWarnings(before, before))
		}
		if before != nil && after != nil {
			comparer.Differences(before, after)
			comparer.Differences(after, before)
		}
	})
}
