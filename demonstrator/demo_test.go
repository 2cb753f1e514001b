package demonstrator_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/demonstrator"
)

// Guards against an answer or a bill that is lost, duplicated or delivered to another caller between caller and upstream.
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

// Guards against a committed trace that differs from the generator's output, and against one that contains no
// non-idempotent service call or no repeat of one.
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
