package collector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

var start = time.Unix(1000, 0)

// storeAt returns the store's clock at a time.
func storeAt(now time.Time) int64 {
	return 5000 + now.Sub(start).Milliseconds()
}

func newCall(entry string, short bool, now time.Time) *collector.Held {
	return &collector.Held{
		Call: collector.Call{
			Order: testOrder(), Short: short, Tally: promoter.Tally{Entry: identifier.Instance(entry), To: "v2", Number: 7, At: storeAt(now)},
		},
		Reply: make(chan collector.Reply, 1),
	}
}

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// Guards against a collector that steps more often than an entry for itself, that makes entries wait for longer than the interval that one of
// them wants, and that steps at another time than it has told.
func TestStepsOfCollector(t *testing.T) {
	var d collector.Desk
	d.Start(at(0))
	must.EqOp(t, at(0), d.DueAt())
	d.Begin(false, at(2))
	must.EqOp(t, at(1500), d.DueAt())
	must.EqOp(t, 1200*time.Millisecond, d.Next(at(300)))
	must.NoError(t, d.Hold(newCall("a", false, at(1300)), at(1300)))
	must.EqOp(t, at(1500), d.DueAt())
	must.Len(t, 1, d.Begin(false, at(1510)))
	must.EqOp(t, at(3000), d.DueAt())
	// An entry sees a bad answer.
	must.NoError(t, d.Hold(newCall("a", true, at(1700)), at(1700)))
	must.EqOp(t, at(2000), d.DueAt())
	must.Len(t, 1, d.Begin(false, at(2000)))
	must.EqOp(t, at(2500), d.DueAt())
	must.Len(t, 0, d.Begin(false, at(2500)))
	// Entries that were told a step at 3 s still meet it.
	must.EqOp(t, at(3000), d.DueAt())
	// The collector itself sees one.
	d.Begin(false, at(3000))
	d.WantShort(at(3800))
	must.EqOp(t, at(4000), d.DueAt())
	d.Begin(true, at(4000))
	d.WantShort(at(4000))
	must.EqOp(t, at(4500), d.DueAt())
}

// Guards against a desk on which nothing but its first call starts steps, and against one that collects for ever.
func TestFirstCallStartsSteps(t *testing.T) {
	var d collector.Desk
	must.False(t, d.IsCollecting(at(0)))
	must.NoError(t, d.Hold(newCall("a", false, at(0)), at(0)))
	must.EqOp(t, at(0).Add(collector.CallLead), d.DueAt())
	must.True(t, d.HasCalls())
	must.Len(t, 1, d.Begin(false, d.DueAt()))
	must.True(t, d.IsCollecting(at(2900)))
	must.False(t, d.IsCollecting(at(3100)))
	// A call that comes much later is served at once.
	must.NoError(t, d.Hold(newCall("a", false, at(60_000)), at(60_000)))
	must.False(t, d.DueAt().After(at(60_000)))
}

// Guards against a paused collector that writes tallies which their entries have replaced since, whether the calls waited in it or before it.
func TestOldTalliesAreNotWritten(t *testing.T) {
	var d collector.Desk
	fresh, held, late := newCall("a", false, at(900)), newCall("b", false, at(900)), newCall("c", false, at(-2000))
	must.NoError(t, d.Hold(held, at(0)))
	must.NoError(t, d.Hold(fresh, at(900)))
	must.NoError(t, d.Hold(late, at(1001)))
	calls := d.Begin(false, at(1001))
	must.Len(t, 3, calls)
	tallies := collector.Fresh(calls, storeAt(at(1001)), at(1001))
	must.Len(t, 1, tallies)
	must.EqOp(t, "a", string(tallies[0].Entry))
}

// Guards against a tally that is held by a collector that works until it is too old to be written: the collector has stepped just before the
// call of an entry that was told no time.
func TestUnplannedCallIsWritten(t *testing.T) {
	var d collector.Desk
	d.Start(at(0))
	d.Begin(false, at(0))
	must.NoError(t, d.Hold(newCall("a", true, at(20)), at(20)))
	due := d.DueAt()
	must.EqOp(t, at(500), due)
	must.Len(t, 1, collector.Fresh(d.Begin(false, due), storeAt(due), due))
}

// Guards against calls of one entry that take all places, and against calls without bound.
func TestHeldCallsAreBounded(t *testing.T) {
	var d collector.Desk
	first := newCall("a", false, at(0))
	must.NoError(t, d.Hold(first, at(0)))
	must.NoError(t, d.Hold(newCall("a", false, at(10)), at(10)))
	must.ErrorIs(t, (<-first.Reply).Err, collector.ErrReplaced)
	for i := range 127 {
		must.NoError(t, d.Hold(newCall(fmt.Sprint(i), false, at(20)), at(20)))
	}
	rejected := newCall("one more", false, at(30))
	must.ErrorIs(t, d.Hold(rejected, at(30)), collector.ErrTooMany)
	d.Drop(rejected)
	must.Len(t, 128, d.Begin(false, at(200)))
}

// Guards against orders of calls, steps and pauses in which a call is lost or answered twice, waits for longer than its interval while the
// collector works, or in which steps come faster than the short interval.
func TestEveryCallIsAnsweredInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d collector.Desk
		now, lastStep := start, time.Time{}
		open := map[*collector.Held]time.Time{}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			paused := rapid.IntRange(0, 20).Draw(t, "paused") == 0
			if paused {
				now = now.Add(time.Duration(rapid.IntRange(1000, 6000).Draw(t, "long pause")) * time.Millisecond)
			}
			// A collector that works steps when that is due, at most 50 ms late.
			for d.HasCalls() && !d.DueAt().After(now) {
				step := d.DueAt().Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "late")) * time.Millisecond)
				if paused {
					step = now
				}
				if !lastStep.IsZero() && !paused {
					must.GreaterEq(t, collector.ShortInterval-50*time.Millisecond, step.Sub(lastStep))
				}
				if lastStep = step; paused {
					lastStep = time.Time{}
				}
				calls := d.Begin(rapid.Bool().Draw(t, "short"), step)
				for _, h := range calls {
					since, ok := open[h]
					must.True(t, ok)
					interval := collector.LongInterval
					if h.Call.Short {
						interval = collector.ShortInterval
					}
					if !paused {
						must.LessEq(t, interval+50*time.Millisecond, step.Sub(since))
					}
					delete(open, h)
				}
				must.True(t, d.DueAt().After(step))
				must.LessEq(t, step.Add(collector.LongInterval).UnixNano(), d.DueAt().UnixNano())
				must.Between(t, 0, d.Next(step), collector.LongInterval)
			}
			h := newCall(fmt.Sprint(i%7), rapid.Bool().Draw(t, "short call"), now)
			must.NoError(t, d.Hold(h, now))
			open[h] = now
			for other := range open {
				if other != h && other.Call.Tally.Entry == h.Call.Tally.Entry {
					must.ErrorIs(t, (<-other.Reply).Err, collector.ErrReplaced)
					delete(open, other)
				}
			}
		}
		must.Len(t, len(open), d.Begin(false, now))
	})
}

// Guards against an entry that waits for a collector for longer than its interval and 0.5 s, or until its row counts as absent.
func TestDeadlineOfCalls(t *testing.T) {
	must.EqOp(t, at(2000), collector.CallDeadline(false, time.Time{}, at(0)))
	must.EqOp(t, at(1000), collector.CallDeadline(true, time.Time{}, at(0)))
	must.EqOp(t, at(1150), collector.CallDeadline(false, at(150), at(0)))
	must.EqOp(t, at(1000), collector.CallDeadline(true, at(150), at(0)))
	must.EqOp(t, at(2000), collector.CallDeadline(false, at(-3000), at(0)))
}
