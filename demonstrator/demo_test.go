package demonstrator_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/demonstrator"
)

// Guards against a path from caller to engine that loses an answer or a bill.
func TestRunAnswersEveryRank(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, demonstrator.Run(t.Context(), &b))
	for _, rank := range []string{"urgent", "normal", "batch"} {
		must.StrContains(t, b.String(), rank)
	}
}
