package confirmer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/pacer"
)

// numListed returns the number of entries in the shared table.
func (f *fleet) numListed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed > 0 {
		return f.listed
	}
	return len(f.entries)
}

// survivors returns the calls of the first entries, and what each of them has told of the table, so far.
func (f *fleet) survivors(n int) (calls int, told []int64) {
	f.mu.Lock()
	for _, e := range f.entries[:n] {
		calls += e.made
	}
	f.mu.Unlock()
	for _, e := range f.entries[:n] {
		told = append(told, e.table.Counters()["claims-told"])
	}
	return calls, told
}

// loseMost lets only some entries go on, for the three minutes in which the shared table lists the others, with a silent connection and a change
// every 10 s. It returns the calls a second of each and the claims that it has told.
func (f *fleet) loseMost(t *testing.T, left int) (rate float64, told []int64) {
	t.Helper()
	f.setDelay(func(from, to int) (time.Duration, bool) { return oneWay, from < left && to < left })
	gone := []int{}
	for i := left; i < len(f.entries); i++ {
		gone = append(gone, i)
		f.entries[i].set(func(e *entry) { e.silent = true })
	}
	before, toldBefore := f.survivors(left)
	began := time.Now()
	for time.Since(began) < 3*time.Minute {
		time.Sleep(7 * time.Second)
		f.entries[1].silence()
		f.mustApplyWithin(t, f.write(), bound, gone...)
	}
	after, told := f.survivors(left)
	for i := range told {
		told[i] -= toldBefore[i]
	}
	return float64(after-before) / time.Since(began).Seconds() / float64(left), told
}

// Guards against changes that are late, against calls that are given up again and again, and against survivors of which none tells, after most
// entries were lost at once: the shared table lists them for three more minutes, so most rounds name only entries that are gone.
func TestMostEntriesAreLost(t *testing.T) {
	for _, x := range []struct{ entries, left int }{{9, 2}, {30, 4}, {30, 10}} {
		var alone float64
		runFleet(t, x.entries, false, func(t *testing.T, f *fleet) { alone, _ = f.loseMost(t, x.left) })
		runFleet(t, x.entries, true, func(t *testing.T, f *fleet) {
			rate, told := f.loseMost(t, x.left)
			f.mu.Lock()
			f.listed = x.left
			f.mu.Unlock()
			time.Sleep(30 * time.Second)
			for _, e := range f.entries[:x.left] {
				must.True(t, e.table.State().Long)
			}
			t.Logf("%d of %d entries left: %.2f calls a second each, %.2f without datagrams; claims told %v", x.left, x.entries, rate, alone, told)
			// A call that is given up as nothing confirms is repeated at once, and the next one waits as without datagrams.
			must.LessEq(t, alone+1/(2*bound-2*time.Second+pacer.ReplyMargin).Seconds(), rate)
			tellers := 0
			for _, n := range told {
				if n > 0 {
					tellers++
				}
			}
			must.GreaterEq(t, x.left/2, tellers)
		})
	}
}
