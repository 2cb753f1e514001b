package confirmer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/storer"
)

// single is a table of one entry whose clock the test sets.
type single struct {
	*confirmer.Table
	clock time.Time
	told  []confirmer.Claim
	ages  []time.Duration
}

// newSingle returns a table that has just heard a claim, so that its next call waits on confirmations.
func newSingle(t *testing.T, rank int) *single {
	t.Helper()
	s := &single{clock: time.Unix(1000, 0)}
	s.Table = confirmer.New(tableID, confirmer.WithNow(func() time.Time { return s.clock }),
		confirmer.WithPace(func() pacer.Pace { return pacer.Pace{Wait: 2 * time.Second, Pause: time.Second} }),
		confirmer.WithRank(func(confirmer.TableID, uint32) int { return rank }), confirmer.WithDraw(func() float64 { return 0.99 }),
		confirmer.WithNumEntries(func() int { return 9 }),
		confirmer.WithTell(func(c confirmer.Claim, at time.Time) {
			s.told, s.ages = append(s.told, c), append(s.ages, s.clock.Sub(at))
		}))
	s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 10}, LastChange: 5, All: true, HasRows: true, Began: s.clock})
	s.hear(0)
	return s
}

// hear receives a claim that was true some time ago.
func (s *single) hear(age time.Duration) {
	s.Receive(confirmer.Claim{Table: tableID, Era: 1, Lowest: 5, Highest: 10, Age: age}, s.clock)
}

func (s *single) begin(t *testing.T, want time.Duration) {
	t.Helper()
	_, wait := s.Begin(0)
	must.EqOp(t, want, wait)
}

func (s *single) mustBeDue(t *testing.T, want confirmer.Action) {
	t.Helper()
	action, _, _ := s.Due()
	must.EqOp(t, want, action)
}

// Guards against a process that was paused and goes on waiting because of claims that it finds in its socket buffer.
func TestPausedEntryDoesNotWaitOn(t *testing.T) {
	s := newSingle(t, 5)
	s.begin(t, confirmer.MaxWait)
	read := s.clock
	s.clock = s.clock.Add(5 * time.Second)
	s.Receive(confirmer.Claim{Table: tableID, Era: 1, Lowest: 5, Highest: 10, Age: 100 * time.Millisecond}, read.Add(time.Second))
	s.mustBeDue(t, confirmer.GiveUp)
	s.GaveUp()
	// The next call is answered at once, and the one after it is at the pace without datagrams.
	s.begin(t, 0)
	s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 10}, Began: s.clock})
	s.begin(t, 2*time.Second)
}

// Guards against a claim of an entry that passes on, as its own, what another one has confirmed, so that two entries confirm each other
// without the store.
func TestClaimsAreNotPassedOn(t *testing.T) {
	s := newSingle(t, 0)
	s.begin(t, confirmer.MaxWait)
	for range 4 {
		s.clock = s.clock.Add(time.Second)
		s.hear(0)
	}
	s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 12}, LastChange: 12, HasRows: true, Began: s.clock.Add(-4 * time.Second)})
	s.clock = s.clock.Add(time.Second)
	s.mustBeDue(t, confirmer.Tell)
	s.Tell()
	must.SliceLen(t, 1, s.told)
	must.EqOp(t, 12, s.told[0].Lowest)
	must.EqOp(t, 5*time.Second, s.ages[0])
}

// Guards against an empty reply that counts from its arrival: a paused process, or a connection that stands still, delivers it late.
func TestLateEmptyReply(t *testing.T) {
	for _, x := range []struct{ wait, arrival, want time.Duration }{
		{2 * time.Second, 2 * time.Second, 2 * time.Second}, {2 * time.Second, 5 * time.Second, 2 * time.Second},
		{2 * time.Second, 1990 * time.Millisecond, 1990 * time.Millisecond}, {2 * time.Second, time.Second, 0},
		{confirmer.MaxWait, 10 * time.Second, 0}, {0, 300 * time.Millisecond, 0},
	} {
		s := newSingle(t, 5)
		s.begin(t, confirmer.MaxWait)
		began := s.clock
		s.clock = s.clock.Add(x.arrival)
		s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 10}, Began: began, Wait: x.wait})
		must.EqOp(t, x.want, s.State().ConfirmedAt.Sub(began), must.Sprint(x))
		s.hear(x.arrival + time.Minute)
		s.begin(t, map[bool]time.Duration{true: confirmer.MaxWait, false: 2 * time.Second}[x.arrival <= 10*time.Second])
		_, _, at := s.Due()
		must.False(t, at.After(began.Add(x.want+2500*time.Millisecond)) && at.After(s.clock), must.Sprint(x))
	}
}

// Guards against an entry whose calls fail and that waits long all the same, so that it learns late that the store is back.
func TestFailedCallIsNotLong(t *testing.T) {
	s := newSingle(t, 5)
	s.begin(t, confirmer.MaxWait)
	s.Failed()
	s.hear(0)
	s.begin(t, 2*time.Second)
	s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 10}, Began: s.clock})
	s.hear(0)
	s.begin(t, confirmer.MaxWait)
}

// Guards against a check that counts although it shows a change that the held call has not delivered, or one of another era.
func TestCheckThatShowsChange(t *testing.T) {
	for name, x := range map[string]struct {
		reply storer.Extent
		told  int
		after confirmer.Action
	}{
		"nothing": {storer.Extent{Position: storer.Position{Era: 1, Version: 30}}, 1, confirmer.None},
		"change":  {storer.Extent{Position: storer.Position{Era: 1, Version: 30}, LastChange: 20}, 0, confirmer.GiveUp},
		"new era": {storer.Extent{Position: storer.Position{Era: 2, Version: 5}}, 0, confirmer.GiveUp},
		"old era": {storer.Extent{Position: storer.Position{Era: 0, Version: 5}}, 0, confirmer.None},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSingle(t, 0)
			s.begin(t, confirmer.MaxWait)
			s.clock = s.clock.Add(1500 * time.Millisecond)
			s.mustBeDue(t, confirmer.Check)
			// The same check is not made twice.
			s.mustBeDue(t, confirmer.None)
			began := s.clock
			s.clock = s.clock.Add(100 * time.Millisecond)
			s.Checked(confirmer.Reply{At: x.reply.Position, LastChange: x.reply.LastChange, Began: began})
			must.SliceLen(t, x.told, s.told)
			for _, age := range s.ages {
				must.EqOp(t, 100*time.Millisecond, age)
			}
			s.clock = s.clock.Add(200 * time.Millisecond)
			s.mustBeDue(t, x.after)
		})
	}
}

// Guards against a held call that waits beyond the bound after the last time as of which anything is confirmed, whatever is heard.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSingle(t, rapid.IntRange(0, 5).Draw(rt, "rank"))
		s.begin(t, confirmer.MaxWait)
		// known is the latest time as of which the copy is known to be complete.
		known := s.clock
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			d := func(name string, most int) time.Duration {
				return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
			}
			s.clock = s.clock.Add(d("step", 1000))
			most := rapid.SampledFrom([]int{50, 500, 4000}).Draw(rt, "most")
			late, age := d("late", most), d("age", most)
			c := confirmer.Claim{
				Table: tableID, Era: rapid.SampledFrom([]uint64{0, 1, 1, 1}).Draw(rt, "era"), Lowest: rapid.Uint64Range(0, 10).Draw(rt, "lowest"), Age: age,
			}
			c.Highest = c.Lowest + rapid.Uint64Range(0, 10).Draw(rt, "more")
			made := s.clock.Add(-late)
			if rapid.Bool().Draw(rt, "unknown") {
				made = time.Time{}
			}
			s.Receive(c, made)
			if at := made.Add(-age); !made.IsZero() && c.Era == 1 && c.Highest <= 10 && at.After(known) {
				known = at
			}
			action, _, _ := s.Due()
			// Claims of changes that the entry lacks, after which a call is given up anyway, are not drawn.
			if s.clock.Sub(known) >= 2500*time.Millisecond {
				must.EqOp(rt, confirmer.GiveUp, action)
				return
			}
		}
	})
}

// Guards against a claim of the store's position, which other tables move, in place of the last change of the table, and against one of too
// many claims.
func TestClaimNamesLastChange(t *testing.T) {
	for _, others := range []int{0, 2, 3} {
		s := newSingle(t, 0)
		s.clock = s.clock.Add(time.Minute)
		s.begin(t, 2*time.Second)
		for range others {
			s.Receive(confirmer.Claim{Table: tableID, Era: 1, Lowest: 5, Highest: 5}, time.Time{})
		}
		s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 30}, LastChange: 20, HasRows: true, Began: s.clock})
		s.mustBeDue(t, confirmer.Tell)
		s.Tell()
		if others == 3 {
			must.SliceEmpty(t, s.told)
			continue
		}
		must.Eq(t, []confirmer.Claim{{Table: tableID, Era: 1, Lowest: 20, Highest: 20}}, s.told)
	}
}

// Guards against a removal that a silent connection hides elsewhere: a whole table that was read does not show its version, so a claim from it
// may not name the last row as the last change.
func TestClaimAfterReadOfWholeTable(t *testing.T) {
	s := newSingle(t, 0)
	s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 30}, LastChange: 20, All: true, HasRows: true, Began: s.clock})
	s.begin(t, confirmer.MaxWait)
	s.clock = s.clock.Add(2 * time.Second)
	s.mustBeDue(t, confirmer.Check)
	s.Checked(confirmer.Reply{At: storer.Position{Era: 1, Version: 31}, Began: s.clock})
	must.SliceLen(t, 1, s.told)
	must.EqOp(t, 20, s.told[0].Lowest)
	must.EqOp(t, 30, s.told[0].Highest)
}

// Guards against a round, and a last change in place of this entry's own news, from a claim whose age is not known: it may be of any time, or of
// a process that has ended.
func TestClaimOfUnknownAge(t *testing.T) {
	for _, known := range []bool{false, true} {
		s := newSingle(t, 0)
		s.begin(t, confirmer.MaxWait)
		made := time.Time{}
		if known {
			made = s.clock
		}
		s.Receive(confirmer.Claim{Table: tableID, Round: 7, Era: 1, Lowest: 90, Highest: 90}, made)
		must.EqOp(t, map[bool]uint32{true: 7}[known], s.State().Round)
		s.clock = s.clock.Add(time.Second)
		s.Replied(confirmer.Reply{At: storer.Position{Era: 1, Version: 30}, LastChange: 20, HasRows: true, Began: s.clock})
		s.mustBeDue(t, confirmer.Tell)
		s.Tell()
		// Another entry has told of a later change, so this one need not.
		must.SliceLen(t, map[bool]int{false: 1}[known], s.told)
	}
}
