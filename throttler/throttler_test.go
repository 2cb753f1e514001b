package throttler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/throttler"
)

const u1 identifier.Upstream = "u1/1"

// fixture is a throttler on a clock, whose asks an owner answers.
type fixture struct {
	*throttler.Throttler
	now     time.Time
	owner   *throttler.Owner
	asks    int
	lastAsk throttler.Ask
	stated  []throttler.Statement
	changes []throttler.Statement
	// silent is set if the owner does not answer.
	silent  bool
	entries int
}

func newFixture(opts ...throttler.Option) *fixture {
	f := &fixture{now: time.Unix(1000, 0), owner: throttler.NewOwner(), entries: 1}
	f.Throttler = throttler.New(append(opts, throttler.WithNow(func() time.Time { return f.now }),
		throttler.WithSend(func(a throttler.Ask) {
			f.asks++
			f.lastAsk = a
			if !f.silent {
				f.Grant(f.owner.Answer(a, f.now))
			}
		}),
		throttler.WithShare(func(s throttler.Statement) { f.stated = append(f.stated, s) }),
		throttler.WithOnChange(func(s throttler.Statement) { f.changes = append(f.changes, s) }),
		throttler.WithNumEntries(func() int { return f.entries }))...)
	return f
}

// try sends a request if that is allowed.
func (f *fixture) try() bool {
	if f.Take(u1) {
		return true
	}
	f.Want(u1, true)
	return false
}

// sent returns the number of requests that are allowed within a time if one is tried every step.
func (f *fixture) sent(d, step time.Duration) int {
	n := 0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.try() {
			n++
		}
	}
	return n
}

// Guards against an entry that sends more than the limit, or much less although it wants it all.
func TestLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.6, 20, 300} {
		f := newFixture()
		must.EqOp(t, 100, f.sent(time.Second, 10*time.Millisecond))
		f.Observe(u1, perSecond)
		n := float64(f.sent(20*time.Second, time.Millisecond))
		must.LessEq(t, perSecond*20+2, n)
		must.GreaterEq(t, perSecond*20*0.7-2, n)
	}
}

// Guards against a limit that outlasts the answers that name it, and against one that news from before the last own answer end.
func TestEndOfLimit(t *testing.T) {
	f := newFixture()
	f.Observe(u1, 1)
	must.False(t, f.try())
	f.Apply(throttler.Statement{Upstream: u1, Ended: true})
	must.False(t, f.try(), must.Sprint("this entry has just read the limit itself"))
	f.now = f.now.Add(2 * time.Second)
	f.Apply(throttler.Statement{Upstream: u1, Ended: true})
	must.True(t, f.try())

	f.Apply(throttler.Statement{Upstream: u1, PerSecond: 2})
	must.False(t, f.Take(u1))
	f.Observe(u1, -1)
	must.True(t, f.try())
	f.Apply(throttler.Statement{Upstream: u1, PerSecond: 2})
	must.True(t, f.try(), must.Sprint("this entry has just read that there is none"))
	must.Eq(t, []throttler.Statement{
		{Upstream: u1, PerSecond: 1}, {Upstream: u1, Ended: true}, {Upstream: u1, PerSecond: 2}, {Upstream: u1, Ended: true},
	}, f.changes)

	f.Observe(u1, 1)
	f.now = f.now.Add(3 * time.Minute)
	f.Sweep()
	must.True(t, f.try(), must.Sprint("nobody has confirmed the limit for long"))
	f.Observe(u1, 1)
	for range 59 {
		f.Sweep()
		must.False(t, f.Take(u1), must.Sprint("a limit is kept for a minute, whether its upstream is listed or not"))
		f.now = f.now.Add(time.Second)
	}
	f.now = f.now.Add(3 * time.Minute)
	f.Sweep()
	must.MapEmpty(t, f.State().(map[identifier.Upstream]throttler.UpstreamState))
}

// Guards against statements with each answer, and against none for so long that the other entries forget the limit.
func TestStatementsAreRare(t *testing.T) {
	f := newFixture()
	for range 600 {
		f.Observe(u1, 1)
		f.now = f.now.Add(100 * time.Millisecond)
	}
	must.Between(t, 2, len(f.stated), 5)
	for range 600 {
		f.Observe(u1, 1)
		f.Apply(throttler.Statement{Upstream: u1, PerSecond: 1})
		f.now = f.now.Add(100 * time.Millisecond)
	}
	must.Less(t, 7, len(f.stated))
}

// Guards against an entry that sends without slots, or never again, while the owner of a limit does not answer.
func TestSilentOwner(t *testing.T) {
	f := newFixture()
	f.silent, f.entries = true, 4
	f.Observe(u1, 2)
	n := f.sent(2*time.Minute, 10*time.Millisecond)
	// An even share is 0.5 a second, and half of it is used.
	must.Between(t, 15, n, 35)
	f.silent = false
	must.Greater(t, 150, f.sent(2*time.Minute, 10*time.Millisecond))
}

// Guards against answers of an owner that come too late, twice or are absurd.
func TestInvalidGrants(t *testing.T) {
	f := newFixture()
	f.silent = true
	f.Observe(u1, 2)
	must.False(t, f.try())
	f.Grant(throttler.Grant{Upstream: u1, ID: f.lastAsk.ID + 98, Number: 5})
	f.Grant(throttler.Grant{Upstream: "other", ID: f.lastAsk.ID, Number: 5})
	must.False(t, f.Take(u1))
	f.Grant(throttler.Grant{Upstream: u1, ID: f.lastAsk.ID, Number: 1 << 30, IntervalMillis: 1})
	f.Grant(throttler.Grant{Upstream: u1, ID: f.lastAsk.ID, Number: 1 << 30, IntervalMillis: 1})
	f.now = f.now.Add(500 * time.Millisecond)
	n := 0
	for f.Take(u1) {
		n++
	}
	must.EqOp(t, 64, n)
}

// Guards against slots that nobody uses because the answer to the ask for them was lost.
func TestLostGrantIsRepeated(t *testing.T) {
	const limit = 0.4
	owner := throttler.NewOwner()
	now := time.Unix(1000, 0)
	var grants []throttler.Grant
	x := throttler.New(throttler.WithNow(func() time.Time { return now }),
		throttler.WithSend(func(a throttler.Ask) { grants = append(grants, owner.Answer(a, now)) }))
	x.Observe(u1, limit)
	for range 5000 {
		now = now.Add(2 * time.Millisecond)
		x.Want(u1, true)
		if n := len(grants); n > 0 && grants[n-1].Number > 0 {
			break
		}
		if n := len(grants); n > 0 {
			x.Grant(grants[n-1])
		}
	}
	asks := len(grants)
	lost, lostAt := grants[asks-1], now
	must.Positive(t, lost.Number)
	for len(grants) == asks {
		now = now.Add(2 * time.Millisecond)
		must.Less(t, time.Second, now.Sub(lostAt))
		x.Want(u1, true)
	}
	again := grants[asks]
	must.EqOp(t, lost.ID, again.ID)
	must.EqOp(t, lost.Number, again.Number)
	begin := lostAt.Add(time.Duration(lost.AfterMillis * float64(time.Millisecond))).Round(time.Microsecond)
	must.EqOp(t, begin, now.Add(time.Duration(again.AfterMillis*float64(time.Millisecond))).Round(time.Microsecond))
	x.Grant(again)
	if now.Before(begin) {
		now = begin.Add(time.Millisecond)
	}
	must.True(t, x.Take(u1))

	// The next ask gets the slot after it.
	g := owner.Answer(throttler.Ask{Upstream: u1, PerSecond: limit, Number: 1, ID: lost.ID + 1}, now)
	must.EqOp(t, 0, g.Number)
	must.Greater(t, 2000.0, g.AfterMillis)
}

// Guards against an entry with few requests that takes slots by itself because a single answer was lost.
func TestOneLostAnswerIsNoSilentOwner(t *testing.T) {
	f := newFixture()
	f.Observe(u1, 0.4)
	f.silent = true
	must.False(t, f.try())
	f.silent = false
	f.now = f.now.Add(10 * time.Second)
	asks := f.asks
	must.False(t, f.try())
	must.EqOp(t, asks+1, f.asks)
	must.EqOp(t, 0, f.Counters()["slots-taken-alone"])
}
