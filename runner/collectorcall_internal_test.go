package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/collector"
)

// addBadAnswer adds a bad answer of the new version.
func (e *fleetEntry) addBadAnswer(id uint64) {
	e.mu.Lock()
	x := e.services["s"]
	e.mu.Unlock()
	x.timed.BeginAttempt(id, true, "report", "", time.Now())
	x.timed.AddAnswer(id, true, "report", true)
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
		time.Sleep(10 * time.Second)
		must.Between(t, 7, len(calls), 9)
		before := len(calls)
		time.Sleep(time.Until(calls[before-1].Add(700 * time.Millisecond)))
		e.addBadAnswer(1)
		time.Sleep(badTallyInterval / 2)
		must.Len(t, before+1, calls)
		must.True(t, short[before])
		time.Sleep(time.Second)
		must.Len(t, before+1, calls)
		// Further ones are told at the short interval.
		for i := range 20 {
			e.addBadAnswer(uint64(10 + i))
			time.Sleep(50 * time.Millisecond)
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
