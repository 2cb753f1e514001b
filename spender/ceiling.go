package spender

import (
	"fmt"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// headroomFraction is the part of the commitment by which a ceiling exceeds the amount spent and reserved. It is thus the
	// most that a crash of an entry loses besides the reservations of its running requests: 144 crashes in a period lose 0.3% of
	// the commitment, of which 1% may stay unused. At the target size a share is smaller than the headroom and needs no witness.
	headroomFraction = 1e-5
	// ceilingRefreshInterval is the time between two messages about a retired share; it must be well below recoverAfter.
	ceilingRefreshInterval = 5 * time.Second
	// maxWitnessFailures is the number of successive witnesses that may fail before a share is used without one, so that entries
	// that cannot reach each other still spend. With a limit of 1, pausing an eighth of the entries makes an eighth of the shares
	// unrecoverable.
	maxWitnessFailures = 3
)

// Ceiling is the message by which the holder of a share promises its witness to spend at most Amount of it.
type Ceiling struct {
	Share string `json:"share"`
	// Row is the key of the row that holds the share.
	Row      string    `json:"row"`
	Deadline time.Time `json:"until"`
	// Sequence numbers the messages about the share from 1, so that a delayed message does not replace a later one.
	Sequence uint64  `json:"sequence"`
	Amount   float64 `json:"amount"`
	// Settled says that the share was returned and no longer needs a witness.
	Settled bool `json:"settled,omitempty"`
}

// Witnesses gives the holder of shares access to their witnesses.
type Witnesses struct {
	// Pick returns the witness for the next share, or an empty name if there is none.
	Pick func() identifier.Instance
	// SendCeiling returns nil only if the witness stored the ceiling. It must limit its own duration, because Reserve may wait
	// for it.
	SendCeiling func(witness identifier.Instance, c Ceiling) error
}

// WithWitnesses sets the access to the witnesses, through which other entries recover the shares of this one after a crash.
func WithWitnesses(w Witnesses) Option { return func(s *Spender) { s.witnesses = w } }

// NewWithWitness returns the spender of an entry and its witness for the shares of other entries.
func NewWithWitness(
	cfg func() *configurer.Configuration, t Table, self identifier.DataCentre, dataCentres []identifier.DataCentre, w Witnesses,
	ledgerOpts []LedgerOption, opts ...Option,
) (*Spender, *Witness) {
	l := NewTableLedger(cfg, t, self, dataCentres, ledgerOpts...)
	return New(cfg, l.Ledger(), append([]Option{WithWitnesses(w)}, opts...)...), NewWitness(l.Shrink, l.now)
}

// ceilingState is what the holder of a share knows of its witness; a share without a witness may be spent in full.
type ceilingState struct {
	witness identifier.Instance
	// ceiling never exceeds the ceiling that the witness stores, whether or not the last message arrived.
	ceiling  float64
	sequence uint64
	sentAt   time.Time
	// witnessLost is set by the first failed message; from then on a reservation that needs a higher ceiling is refused.
	witnessLost bool
	// sendMu serialises the messages about a share; it is locked before Spender.mu.
	sendMu sync.Mutex
}

// withinCeiling reports whether the amount spent and reserved is within the ceiling.
func (s *share) withinCeiling() bool { return s.witness == "" || s.spent+s.reserved <= s.ceiling }

// needsHigherCeiling reports whether to raise the ceiling: more than half of the headroom is used, and the ceiling leaves less
// than the share has free.
func (s *share) needsHigherCeiling(headroom float64) bool {
	left := s.ceiling - s.spent - s.reserved
	return s.witness != "" && !s.witnessLost && left < headroom/2 && left < s.free()
}

// ceilingHeadroom returns the amount by which ceilings exceed the amount spent and reserved.
func ceilingHeadroom(spend *configurer.Spend) float64 {
	if spend.Committed > 0 {
		return headroomFraction * spend.Committed
	}
	return headroomFraction * spend.HardLimit
}

// ensureCovered raises the ceiling of sh until it covers all reservations, including the caller's; if it returns false, the
// caller must not use its reservation.
func (s *Spender) ensureCovered(sh *share) bool {
	sh.sendMu.Lock()
	defer sh.sendMu.Unlock()
	s.mu.Lock()
	covered := sh.withinCeiling()
	s.mu.Unlock()
	return covered || s.sendCeiling(sh, ceilingHeadroom(&s.cfg().Spend), false)
}

// sendCeiling sends a ceiling that covers the reservations of sh and the headroom; the caller holds sh.sendMu. The holder lowers
// its own ceiling before the message and raises it after the reply, so that it never exceeds the ceiling of the witness.
func (s *Spender) sendCeiling(sh *share, headroom float64, settled bool) bool {
	s.mu.Lock()
	if sh.witnessLost {
		s.mu.Unlock()
		return false
	}
	sh.sequence++
	sh.sentAt = s.now()
	m := Ceiling{Share: sh.ID, Row: sh.Row, Deadline: sh.Deadline, Sequence: sh.sequence, Settled: settled}
	m.Amount = sh.spent + sh.reserved + min(headroom, max(0, sh.free()))
	sh.ceiling = min(sh.ceiling, m.Amount)
	s.mu.Unlock()
	err := s.witnesses.SendCeiling(sh.witness, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		sh.witnessLost = true
		s.counters.ceilingsFailed++
		return false
	}
	sh.ceiling = m.Amount
	s.counters.ceilingsSent++
	return true
}

// assignWitness selects the witness of a new share and sends it the first ceiling. If that fails, the share must be returned
// unused, because the witness may have received the message and may later close the share at the ceiling in it.
func (s *Spender) assignWitness(sh *share) error {
	spend := &s.cfg().Spend
	headroom := ceilingHeadroom(spend)
	if s.witnesses.Pick == nil || sh.Amount <= headroom || s.witnessFailures >= maxWitnessFailures {
		s.witnessFailures = 0
		return nil
	}
	if sh.witness = s.witnesses.Pick(); sh.witness == "" {
		return nil
	}
	sh.sendMu.Lock()
	defer sh.sendMu.Unlock()
	if !s.sendCeiling(sh, headroom, false) {
		s.witnessFailures++
		return fmt.Errorf("spender: witness %s accepted no ceiling for share %s", sh.witness, sh.ID)
	}
	s.witnessFailures = 0
	return nil
}

// refreshCeilings reports to the witnesses of retired shares that the holder is alive, and lowers their ceilings to what is still
// reserved. It raises the ceiling of the current share ahead of need, so that an unreachable witness is detected while the rest
// of the ceiling still covers the requests until the next share is available.
func (s *Spender) refreshCeilings() {
	headroom := ceilingHeadroom(&s.cfg().Spend)
	s.mu.Lock()
	now, current := s.now(), s.current
	var due []*share
	for _, r := range s.retired {
		if r.witness != "" && !r.witnessLost && !now.Before(r.sentAt.Add(ceilingRefreshInterval)) {
			due = append(due, r)
		}
	}
	raise := current != nil && current.needsHigherCeiling(headroom)
	s.mu.Unlock()
	if raise {
		current.sendMu.Lock()
		s.sendCeiling(current, headroom, false)
		current.sendMu.Unlock()
	}
	for _, r := range due {
		r.sendMu.Lock()
		s.sendCeiling(r, 0, false)
		r.sendMu.Unlock()
	}
}
