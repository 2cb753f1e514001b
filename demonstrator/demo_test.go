package demonstrator_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/demonstrator"
)

// Guards against a path from caller to engine or service that loses, doubles or misdelivers an answer, or its bill.
func TestRunAnswersEveryRank(t *testing.T) {
	var progress, table bytes.Buffer
	r, err := demonstrator.Run(t.Context(), &progress, demonstrator.RecordedSeed)
	if r != nil {
		must.NoError(t, r.Write(&table))
	}
	must.NoError(t, err, must.Sprint(progress.String(), table.String()))
	for _, row := range r.Rows {
		must.Greater(t, 0, row.Answered, must.Sprint(row.Rank))
		must.EqOp(t, row.Answered, row.Billed+row.Repeated)
	}
	for _, text := range []string{
		"urgent", "normal", "batch", "solas-sraide: committed spend used", "muleta-certa: committed spend used",
		"violations of the invariants: 0",
	} {
		must.StrContains(t, table.String(), text)
	}
}

// Guards against a committed trace that the generator no longer makes, and one without calls that run at most once.
func TestCommittedTraces(t *testing.T) {
	for _, example := range []string{"solas-sraide", "muleta-certa"} {
		trace, err := demonstrator.Trace(example, demonstrator.RecordedSeed)
		must.NoError(t, err)
		var b bytes.Buffer
		must.NoError(t, trace.Write(&b))
		file := filepath.Join("..", "examples", example, "trace.ndjson")
		committed, err := os.ReadFile(file)
		must.NoError(t, err)
		must.True(t, bytes.Equal(committed, b.Bytes()), must.Sprintf("%s differs from the generator", file))
		var calls, repeats int
		for _, e := range trace.Entries {
			if e.Call != nil && e.IdempotencyKey != "" {
				calls++
				if e.Expect.SameAnswerAs > 0 {
					repeats++
				}
			}
		}
		must.Greater(t, 0, calls)
		must.Greater(t, 0, repeats)
	}
}
