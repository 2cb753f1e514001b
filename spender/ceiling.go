package spender

import (
	"fmt"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// headroomPart is the part of the commitment by which a ceiling exceeds what is spent and reserved, and thus the most that the
	// crash of an entry loses beside its running requests: 144 crashes in a period lose 0.3% of the commitment, of which 1% may be
	// left. At the target size a share is smaller than that and needs no witness.
	headroomPart = 1e-5
	// keepInterval is the time between two messages about a retired share; it must be well below recoverAfter.
	keepInterval = 5 * time.Second
	// maxRefusals is the number of witnesses that may fail one after another before a share goes without one, so that entries that
	// cannot reach each other still spend. With 1, an eighth of the entries paused left an eighth of the shares unrecoverable.
	maxRefusals = 3
)

// Ceiling is the message by which the holder of a share promises its witness not to spend more of it than Amount.
type Ceiling struct {
	Share string `json:"share"`
	// Row is the key of the row that holds the share.
	Row      string    `json:"row"`
	Deadline time.Time `json:"until"`
	// Sequence counts the messages about the share from 1, so that a delayed one is not taken for the latest.
	Sequence uint64  `json:"sequence"`
	Amount   float64 `json:"amount"`
	// Settled says that the share was returned and needs no witness any more.
	Settled bool `json:"settled,omitempty"`
}

// Witnesses is the access of a holder to the witnesses of its shares.
type Witnesses struct {
	// Pick returns the witness for the next share, or an empty name if there is none.
	Pick func() identifier.Instance
	// SendCeiling returns nil only if the witness keeps the ceiling. It must bound its own time, because Reserve may wait for it.
	SendCeiling func(witness identifier.Instance, c Ceiling) error
}

// WithWitnesses lets other entries recover the shares of this one.
func WithWitnesses(p Witnesses) Option { return func(s *Spender) { s.peers = p } }

// NewWitnessed returns the parts of the committed spend that one entry runs: its spender and its witness for the shares of others.
func NewWitnessed(
	cfg func() *configurer.Configuration, t Table, self identifier.DataCentre, all []identifier.DataCentre, p Witnesses,
	ledgerOpts []LedgerOption, opts ...Option,
) (*Spender, *Witness) {
	l := NewTableLedger(cfg, t, self, all, ledgerOpts...)
	return New(cfg, l.Ledger(), append([]Option{WithWitnesses(p)}, opts...)...), NewWitness(l.Shrink, l.now)
}

// witnessed is what the holder knows of the witness of a share; a share without one may be spent in full.
type witnessed struct {
	name identifier.Instance
	// ceiling is at most what the witness keeps, whether or not the last message arrived.
	ceiling  float64
	sequence uint64
	toldAt   time.Time
	// severed is set by the first failed message; the share then takes no reservation that needs a higher ceiling.
	severed bool
	// telling is held during a message, so that messages about a share are sent one at a time; it is locked before Spender.mu.
	telling sync.Mutex
}

// covered reports whether everything reserved and spent is within the ceiling.
func (s *share) covered() bool { return s.name == "" || s.spent+s.reserved <= s.ceiling }

// low reports whether the ceiling is to be raised: half of the headroom is used, and more of the share is free than that.
func (s *share) low(room float64) bool {
	left := s.ceiling - s.spent - s.reserved
	return s.name != "" && !s.severed && left < room/2 && left < s.free()
}

// headroom returns the amount by which ceilings exceed what is spent and reserved.
func headroom(spend *configurer.Spend) float64 {
	if spend.Committed > 0 {
		return headroomPart * spend.Committed
	}
	return headroomPart * spend.HardLimit
}

// cover raises the ceiling of c until it covers all reservations, the caller's included; false means that the caller's
// reservation must not be used.
func (s *Spender) cover(c *share) bool {
	c.telling.Lock()
	defer c.telling.Unlock()
	s.mu.Lock()
	covered := c.covered()
	s.mu.Unlock()
	return covered || s.tell(c, headroom(&s.cfg().Spend), false)
}

// tell sends the ceiling that covers c and the headroom; c.telling is held. The own ceiling is lowered before the message and
// raised after the reply, so that it never exceeds the witness's.
func (s *Spender) tell(c *share, room float64, settled bool) bool {
	s.mu.Lock()
	if c.severed {
		s.mu.Unlock()
		return false
	}
	c.sequence++
	c.toldAt = s.now()
	m := Ceiling{Share: c.ID, Row: c.Row, Deadline: c.Deadline, Sequence: c.sequence, Settled: settled}
	m.Amount = c.spent + c.reserved + min(room, max(0, c.free()))
	c.ceiling = min(c.ceiling, m.Amount)
	s.mu.Unlock()
	err := s.peers.SendCeiling(c.name, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		c.severed = true
		s.counters.untold++
		return false
	}
	c.ceiling = m.Amount
	s.counters.told++
	return true
}

// register gives a new share its witness. If that fails the share must be returned unused, because the witness may have
// taken the message and may close the share at the ceiling in it.
func (s *Spender) register(c *share) error {
	spend := &s.cfg().Spend
	room := headroom(spend)
	if s.peers.Pick == nil || c.Amount <= room || s.refusals >= maxRefusals {
		s.refusals = 0
		return nil
	}
	if c.name = s.peers.Pick(); c.name == "" {
		return nil
	}
	c.telling.Lock()
	defer c.telling.Unlock()
	if !s.tell(c, room, false) {
		s.refusals++
		return fmt.Errorf("spender: witness %s did not take share %s", c.name, c.ID)
	}
	s.refusals = 0
	return nil
}

// keep tells the witnesses of retired shares that their holder lives, and lowers their ceilings to what is still reserved. It
// raises the ceiling of the current share ahead of need, so that a witness out of reach is found out while what is left of
// the ceiling covers the requests until another share is at hand.
func (s *Spender) keep() {
	room := headroom(&s.cfg().Spend)
	s.mu.Lock()
	now, current := s.now(), s.current
	var due []*share
	for _, r := range s.retired {
		if r.name != "" && !r.severed && !now.Before(r.toldAt.Add(keepInterval)) {
			due = append(due, r)
		}
	}
	raise := current != nil && current.low(room)
	s.mu.Unlock()
	if raise {
		current.telling.Lock()
		s.tell(current, room, false)
		current.telling.Unlock()
	}
	for _, r := range due {
		r.telling.Lock()
		s.tell(r, 0, false)
		r.telling.Unlock()
	}
}
