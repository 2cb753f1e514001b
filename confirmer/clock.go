package confirmer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// drift is the share by which the clocks of two entries may differ in rate; a system that adjusts its clock does so by at most 500
	// parts in a million.
	drift = 1000.0 / 1_000_000
	// clockLifetime is the time after which the clock of another entry is asked for again. It keeps the loss by drift to 0.24 s, and the
	// questions of 330 entries to 1.4 a second at each of them.
	clockLifetime = 4 * time.Minute
	// maxClockAge is the time after which an answer counts no more.
	maxClockAge = 2 * clockLifetime
	// QuestionInterval is the least time between two questions of an entry, and repeatTime that between two to the same entry.
	QuestionInterval = time.Second / 3
	repeatTime       = 2 * time.Second
	// maxRoundTrip is the time above which an answer still counts but is asked for again, as claims then seem older than they are.
	maxRoundTrip = 200 * time.Millisecond
)

// peerClock is what is known of another entry's clock.
type peerClock struct {
	start uint64
	// zero is a time at or before which the clock of the entry began, as seen at measuredAt.
	zero, measuredAt time.Time
	askedAt          time.Time
	// unsure is set if the answer was slow, or if the entry has started again since.
	unsure bool
}

// Clocks relates the clocks of other entries to this one's without times of day. A question gives a lower bound: the clock of the other
// entry showed the stamp of its answer after the question was sent, however late the answer or later messages arrive. It is safe for
// concurrent use.
type Clocks struct {
	now   func() time.Time
	start uint64
	began time.Time

	mu    sync.Mutex
	peers map[netip.AddrPort]peerClock
}

// NewClocks returns the clocks as an entry that begins now sees them.
func NewClocks(now func() time.Time) *Clocks {
	return &Clocks{now: now, start: rand.Uint64(), began: now(), peers: map[netip.AddrPort]peerClock{}}
}

// Stamp returns a reading of this entry's clock.
func (c *Clocks) Stamp() Stamp {
	return Stamp{c.start, c.now().Sub(c.began)}
}

// Message returns the message with a claim that was true at a time. The age is read after the stamp, so that a pause of the process between
// the two makes the claim older, never younger.
func (c *Clocks) Message(claim Claim, at time.Time) Message {
	m := Message{Kind: KindClaim, Stamp: c.Stamp(), Claim: claim}
	m.Claim.Age = max(c.now().Sub(at), 0)
	return m
}

// TimeOf returns a time at or before which another entry made a stamp, or the zero time if its clock is not known.
func (c *Clocks) TimeOf(from netip.AddrPort, s Stamp) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	p, ok := c.peers[from]
	if !ok || p.measuredAt.IsZero() {
		return time.Time{}
	}
	if p.start != s.Start {
		p.unsure = true
		c.peers[from] = p
		return time.Time{}
	}
	age := now.Sub(p.measuredAt)
	at := p.zero.Add(s.Sent - time.Duration(drift*float64(age)))
	if at.After(now) {
		// The clock of this entry has stood still since, as in a suspended machine, or the stamp is not of the clock that was measured.
		p.measuredAt = time.Time{}
		c.peers[from] = p
		return time.Time{}
	}
	if age >= maxClockAge {
		return time.Time{}
	}
	return at
}

// Ask returns the one of some entries to ask for its clock now, if there is one: those that are not known first.
func (c *Clocks) Ask(addresses []netip.AddrPort) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var next netip.AddrPort
	var nextAt time.Time
	for _, a := range addresses {
		p := c.peers[a]
		// Entries that were never asked are due first, then the others in the order of their times.
		due := p.measuredAt.Add(clockLifetime)
		if p.measuredAt.IsZero() || p.unsure {
			due = p.askedAt
		}
		if !p.askedAt.IsZero() && now.Sub(p.askedAt) < repeatTime || now.Before(due) {
			continue
		}
		if !next.IsValid() || due.Before(nextAt) {
			next, nextAt = a, due
		}
	}
	if next.IsValid() {
		p := c.peers[next]
		p.askedAt = now
		c.peers[next] = p
	}
	return next, next.IsValid()
}

// Learn takes over the answer of another entry.
func (c *Clocks) Learn(from netip.AddrPort, m *Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	asked := c.began.Add(m.Echo.Sent)
	p, ok := c.peers[from]
	if !ok || m.Echo.Start != c.start || asked.After(now) || asked.Before(p.askedAt) {
		// A stray answer, or one to an earlier question.
		return
	}
	p.start, p.zero, p.measuredAt, p.unsure = m.Stamp.Start, asked.Add(-m.Stamp.Sent), asked, now.Sub(asked) > maxRoundTrip
	c.peers[from] = p
}

// Keep forgets the clocks of all but some entries.
func (c *Clocks) Keep(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.peers {
		if !slices.Contains(addresses, a) {
			delete(c.peers, a)
		}
	}
}

// NumKnown returns the number of entries whose clocks are known.
func (c *Clocks) NumKnown() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.peers {
		if !p.measuredAt.IsZero() {
			n++
		}
	}
	return n
}
