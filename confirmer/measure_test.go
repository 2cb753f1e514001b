package confirmer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/confirmer"
)

// rate returns the calls per second and entry in a time, while something is done each second.
func (f *fleet) rate(d time.Duration, eachSecond func()) float64 {
	before := f.numCalls()
	for range d / time.Second {
		eachSecond()
		time.Sleep(time.Second)
	}
	return float64(f.numCalls()-before) / d.Seconds() / float64(len(f.entries))
}

// Guards against calls that grow with the number of entries: the fleet makes about two in the bound, and each entry one in MaxWait.
func TestCallsOfFleet(t *testing.T) {
	for _, n := range []int{4, 9, 30, 330} {
		var rest, busy [2]float64
		for i, shared := range []bool{false, true} {
			runFleet(t, n, shared, func(t *testing.T, f *fleet) {
				must.EqOp(t, shared, f.allLong())
				rest[i] = f.rate(time.Minute, f.writeOther)
				f.mustBeFew(t)
				busy[i] = f.rate(time.Minute, func() { f.write() })
				f.mustBeFew(t)
			})
		}
		t.Logf("%d entries, calls per second and entry: at rest %.3f before, %.3f after; with a change each second %.3f before, %.3f after",
			n, rest[0], rest[1], busy[0], busy[1])
		fleetRate := 2/(bound-time.Second).Seconds() + float64(n)/confirmer.MaxWait.Seconds()
		must.LessEq(t, 1.1*fleetRate/float64(n), rest[1])
		must.LessEq(t, 1.05*busy[0], busy[1])
	}
}

// mustBeFew requires that no entry has received more than three claims in a second, and no long datagram.
func (f *fleet) mustBeFew(t *testing.T) {
	t.Helper()
	for _, e := range f.entries {
		e.mu.Lock()
		for i, at := range e.received {
			if i >= 3 {
				must.Less(t, at.Sub(e.received[i-3]), time.Second-oneWay)
			}
		}
		must.LessEq(t, confirmer.MaxBytes, e.bytes)
		e.mu.Unlock()
	}
}
