package assembler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/spender"
)

// ceilingTimeout bounds the sending of a ceiling to a witness. It is short because a request may wait for it.
const ceilingTimeout = 200 * time.Millisecond

// pickWitness returns a random other live entry of the local data centre, or an empty name if there is none. A witness in the
// same data centre stays reachable while the data centre is partitioned from the others.
func (e *Entry) pickWitness() identifier.Instance {
	others := e.liveEntriesOf(func(m *detector.Member) bool {
		return m.DataCentre == e.settings.DataCentre && m.Instance != e.settings.Instance
	})
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// sendCeiling sends the ceiling of a spend share to the witness of that share.
func (e *Entry) sendCeiling(witness identifier.Instance, c spender.Ceiling) error {
	ctx, cancel := context.WithTimeout(context.Background(), ceilingTimeout)
	defer cancel()
	_, err := callPeer[spender.Ceiling, Empty](ctx, e.peers, witness, methodSpendCeiling, c)
	return err
}
