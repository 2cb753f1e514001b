package arbiter

import "time"

const (
	// inquirySilence is how long an inquiry lasts at most without an answer.
	inquirySilence = 200 * time.Millisecond
	// minAskInterval and maxAskInterval bound the time between two rounds of questions, which doubles with each round for the same
	// configuration.
	minAskInterval = 100 * time.Millisecond
	maxAskInterval = 2 * time.Second
)

// Claim is what another entry says of the configuration that it has in force.
type Claim struct {
	// Starts is set if the entry starts and has none in force yet.
	Starts   bool   `json:"starts,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Digest   uint64 `json:"digest,omitempty"`
}

// Inquiry decides when an entry that starts may use the configuration that the store shows. The store alone cannot tell that it has
// come back from an older copy and that the operator has not written again, but entries that were running know. It is not safe for
// concurrent use.
type Inquiry struct {
	// doubt is how long the inquiry lasts at most while answers contradict the store.
	doubt time.Duration
	began time.Time
	// nextAskAt is when the next round is due, and askInterval the time from that to the one after it.
	nextAskAt   time.Time
	askInterval time.Duration
	// shown identifies the configuration on which the last round was asked.
	shown identity
	// asked is the number of entries asked in the present round, and answers holds their answers.
	asked   int
	answers map[string]Claim
	// contradicted is set once an answer contradicts the store, until most answers of a round do not.
	contradicted bool
}

// NewInquiry returns an inquiry of an entry whose arbiter has a Hold.
func NewInquiry(hold time.Duration) *Inquiry {
	return &Inquiry{doubt: oldHoldFactor * hold}
}

// Begin begins the inquiry, unless it has begun.
func (x *Inquiry) Begin(now time.Time) {
	if x.began.IsZero() {
		x.began = now
	}
}

// IsAskDue reports whether a round of questions is due while the store shows a configuration. One that is new begins anew.
func (x *Inquiry) IsAskDue(shown *Candidate, now time.Time) bool {
	if shown.identity() != x.shown {
		x.shown, x.nextAskAt, x.askInterval = shown.identity(), now, minAskInterval
	}
	return !now.Before(x.nextAskAt)
}

// Ask begins a round in which a number of entries are asked, 0 if there are no others.
func (x *Inquiry) Ask(asked int, now time.Time) {
	x.asked, x.answers = asked, map[string]Claim{}
	x.nextAskAt = now.Add(x.askInterval)
	x.askInterval = min(2*x.askInterval, maxAskInterval)
}

// Answer records the answer of an entry.
func (x *Inquiry) Answer(entry string, c Claim) {
	if x.answers != nil {
		x.answers[entry] = c
	}
}

// Allows reports whether the configuration that the store shows may be used. A store in era 0 has never come back from a copy.
func (x *Inquiry) Allows(shown *Candidate, now time.Time) bool {
	if shown.At.Era == 0 || x.answers != nil && x.asked == 0 {
		return true
	}
	agreeing := 0
	for _, c := range x.answers {
		if c.agrees(shown) {
			agreeing++
		} else {
			x.contradicted = true
		}
	}
	if agreeing == len(x.answers) && 2*agreeing > x.asked {
		return true
	}
	limit := inquirySilence
	if x.contradicted {
		limit = x.doubt
	}
	return now.Sub(x.began) >= limit
}

// agrees reports whether a claim does not speak against the configuration that the store shows.
func (c *Claim) agrees(shown *Candidate) bool {
	return c.Starts || c.Revision < shown.Table.Revision || identity{c.Revision, c.Digest} == shown.identity()
}
