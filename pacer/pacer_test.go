package pacer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/pacer"
)

// Guards against a change that takes effect too late because of pauses, a silent connection or a large number of entries.
func TestPaceKeepsBounds(t *testing.T) {
	milliseconds := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low, high), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
	}
	rapid.Check(t, func(t *rapid.T) {
		b := pacer.Bounds{Within: milliseconds(1500, 20_000).Draw(t, "within"), Reconnect: milliseconds(1500, 20_000).Draw(t, "reconnect")}
		p := pacer.Plan(b, pacer.Readers{
			Entries: rapid.IntRange(0, 1000).Draw(t, "entries"), Tables: 3, ReadsPerSecond: float64(rapid.IntRange(0, 20_000).Draw(t, "reads")),
		})
		must.Positive(t, p.Pause)
		must.Less(t, p.Wait, p.Pause)
		// A change just after a reply: the pause, a call on a connection that delivers nothing, and the same call again.
		must.LessEq(t, min(b.Within, b.Reconnect), p.Pause+(p.Wait-p.Pause)+pacer.ReplyMargin+pacer.RepeatTime)
	})
}

// Guards against reads of a fleet that grow beyond the store's rate although the bounds allow fewer.
func TestPaceKeepsRate(t *testing.T) {
	b := pacer.Bounds{Within: 7 * time.Second, Reconnect: 7 * time.Second}
	for _, x := range []struct {
		entries int
		reads   float64
		want    time.Duration
	}{
		{10, 2000, 3 * time.Second}, {41, 16_000, 3 * time.Second}, {330, 2000, 3 * time.Second}, {330, 400, 4950 * time.Millisecond},
		{3300, 2000, 5800 * time.Millisecond}, {330, 0, 3 * time.Second},
	} {
		must.EqOp(t, x.want, pacer.Plan(b, pacer.Readers{Entries: x.entries, Tables: 3, ReadsPerSecond: x.reads}).Pause, must.Sprint(x))
	}
}

// Guards against a read in a tight loop if the bounds leave no time.
func TestPaceOfShortBounds(t *testing.T) {
	p := pacer.Plan(pacer.Bounds{Within: 100 * time.Millisecond, Reconnect: time.Second}, pacer.Readers{Entries: 4, Tables: 3})
	must.EqOp(t, pacer.Pace{Wait: pacer.MinWait, Pause: pacer.MinWait / 2}, p)
}
