package confirmer_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/confirmer"
)

// victim is the entry that a fault concerns.
const victim = 3

// atPhases runs a test at different moments between two confirmations, as a fault that begins just after one is the worst.
func atPhases(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	for _, n := range []int{4, 9, 30} {
		for phase := time.Duration(0); phase < 2*time.Second; phase += 130 * time.Millisecond {
			runFleet(t, n, true, func(t *testing.T, f *fleet) {
				must.True(t, f.allLong())
				time.Sleep(phase)
				test(t, f)
			})
		}
	}
}

// lose makes datagrams to the victim get lost.
func (f *fleet) lose() {
	f.setDelay(func(_, to int) (time.Duration, bool) { return oneWay, to != victim })
}

// Guards against a change that a silent connection hides, for longer than another entry's news of it take.
func TestSilentConnection(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		f.entries[victim].silence()
		f.mustApplyWithin(t, f.write(), 500*time.Millisecond)
		// That a call was given up does not show that the store is out.
		must.EqOp(t, 0, f.entries[victim].follower.Counters()["failures"])
	})
}

// Guards against a change that a silent connection hides, for longer than the bound, as no datagram tells of it.
func TestSilentConnectionAndLostDatagrams(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		f.entries[victim].silence()
		f.lose()
		f.mustApplyWithin(t, f.write(), bound)
	})
}

// Guards against a change that a silent connection hides while the news of it is lost and later claims arrive.
func TestSilentConnectionAndLostNews(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		f.entries[victim].silence()
		f.lose()
		p := f.write()
		time.Sleep(time.Second)
		f.setDelay(nil)
		f.mustApplyWithin(t, p, bound-time.Second)
	})
}

// Guards against late datagrams, be it on the way or in the socket buffer of a paused entry, that count as if they were of the time at which
// they are read.
func TestLateDatagrams(t *testing.T) {
	for _, late := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		atPhases(t, func(t *testing.T, f *fleet) {
			f.setDelay(func(_, to int) (time.Duration, bool) {
				if to == victim {
					return late, true
				}
				return oneWay, true
			})
			time.Sleep(late + time.Second)
			f.entries[victim].silence()
			f.mustApplyWithin(t, f.write(), bound)
		})
	}
}

// Guards against a silent connection of an entry that reads all datagrams of the last seconds at once, of which none tells of the change.
func TestBacklogOfDatagrams(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		until := time.Now().Add(1500 * time.Millisecond)
		f.setDelay(func(_, to int) (time.Duration, bool) {
			if to == victim {
				return time.Until(until), true
			}
			return oneWay, true
		})
		time.Sleep(300 * time.Millisecond)
		f.entries[victim].silence()
		f.lose()
		f.mustApplyWithin(t, f.write(), bound)
	})
}

// Guards against calls at another pace than before while datagrams are absent, and against a fleet that does not find back.
func TestWithoutDatagrams(t *testing.T) {
	for _, n := range []int{4, 30} {
		runFleet(t, n, true, func(t *testing.T, f *fleet) {
			f.setDelay(func(int, int) (time.Duration, bool) { return 0, false })
			time.Sleep(15 * time.Second)
			must.Between(t, 0.45, f.rate(time.Minute, func() {}), 0.55)
			f.entries[victim].silence()
			f.mustApplyWithin(t, f.write(), bound)
			f.setDelay(nil)
			time.Sleep(30 * time.Second)
			must.True(t, f.allLong())
		})
	}
}

// Guards against an entry that hears the others but does not reach the store and counts as up to date, or is late when it does again.
func TestEntryWithoutStore(t *testing.T) {
	for name, fault := range map[string]func(e *entry, on bool){
		"refused": func(e *entry, on bool) {
			e.err = nil
			if on {
				e.err = errRefused
			}
		},
		"silent": func(e *entry, on bool) { e.silent, e.silentBefore = on, time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			atPhases(t, func(t *testing.T, f *fleet) {
				x := f.entries[victim]
				x.set(func(e *entry) { fault(e, true) })
				if name == "refused" {
					x.silence()
				}
				p := f.write()
				began := x.now()
				f.mustApplyWithin(t, p, 500*time.Millisecond, victim)
				time.Sleep(10 * time.Second)
				must.False(t, x.has(p))
				must.False(t, x.table.State().ConfirmedAt.After(began))
				x.set(func(e *entry) { fault(e, false) })
				f.mustApplyWithin(t, p, bound)
				time.Sleep(10 * time.Second)
				must.True(t, f.allLong())
			})
		})
	}
}

// Guards against entries that the store serves and that wait for those that it refuses.
func TestStoreServesSome(t *testing.T) {
	for _, served := range []int{1, 2} {
		runFleet(t, 9, true, func(t *testing.T, f *fleet) {
			var refused []int
			for i, e := range f.entries {
				if i >= served {
					refused = append(refused, i)
					e.set(func(e *entry) { e.err = errRefused })
					e.silence()
				}
			}
			time.Sleep(20 * time.Second)
			f.entries[0].silence()
			f.mustApplyWithin(t, f.write(), bound, refused...)
			for _, e := range f.entries {
				e.set(func(e *entry) { e.err = nil })
			}
			f.mustApplyWithin(t, f.write(), bound)
			time.Sleep(30 * time.Second)
			must.True(t, f.allLong())
		})
	}
}

// Guards against an outage of the store that goes unnoticed because nothing changes.
func TestSilentStore(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		for _, e := range f.entries {
			e.silence()
			e.set(func(e *entry) { e.silent = true })
		}
		time.Sleep(bound + 500*time.Millisecond)
		for _, e := range f.entries {
			must.Positive(t, e.follower.Counters()["failures"])
			e.set(func(e *entry) { e.silent, e.silentBefore = false, time.Now() })
		}
		f.mustApplyWithin(t, f.write(), bound)
	})
}

// Guards against a copy of the era before that claims of that era keep in use, or that a silent connection hides.
func TestStoreReturnsToFleet(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		f.write()
		time.Sleep(10 * time.Second)
		f.entries[victim].silence()
		p := f.update(func() { f.era, f.version, f.changes = 2, 10, []uint64{5, 10} })
		f.mustApplyWithin(t, p, 1200*time.Millisecond)
		time.Sleep(20 * time.Second)
		f.entries[victim].silence()
		f.mustApplyWithin(t, f.write(), bound)
	})
}

// Guards against a change that is missed after the store has dropped its history.
func TestHistoryIsDropped(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		f.entries[victim].silence()
		p := f.update(func() {
			f.version += 5
			f.changes, f.oldest = append(f.changes, f.version), f.version
		})
		f.mustApplyWithin(t, p, bound)
		time.Sleep(20 * time.Second)
		must.True(t, f.allLong())
	})
}

// Guards against claims of changes that do not exist, of other eras and rounds, which must neither delay a change nor cost many calls.
func TestWrongClaims(t *testing.T) {
	for name, wrong := range map[string]confirmer.Claim{
		"version": {Era: 1, Lowest: math.MaxUint64, Highest: math.MaxUint64},
		"highest": {Era: 1, Lowest: 1, Highest: math.MaxUint64},
		"era":     {Era: math.MaxUint64, Lowest: 1, Highest: 1},
		"old era": {Era: 0, Lowest: 1, Highest: 1},
		"round":   {Era: 1, Round: math.MaxInt32},
		"empty":   {},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 9, true, func(t *testing.T, f *fleet) {
				before := f.numCalls()
				for range 100 {
					c := wrong
					c.Table = tableID
					f.entries[victim].table.Receive(c, f.entries[victim].now())
					time.Sleep(100 * time.Millisecond)
				}
				// Two calls a second at most because of the claims: the repeated one and the next.
				must.LessEq(t, 10*2+40, f.numCalls()-before)
				f.entries[victim].silence()
				f.mustApplyWithin(t, f.write(), bound)
			})
		})
	}
}

// Guards against holds of evacuations and an age of the configuration that wait for the end of a call of 20 s although other entries confirm, and
// against a copy that counts as current after a change that it lacks.
func TestConfirmedAtFollowsClaims(t *testing.T) {
	runFleet(t, 9, true, func(t *testing.T, f *fleet) {
		for range 200 {
			time.Sleep(150 * time.Millisecond)
			for _, e := range f.entries {
				must.LessEq(t, bound, e.now().Sub(e.follower.ConfirmedAt()))
			}
		}
		x := f.entries[victim]
		x.set(func(e *entry) { e.err = errRefused })
		x.silence()
		p, began := f.write(), x.now()
		f.mustApplyWithin(t, p, 500*time.Millisecond, victim)
		time.Sleep(10 * time.Second)
		must.False(t, x.follower.ConfirmedAt().After(began))
	})
}

// Guards against a check that confirms the copy by a reply with an earlier position than the copy has.
func TestStaleChecks(t *testing.T) {
	atPhases(t, func(t *testing.T, f *fleet) {
		for _, e := range f.entries {
			e.silence()
			e.set(func(e *entry) { e.stale = true })
		}
		began := time.Now()
		time.Sleep(2300 * time.Millisecond)
		for _, e := range f.entries {
			must.GreaterEq(t, time.Since(began)-50*time.Millisecond, e.now().Sub(e.follower.ConfirmedAt()))
		}
	})
}

// Guards against calls that news end again and again before a reply that takes long to arrive is read.
func TestSlowReply(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		atPhases(t, func(t *testing.T, f *fleet) {
			x := f.entries[victim]
			x.set(func(e *entry) { e.slow = slow })
			// Until the entries know each other's clocks, some calls are given up without news.
			before := x.table.Counters()["given-up"]
			f.mustApplyWithin(t, f.write(), bound)
			must.LessEq(t, 2, x.table.Counters()["given-up"]-before)
		})
	}
}

// Guards against news that cut a held call at each change, of a store whose replies to this entry take longer than the time that news leave.
func TestSlowStoreIsNotCutAgain(t *testing.T) {
	for _, slow := range []time.Duration{220 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		runFleet(t, 9, true, func(t *testing.T, f *fleet) {
			x := f.entries[victim]
			x.set(func(e *entry) { e.slow = slow })
			for range 12 {
				f.mustApplyWithin(t, f.write(), bound)
			}
			t.Logf("replies of %s: %d calls given up at 12 changes", slow, x.table.Counters()["given-up"])
			must.LessEq(t, 2, x.table.Counters()["given-up"])
		})
	}
}
