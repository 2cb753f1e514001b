package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startingFleet is a fleet whose entries have all just started; refused requests come back at their turn, to any entry.
type startingFleet struct {
	*coldFleet
	// first is when the first request was sent, and refusals counts the refusals before.
	first    time.Time
	refusals int
	// early counts the requests that came back to an entry before any entry asked for slots.
	early int
}

// arrive lets a request come to an entry, and again at its turn after it was refused.
func (f *startingFleet) arrive() {
	i := f.rand.IntN(len(f.entries))
	e, wanted := f.entries[i], f.upstreams[f.rand.IntN(len(f.upstreams))]
	f.try(e, f.now.Add(requestWait), wanted, true)
	f.after(requestWait+2*coldStep, func() { f.refuse(e) })
}

// refuse refuses a request of an entry, as long as none was served.
func (f *startingFleet) refuse(e *coldEntry) {
	for _, list := range f.arrived {
		if len(list) > 0 {
			if f.first.IsZero() {
				f.first = f.now
			}
			return
		}
	}
	f.refusals++
	at := e.ColdTurn("s", f.upstreams)
	if at.Sub(e.startedAt) < settleTime {
		f.early++
	}
	f.after(at.Sub(f.now), f.arrive)
}

// Guards against refused requests that come back while no entry may send yet, because all have just started and only cold upstreams are left.
func TestTurnsWhileAllEntriesStart(t *testing.T) {
	for _, n := range []int{4, 30} {
		for _, rate := range []float64{1, 23, 100} {
			for _, perSecond := range []int{5, 60} {
				t.Run(fmt.Sprintf("%d entries, rate %v, %d requests a second", n, rate, perSecond), func(t *testing.T) {
					f := &startingFleet{coldFleet: newColdFleet(uint64(n), n, rate)}
					for i, e := range f.entries {
						f.start(i)
						f.entries[i].known = e.known
					}
					began := f.now
					for i := range 10 * perSecond {
						f.after(time.Duration(i)*time.Second/time.Duration(perSecond), f.arrive)
					}
					f.run(10*time.Second, 0)
					must.False(t, f.first.IsZero())
					t.Logf("first request after %v, %d refusals before", f.first.Sub(began), f.refusals)
					must.EqOp(t, 0, f.early)
				})
			}
		}
	}
}
