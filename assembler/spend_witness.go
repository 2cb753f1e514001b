package assembler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/spender"
)

// ceilingTimeout bounds a message to a witness, for which a request may wait.
const ceilingTimeout = 200 * time.Millisecond

// pickWitness returns a random live entry of the own data centre, which stays within reach while the data centre is cut off.
func (e *Entry) pickWitness() identifier.Instance {
	others := e.liveEntriesOf(func(m *detector.Member) bool {
		return m.DataCentre == e.settings.DataCentre && m.Instance != e.settings.Instance
	})
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// tellCeiling sends a ceiling to the witness of a share.
func (e *Entry) tellCeiling(witness identifier.Instance, c spender.Ceiling) error {
	ctx, cancel := context.WithTimeout(context.Background(), ceilingTimeout)
	defer cancel()
	_, err := ask[spender.Ceiling, None](ctx, e.peers, witness, methodSpendCeiling, c)
	return err
}
