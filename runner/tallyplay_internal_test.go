package runner

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// order gives all entries an order, within a spread.
func (f *tallyFleet) order(o promoter.RolloutOrder, spread time.Duration) {
	for _, e := range f.list() {
		go func() {
			time.Sleep(rand.N(spread))
			e.addOrder(o, false)
		}()
	}
}

func fleetOrder() promoter.RolloutOrder {
	return promoter.RolloutOrder{Service: "s", To: "v2", Duration: fleetDuration, At: storer.Position{Era: 1, Version: 95}}
}

// send sends requests of new sessions to an entry at a mean interval, until ctx ends. From badFrom on, the new version fails.
func (f *tallyFleet) send(ctx context.Context, e *fleetEntry, interval time.Duration, badFrom time.Time) {
	for id := uint64(1); ctx.Err() == nil && !e.isKilled(); id++ {
		time.Sleep(interval/2 + rand.N(interval))
		if e.isPaused() {
			continue
		}
		session := rand.Uint64()
		candidate := e.sessionGroup("s", session, nil) == "s"+candidateSuffix
		now := time.Now()
		failed := candidate && !badFrom.IsZero() && now.After(badFrom)
		if failed {
			f.mu.Lock()
			if f.badAnswers++; f.badAnswers == 50 {
				f.fiftiethAt = now
			}
			f.lastBadAt = now
			f.mu.Unlock()
		}
		e.mu.Lock()
		x := e.services["s"]
		e.mu.Unlock()
		if x == nil {
			continue
		}
		x.timed.BeginAttempt(id, candidate, "report", "", now)
		if !failed {
			x.timed.AddResponse(id, 100*time.Millisecond, now)
		}
		x.timed.AddAnswer(id, candidate, "report", failed)
		x.timed.EndAttempt(id, now)
	}
}

// awaitEvidence notes when the tallies of all entries, as they are at that moment, suffice to roll a version back that turns bad at a time.
func (f *tallyFleet) awaitEvidence(ctx context.Context, badFrom time.Time) {
	time.Sleep(time.Until(badFrom))
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		now, clock := time.Now(), f.store.clock()
		order := fleetOrder()
		var tallies []promoter.Tally
		for _, e := range f.list() {
			e.mu.Lock()
			if x := e.services["s"]; x != nil && !e.isKilled() {
				order = x.order
				tallies = append(tallies, x.timed.Tally(clock, 0, now))
			}
			e.mu.Unlock()
		}
		state, _ := promoter.NewTimedRollout(order, "all", promoter.ExposureBound{Share: 1, Slack: 1e6}, time.Second, now).Decide(tallies, clock, now)
		if state == promoter.TimedRolloutRolledBack {
			f.mu.Lock()
			f.evidentAt = now
			f.mu.Unlock()
			return
		}
	}
}

// stages are the times, since the order, at which a roll-out reached its stages at all entries.
type stages struct {
	first, full, ended time.Duration
	state              string
}

// logStates logs what the entries know of the order.
func (f *tallyFleet) logStates(t *testing.T) {
	t.Helper()
	for _, e := range f.list() {
		e.mu.Lock()
		if x := e.services["s"]; x != nil {
			t.Logf("%s: %+v, verdict %q, status written %v, collector %s, stepping %v, next step %v", e.entry, x.timed.State(), x.verdict.State,
				x.statusWritten, x.collector, x.stepping, time.Until(x.nextStepAt))
		}
		e.mu.Unlock()
	}
}

// awaitEnd follows the entries until all know the verdict.
func (f *tallyFleet) awaitEnd(t *testing.T, within time.Duration) stages {
	t.Helper()
	began := time.Now()
	var s stages
	for {
		first, full, ended := false, true, true
		for _, e := range f.list() {
			if e.isKilled() {
				continue
			}
			e.mu.Lock()
			x := e.services["s"]
			verdict := promoter.Verdict{}
			if x != nil {
				verdict = x.verdict
			}
			e.mu.Unlock()
			if x == nil {
				full, ended = false, false
				continue
			}
			_, exposure := x.timed.Stage()
			first = first || exposure > 0.0376
			full = full && exposure >= 1
			ended = ended && verdict.State != ""
			if verdict.State != "" {
				must.True(t, s.state == "" || s.state == string(verdict.State))
				s.state = string(verdict.State)
			}
		}
		elapsed := time.Since(began)
		if first && s.first == 0 {
			s.first = elapsed
		}
		if full && s.full == 0 {
			s.full = elapsed
		}
		if ended {
			s.ended = elapsed
			return s
		}
		if elapsed >= within {
			f.logStates(t)
		}
		must.Less(t, within, elapsed, must.Sprint("no verdict at all entries"))
		time.Sleep(10 * time.Millisecond)
	}
}

// checkVerdict checks that all entries and the store have one verdict.
func (f *tallyFleet) checkVerdict(t *testing.T, state string) {
	t.Helper()
	for _, e := range f.list() {
		if e.isKilled() {
			continue
		}
		e.mu.Lock()
		x := e.services["s"]
		verdict, written := string(x.verdict.State), x.statusWritten
		e.mu.Unlock()
		must.EqOp(t, state, verdict, must.Sprint(e.entry))
		must.True(t, written, must.Sprint(e.entry))
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	must.EqOp(t, state, string(f.store.status.State))
}

// collectorOf returns the entry that collects for most others.
func (f *tallyFleet) collectorOf(t *testing.T) *fleetEntry {
	t.Helper()
	votes := map[identifier.Instance]int{}
	for _, e := range f.list() {
		e.mu.Lock()
		if x := e.services["s"]; x != nil {
			votes[x.collector]++
		}
		e.mu.Unlock()
	}
	var best *fleetEntry
	for _, e := range f.list() {
		if best == nil || votes[e.entry] > votes[best.entry] {
			best = e
		}
	}
	return best
}

// runFleet simulates a fleet on a virtual clock.
func runFleet(t *testing.T, n int, shared bool, test func(context.Context, *testing.T, *tallyFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(15 * time.Second)
			synctest.Wait()
		}()
		f := newTallyFleet(ctx, n, shared)
		time.Sleep(time.Second)
		test(ctx, t, f)
	})
}

// play carries out one order with requests at all entries and returns what was reached.
func play(ctx context.Context, t *testing.T, f *tallyFleet, badAfter time.Duration) stages {
	t.Helper()
	var badFrom time.Time
	if badAfter > 0 {
		badFrom = time.Now().Add(badAfter)
		f.badFrom = badFrom
		go f.awaitEvidence(ctx, badFrom)
	}
	// Small fleets get as many requests as are needed for a roll-out without delay.
	interval := min(100*time.Millisecond, time.Duration(len(f.list()))*5*time.Millisecond)
	for _, e := range f.list() {
		go f.send(ctx, e, interval, badFrom)
	}
	f.order(fleetOrder(), 20*time.Millisecond)
	return f.awaitEnd(t, 40*time.Second)
}
