package assembler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/spender"
)

// Guards against a spend witness that is built but not connected: a ceiling must reach the other entry of the data centre, and
// the refusal of a repeated ceiling must reach the entry that sent it.
func TestCeilingReachesWitness(t *testing.T) {
	entries := controlPair(t)
	witness := entries[0].pickWitness()
	must.EqOp(t, identifier.Instance("entry-1"), witness)
	c := spender.Ceiling{Share: "s", Row: "spend/p/dc-1", Deadline: time.Now().Add(time.Minute), Sequence: 1, Amount: 2}
	must.NoError(t, entries[0].sendCeiling(witness, c))
	must.ErrorContains(t, entries[0].sendCeiling(witness, c), spender.ErrCeilingRefused.Error())
	must.EqOp(t, 1, entries[1].witness.Counters()["ceilings-kept"])
	must.EqOp(t, 1, entries[1].witness.Counters()["ceilings-refused"])
}
