package confirmer

import (
	"time"

	"github.com/siskinfront/siskinfront/storer"
)

// adopt takes over the round and the last change of a claim whose age is known.
func (t *Table) adopt(c *Claim, lowest storer.Position) {
	if int32(c.Round-t.round) > 0 {
		t.round = c.Round
	}
	if t.newest.Before(lowest) {
		t.newest = lowest
	}
}

// sampleReply takes over the time that a reply took; times that rise count at once.
func (t *Table) sampleReply(d time.Duration) {
	t.replyTime = max(d, (3*t.replyTime+d)/4)
}

// newsTime is the time that a held call has to deliver a change of which another entry has told.
func (t *Table) newsTime() time.Duration {
	return max(minNewsTime, min(2*t.replyTime, t.pace().Wait))
}
