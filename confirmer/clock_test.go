package confirmer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/confirmer"
)

// pair is an entry and another one whose clock it asks for; one time passes for both.
type pair struct {
	clock       time.Time
	self, other *confirmer.Clocks
}

func newPair() *pair {
	p := &pair{clock: time.Unix(1000, 0)}
	p.self = confirmer.NewClocks(func() time.Time { return p.clock })
	p.clock = p.clock.Add(time.Hour)
	p.restart()
	return p
}

func (p *pair) restart() {
	p.other = confirmer.NewClocks(func() time.Time { return p.clock.Add(-17 * time.Hour) })
}

var peer = []netip.AddrPort{address(1)}

// exchange asks for the clock of the other entry; there and back take some time.
func (p *pair) exchange(t *testing.T, there, back time.Duration) {
	t.Helper()
	_, ok := p.self.Ask(peer)
	must.True(t, ok)
	q := p.self.Stamp()
	p.clock = p.clock.Add(there)
	a := confirmer.Message{Kind: confirmer.KindAnswer, Stamp: p.other.Stamp(), Echo: q}
	p.clock = p.clock.Add(back)
	p.self.Learn(peer[0], &a)
}

// Guards against a stamp that counts as later than it was made, however slow the question, the answer and the message were.
func TestStampsAreNeverLate(t *testing.T) {
	for _, there := range []time.Duration{0, time.Millisecond, 3 * time.Second} {
		for _, back := range []time.Duration{0, time.Millisecond, 3 * time.Second} {
			p := newPair()
			p.exchange(t, there, back)
			p.clock = p.clock.Add(time.Minute)
			made, stamp := p.clock, p.other.Stamp()
			p.clock = p.clock.Add(10 * time.Second)
			at := p.self.TimeOf(peer[0], stamp)
			must.False(t, at.IsZero())
			must.False(t, at.After(made))
			must.LessEq(t, there+100*time.Millisecond, made.Sub(at))
			// A slow answer is asked for again.
			_, again := p.self.Ask(peer)
			must.EqOp(t, there+back > 200*time.Millisecond, again)
		}
	}
}

// Guards against stamps of an entry that has started again, of one whose clock is not known or was asked for long ago, and against stray answers.
func TestUnknownClocks(t *testing.T) {
	p := newPair()
	must.True(t, p.self.TimeOf(peer[0], p.other.Stamp()).IsZero())
	stray := confirmer.Message{Kind: confirmer.KindAnswer, Stamp: p.other.Stamp(), Echo: p.self.Stamp()}
	p.self.Learn(peer[0], &stray)
	must.True(t, p.self.TimeOf(peer[0], p.other.Stamp()).IsZero())

	p.exchange(t, 0, 0)
	must.EqOp(t, 1, p.self.NumKnown())
	foreign := confirmer.Message{Kind: confirmer.KindAnswer, Stamp: p.other.Stamp(), Echo: confirmer.Stamp{Start: 1, Sent: time.Hour}}
	foreign.Stamp.Sent = 0
	p.self.Learn(peer[0], &foreign)
	must.EqOp(t, p.clock, p.self.TimeOf(peer[0], p.other.Stamp()))

	p.restart()
	must.True(t, p.self.TimeOf(peer[0], p.other.Stamp()).IsZero())
	p.clock = p.clock.Add(3 * time.Second)
	p.exchange(t, 0, 0)
	must.False(t, p.self.TimeOf(peer[0], p.other.Stamp()).IsZero())

	future := p.other.Stamp()
	future.Sent += time.Hour
	must.True(t, p.self.TimeOf(peer[0], future).IsZero())

	p.clock = p.clock.Add(8 * time.Minute)
	must.True(t, p.self.TimeOf(peer[0], p.other.Stamp()).IsZero())
	p.self.Keep(nil)
	must.EqOp(t, 0, p.self.NumKnown())
}

// Guards against claims that count as younger than they are, and against minutes without confirmations, after this entry's clock has stood still
// for seconds, as that of a suspended machine does.
func TestSuspendedClock(t *testing.T) {
	p := newPair()
	var suspended time.Duration
	p.self = confirmer.NewClocks(func() time.Time { return p.clock.Add(-suspended) })
	p.exchange(t, 0, 0)
	p.clock = p.clock.Add(10 * time.Second)
	suspended = 5 * time.Second
	late := p.other.Stamp()
	must.True(t, p.self.TimeOf(peer[0], late).IsZero())

	p.clock = p.clock.Add(6 * time.Second)
	must.True(t, p.self.TimeOf(peer[0], late).IsZero())
	p.exchange(t, 0, 0)
	must.EqOp(t, p.clock.Add(-suspended), p.self.TimeOf(peer[0], p.other.Stamp()))
}

// Guards against entries that are asked too often, or one after the other so slowly that some stay unknown.
func TestQuestionsAreSpread(t *testing.T) {
	p := newPair()
	var all []netip.AddrPort
	for i := range 329 {
		all = append(all, address(i+1))
	}
	asked := map[netip.AddrPort]int{}
	for range 330 {
		if a, ok := p.self.Ask(all); ok {
			asked[a]++
			p.self.Learn(a, &confirmer.Message{Kind: confirmer.KindAnswer, Stamp: p.other.Stamp(), Echo: p.self.Stamp()})
		}
		p.clock = p.clock.Add(confirmer.QuestionInterval)
	}
	must.MapLen(t, 329, asked)
	for _, n := range asked {
		must.EqOp(t, 1, n)
	}
}

// Guards against a claim that looks younger because the process was paused between reading its age and its stamp.
func TestPausedTeller(t *testing.T) {
	began := time.Unix(1000, 0)
	clock := began
	step := time.Duration(0)
	c := confirmer.NewClocks(func() time.Time {
		clock = clock.Add(step)
		return clock
	})
	step = time.Second
	m := c.Message(confirmer.Claim{Table: tableID}, began)
	must.GreaterEq(t, m.Stamp.Sent, m.Claim.Age)
}
