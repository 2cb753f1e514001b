package demonstrator_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/demonstrator"
)

// Guards against a path from caller to engine that loses, doubles or misdelivers an answer, or its bill.
func TestRunAnswersEveryRank(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, demonstrator.Run(t.Context(), &b, 1), must.Sprint(b.String()))
	for _, rank := range []string{"urgent", "normal", "batch"} {
		must.StrContains(t, b.String(), rank)
	}
	must.StrContains(t, b.String(), "unbilled answers: 0")
}
