package follower_test

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/prober"
	"github.com/siskinfront/siskinfront/storer"
)

var errOut = errors.New("out")

// faults are ways in which a store does not serve a table.
var faults = map[string]func(*fakeStore){
	"refused":      func(s *fakeStore) { s.err = errOut },
	"rate-limited": func(s *fakeStore) { s.err = storer.ErrRateLimited },
	"silent":       func(s *fakeStore) { s.hangs = true },
}

// entry holds the three followers of an entry, each of a table of its own, which can fail alone.
type entry struct {
	group     *prober.Group
	stores    [3]*fakeStore
	followers [3]*follower.Follower[uint64]
	// firstSuccess is when a reply first arrived after a time, per table.
	mu        sync.Mutex
	since     time.Time
	successes [3]time.Time
}

// runEntry runs a test with an entry whose tables are served, except some at the start, after 30 s.
func runEntry(t *testing.T, shared bool, test func(*testing.T, *entry), unread ...int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &entry{group: prober.New()}
		ctx, cancel := context.WithCancel(t.Context())
		var duties sync.WaitGroup
		for i := range e.followers {
			s := &fakeStore{version: 5}
			f := follower.New(e.observe(i, s.source()), func(follower.Batch[uint64]) {}, slog.New(slog.DiscardHandler))
			wait := 2 * time.Second
			if i == 2 {
				wait = 10 * time.Second
			}
			f.Pace = func() pacer.Pace { return pacer.Pace{Wait: wait, Pause: time.Second} }
			if shared {
				f.Probe = e.group.Join(string(rune('a' + i)))
			}
			e.stores[i], e.followers[i] = s, f
			for _, x := range unread {
				if x == i {
					s.err = errOut
				}
			}
			duties.Go(func() {
				time.Sleep(time.Duration(i) * 300 * time.Millisecond)
				_ = f.Run(ctx)
			})
		}
		time.Sleep(30*time.Second + rand.N(10*time.Second))
		test(t, e)
		cancel()
		duties.Wait()
	})
}

// observe records the first success of each table.
func (e *entry) observe(i int, s follower.Source[uint64]) follower.Source[uint64] {
	note := func(at storer.Extent, err error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err == nil && !e.since.IsZero() && e.successes[i].IsZero() && at.Version > 5 {
			e.successes[i] = time.Now()
		}
	}
	read, changes := s.Read, s.Changes
	s.Read = func(ctx context.Context) ([]uint64, storer.Extent, error) {
		rows, at, err := read(ctx)
		note(at, err)
		return rows, at, err
	}
	s.Changes = func(ctx context.Context, after storer.Position, wait time.Duration) ([]uint64, storer.Extent, error) {
		rows, at, err := changes(ctx, after, wait)
		note(at, err)
		return rows, at, err
	}
	return s
}

func (e *entry) fail(fault func(*fakeStore), tables ...int) {
	for _, i := range tables {
		e.stores[i].update(fault)
	}
}

// serve makes tables served again, each with a change.
func (e *entry) serve(tables ...int) {
	e.mu.Lock()
	e.since = time.Now()
	e.mu.Unlock()
	for _, i := range tables {
		e.stores[i].update(func(s *fakeStore) { s.err, s.hangs = nil, false })
		e.stores[i].write()
	}
}

// mustBeCurrent requires that tables are current within a time after their return, and within 0.5 s after the first of them.
func (e *entry) mustBeCurrent(t *testing.T, within time.Duration, tables ...int) {
	t.Helper()
	time.Sleep(within)
	e.mu.Lock()
	defer e.mu.Unlock()
	first, last := time.Time{}, time.Time{}
	for _, i := range tables {
		at := e.successes[i]
		must.False(t, at.IsZero(), must.Sprintf("table %d is not current after %s", i, within))
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	must.LessEq(t, 500*time.Millisecond, last.Sub(first))
}

// failures returns the failed calls so far.
func (e *entry) failures() int64 {
	n := int64(0)
	for _, f := range e.followers {
		n += f.Counters()["failures"]
	}
	return n
}

// failingCalls returns the failed calls of an entry in an outage of all tables, in some runs.
func failingCalls(t *testing.T, shared bool, fault func(*fakeStore), out time.Duration) int64 {
	t.Helper()
	n := int64(0)
	for range 10 {
		runEntry(t, shared, func(_ *testing.T, e *entry) {
			e.fail(fault, 0, 1, 2)
			time.Sleep(out)
			n += e.failures()
		})
	}
	return n
}

// Guards against more than a third of the failing calls that three followers make that each probe the store themselves.
func TestFailingCallsAreAThird(t *testing.T) {
	for _, x := range []struct {
		fault string
		out   time.Duration
	}{{"refused", 9 * time.Second}, {"refused", time.Minute}, {"rate-limited", time.Minute}} {
		before, after := failingCalls(t, false, faults[x.fault], x.out), failingCalls(t, true, faults[x.fault], x.out)
		t.Logf("%s for %s, 10 runs: %d failing calls before, %d after", x.fault, x.out, before, after)
		must.LessEq(t, before, 3*after)
	}
}

// Guards against more than a third of the failing calls while the store does not answer.
func TestFailingCallsOfSilentStore(t *testing.T) {
	before, after := failingCalls(t, false, faults["silent"], time.Minute), failingCalls(t, true, faults["silent"], time.Minute)
	t.Logf("silent for a minute, 10 runs: %d failing calls before, %d after", before, after)
	must.LessEq(t, before, 3*after)
}

// Guards against tables that are current later after a return of the store than without the shared probe: within the longest pause, or
// that and the time of a call that is not answered.
func TestReturnIsFoundAsSoon(t *testing.T) {
	for name, within := range map[string]time.Duration{
		"refused": 550 * time.Millisecond, "rate-limited": 550 * time.Millisecond, "silent": 3050 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				runEntry(t, true, func(t *testing.T, e *entry) {
					e.fail(faults[name], 0, 1, 2)
					// Before, a call of the shared table lasts 10.5 s.
					time.Sleep(10600*time.Millisecond + rand.N(10*time.Second))
					e.serve(0, 1, 2)
					e.mustBeCurrent(t, within, 0, 1, 2)
					time.Sleep(time.Second)
					must.True(t, e.group.State().OutSince.IsZero())
				})
			}
		})
	}
}

// Guards against a call that the outage has silenced, and that its follower waits for after another one has succeeded.
func TestCallUnderWayAtReturn(t *testing.T) {
	for range 30 {
		runEntry(t, true, func(t *testing.T, e *entry) {
			e.fail(faults["silent"], 0, 1)
			time.Sleep(10*time.Second + rand.N(3*time.Second))
			e.fail(faults["refused"], 2)
			// The third follower calls once itself 2 s after that.
			time.Sleep(1900 * time.Millisecond)
			e.serve(0, 1, 2)
			e.mustBeCurrent(t, time.Second, 0, 1, 2)
		})
	}
}

// Guards against a store that has dropped its history in an outage, whose answer counts as a failure: each table is read as a whole after a
// pause, not after the turns of the others.
func TestHistoryIsLostInOutage(t *testing.T) {
	for range 50 {
		runEntry(t, true, func(t *testing.T, e *entry) {
			e.fail(faults["refused"], 0, 1, 2)
			time.Sleep(10*time.Second + rand.N(time.Second))
			e.fail(func(s *fakeStore) { s.oldestChange = 7 }, 0, 1, 2)
			e.serve(0, 1, 2)
			e.mustBeCurrent(t, 1050*time.Millisecond, 0, 1, 2)
		})
	}
}

// Guards against followers of tables that the store serves, or serves again, and that wait for those of tables that are out.
func TestStoreServesInPart(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for _, x := range []struct{ out, back []int }{{[]int{0}, []int{0}}, {[]int{0, 1}, []int{1}}, {[]int{0, 1, 2}, []int{2}}, {[]int{1, 2}, []int{1}}} {
				for range 20 {
					runEntry(t, true, func(t *testing.T, e *entry) {
						e.fail(fault, x.out...)
						time.Sleep(5 * time.Second)
						for i, f := range e.followers {
							isOut := false
							for _, k := range x.out {
								isOut = isOut || k == i
							}
							if !isOut {
								must.EqOp(t, 0, f.Counters()["failures"])
								e.stores[i].write()
							}
						}
						time.Sleep(15 * time.Second)
						must.EqOp(t, len(x.out) == 3, e.group.Withhold(time.Second))
						e.serve(x.back...)
						// A follower tries after 2 s at the latest; that of a silent store waits for its turn among the calls of others.
						within := 2050 * time.Millisecond
						if name == "silent" {
							within = time.Duration(len(x.out)) * 3050 * time.Millisecond
						}
						e.mustBeCurrent(t, within, x.back...)
						must.False(t, e.group.Withhold(time.Second))
					})
				}
			}
		})
	}
}

// Guards against a follower without a copy that waits for others, and thereby against an entry that starts later.
func TestUnreadTableDoesNotWait(t *testing.T) {
	runEntry(t, true, func(t *testing.T, e *entry) {
		e.fail(faults["refused"], 0, 2)
		time.Sleep(10 * time.Second)
		before := e.followers[1].Counters()["failures"]
		time.Sleep(10 * time.Second)
		must.Between(t, 20, e.followers[1].Counters()["failures"]-before, 40)
		e.serve(1)
		e.mustBeCurrent(t, 550*time.Millisecond, 1)
	}, 1)
}

// Guards against an outage of the store that is found in slow replies, which are none.
func TestSlowStoreIsNotOut(t *testing.T) {
	runEntry(t, true, func(t *testing.T, e *entry) {
		for _, s := range e.stores {
			s.update(func(s *fakeStore) { s.slow = 400 * time.Millisecond })
		}
		time.Sleep(20 * time.Second)
		e.serve(0, 1, 2)
		time.Sleep(3 * time.Second)
		must.EqOp(t, 0, e.failures())
		must.EqOp(t, 0, e.group.Counters()["losses"])
		for _, f := range e.followers {
			must.EqOp(t, 6, f.Position().Version)
		}
	})
}

// Guards against a store that answers slowly after an outage and whose replies are cut off again and again.
func TestStoreReturnsSlow(t *testing.T) {
	for _, slow := range []time.Duration{150 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		runEntry(t, true, func(t *testing.T, e *entry) {
			e.fail(faults["silent"], 0, 1, 2)
			time.Sleep(20 * time.Second)
			for _, s := range e.stores {
				s.update(func(s *fakeStore) { s.slow = slow })
			}
			e.serve(0, 1, 2)
			time.Sleep(3050*time.Millisecond + 2*slow)
			for _, f := range e.followers {
				must.EqOp(t, 6, f.Position().Version)
			}
		})
	}
}
