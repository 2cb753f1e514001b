package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/promoter"
)

// addBadAnswer adds a bad answer of the new version.
func (e *fleetEntry) addBadAnswer(id uint64) {
	e.mu.Lock()
	x := e.services["s"]
	e.mu.Unlock()
	x.timed.BeginAttempt(id, true, "report", "", time.Now())
	x.timed.AddAnswer(id, true, "report", true)
}

// pass lets a time pass and what is due then be done.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// stopFleet ends the entries of a fleet.
func stopFleet(f *tallyFleet) {
	for _, e := range f.list() {
		e.stop()
	}
	time.Sleep(20 * time.Second)
}

// Guards against a bad answer that an entry keeps for itself until its next usual call, and against a fleet that calls all the time because
// of it.
func TestBadAnswerIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []time.Time
		var short []bool
		f, e := answering(t, func(_ context.Context, c collector.Call) collector.Answer {
			calls, short = append(calls, time.Now()), append(short, c.Short)
			return collector.Answer{Era: 1, ClockMillis: 9000, StatusRead: true, NextMillis: 1500}
		})
		defer stopFleet(f)
		pass(10 * time.Second)
		must.Between(t, 7, len(calls), 9)
		before := len(calls)
		pass(time.Until(calls[before-1].Add(700 * time.Millisecond)))
		e.addBadAnswer(1)
		pass(badTallyInterval / 2)
		must.Len(t, before+1, calls)
		must.True(t, short[before])
		pass(time.Second)
		must.Len(t, before+1, calls)
		// Further ones are told at the short interval.
		for i := range 20 {
			e.addBadAnswer(uint64(10 + i))
			pass(50 * time.Millisecond)
		}
		must.Between(t, before+2, len(calls), before+4)
	})
}

// Guards against bad answers at the collector itself that wait for its usual step.
func TestBadAnswerAtCollector(t *testing.T) {
	runFleet(t, 2, true, func(_ context.Context, t *testing.T, f *tallyFleet) {
		f.order(fleetOrder(), time.Millisecond)
		time.Sleep(4 * time.Second)
		e := f.collectorOf(t)
		steps := e.tallies.ownSteps.Load()
		for e.tallies.ownSteps.Load() == steps {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		e.addBadAnswer(1)
		time.Sleep(badTallyInterval)
		must.EqOp(t, steps+2, e.tallies.ownSteps.Load())
	})
}

// Guards against an entry that lets others wait while it waits for a collector that does not answer.
func TestCalledEntryDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := answering(t, func(ctx context.Context, _ collector.Call) collector.Answer {
			<-ctx.Done()
			return collector.Answer{}
		})
		defer stopFleet(f)
		time.Sleep(500 * time.Millisecond)
		must.EqOp(t, 0, e.tallies.ownSteps.Load())
		began := time.Now()
		_, err := e.hold(t.Context(), e.address, callOf(fleetOrder(), false))
		must.NoError(t, err)
		must.Less(t, collector.CallLead+100*time.Millisecond, time.Since(began))
		must.EqOp(t, 0, e.tallies.callsFailed.Load())
	})
}

// Guards against calls that wait until their end although the collector knows that it does not reach the store, and against answers that wait
// for all writes after a verdict in a slow store.
func TestAnswersOfCollectorInTrouble(t *testing.T) {
	for name, x := range map[string]struct {
		prepare func(*tallyStore, *fleetEntry)
		within  time.Duration
		fails   bool
	}{
		"refused": {func(s *tallyStore, e *fleetEntry) { s.refused[e.entry] = true }, collector.CallLead, true},
		"store comes back": {func(_ *tallyStore, e *fleetEntry) {
			time.AfterFunc(50*time.Millisecond, func() { e.storeReturned(2) })
		}, collector.CallLead, true},
		"slow after a verdict": {func(s *tallyStore, _ *fleetEntry) {
			s.latency = 300 * time.Millisecond
			s.verdicts = []promoter.Verdict{{To: "v2", Number: 95, Era: 1, State: promoter.TimedRolloutRolledBack}}
		}, collector.CallLead + 600*time.Millisecond + maxVerdictDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, e := answering(t, func(context.Context, collector.Call) collector.Answer {
					return collector.Answer{Era: 1, ClockMillis: 9000, StatusRead: true, NextMillis: 1500}
				})
				defer stopFleet(f)
				time.Sleep(2 * time.Second)
				f.store.mu.Lock()
				x.prepare(f.store, e)
				f.store.mu.Unlock()
				began := time.Now()
				_, err := e.hold(t.Context(), e.address, callOf(fleetOrder(), false))
				must.EqOp(t, x.fails, err != nil)
				must.LessEq(t, x.within+50*time.Millisecond, time.Since(began))
			})
		})
	}
}

// Guards against an entry that starts and does not learn from the records which versions were rolled back.
func TestStartingEntryReadsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		f, e := answering(t, func(context.Context, collector.Call) collector.Answer {
			calls++
			return collector.Answer{Era: 1, ClockMillis: 9000, StatusRead: true, NextMillis: 1500}
		})
		defer stopFleet(f)
		e.ready.Store(false)
		f.store.mu.Lock()
		f.store.verdicts = []promoter.Verdict{{To: "v0", Number: 3, Era: 1, State: promoter.TimedRolloutRolledBack}}
		f.store.mu.Unlock()
		pass(time.Second)
		must.EqOp(t, 0, calls)
		must.EqOp(t, "s"+excludedSuffix, e.group("s", "v0"))
		e.ready.Store(true)
		pass(2 * time.Second)
		must.Positive(t, calls)
	})
}

// Guards against an entry that the store refuses and that calls a collector that is lost for the rest of the roll-out.
func TestRefusedEntryTakesNextCollector(t *testing.T) {
	runFleet(t, 30, true, func(_ context.Context, t *testing.T, f *tallyFleet) {
		f.order(fleetOrder(), 20*time.Millisecond)
		time.Sleep(4 * time.Second)
		lost := f.collectorsOf()[0]
		refused := f.list()[0]
		if refused == lost {
			refused = f.list()[1]
		}
		f.store.mu.Lock()
		f.store.refused[refused.entry] = true
		f.store.mu.Unlock()
		lost.kill()
		time.Sleep(4 * time.Second)
		before := refused.tallies.collectedSteps.Load()
		time.Sleep(4 * time.Second)
		must.GreaterEq(t, 2, refused.tallies.collectedSteps.Load()-before)
	})
}
