package runner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against steps through collectors that make more calls of the store than required: as many as n/32 entries that each act for
// themselves, and at 30 entries a tenth of those without collectors; and against a good roll-out that takes longer because of them.
func TestSharedTalliesSaveCalls(t *testing.T) {
	calls := func(n int, shared bool) (int, stages) {
		var made int
		var s stages
		runFleet(t, n, shared, func(ctx context.Context, t *testing.T, f *tallyFleet) {
			s = play(ctx, t, f, 0)
			must.EqOp(t, "succeeded", s.state)
			time.Sleep(10 * time.Second)
			made = f.store.numCalls()
			t.Logf("%d entries, shared %v: %d calls %v, stages %+v; %d calls of collectors with %d bytes, answers %d", n, shared, made, f.store.kinds, s,
				f.calls, f.callBytes, f.answerBytes)
		})
		return made, s
	}
	alone, _ := calls(1, false)
	for _, n := range []int{4, 30, 330} {
		made, s := calls(n, true)
		groups := (n + 31) / 32
		must.LessEq(t, groups*alone, made, must.Sprint(n))
		// The full exposure is due at 0.56 of the duration, and without a collector an entry takes it at its next step. Its tally then reaches the
		// others, and one of them sees that all are idle. The others learn the verdict at their next step, which is a long interval away; those
		// with the same collector learn it at once.
		const step, longStep = badTallyInterval + badTallyInterval/2, tallyInterval + badTallyInterval/2
		must.LessEq(t, fleetDuration*56/100+step, s.full, must.Sprint(n))
		last := step
		if groups > 1 {
			last = longStep
		}
		must.LessEq(t, s.full+step+last, s.ended, must.Sprint(n))
		if n == 30 {
			before, _ := calls(n, false)
			must.LessEq(t, before/10, made)
		}
	}
}

// collectorFault makes the collector of a fleet fail; it is called when the new version turns bad.
type collectorFault func(f *tallyFleet, c *fleetEntry)

func collectorFaults() map[string]collectorFault {
	return map[string]collectorFault{
		"killed": func(_ *tallyFleet, c *fleetEntry) { c.kill() },
		"paused": func(_ *tallyFleet, c *fleetEntry) { c.pause(4 * time.Second) },
		"cut off": func(f *tallyFleet, c *fleetEntry) {
			f.setCut(func(from, to identifier.Instance) bool { return from == c.entry || to == c.entry })
		},
		"cut off from half of the entries": func(f *tallyFleet, c *fleetEntry) {
			f.setCut(func(from, to identifier.Instance) bool {
				return to == c.entry && (f.byName(from).address.Addr().As4()[3]%2 == 0)
			})
		},
		"without the store": func(f *tallyFleet, c *fleetEntry) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.store.refused[c.entry] = true
			time.AfterFunc(5*time.Second, func() { f.store.serve(c.entry) })
		},
		"with a slow store": func(f *tallyFleet, _ *fleetEntry) {
			f.store.setLatency(300 * time.Millisecond)
		},
		"that answers nonsense": func(_ *tallyFleet, c *fleetEntry) {
			c.faults.Lock()
			defer c.faults.Unlock()
			c.change = func([]byte) []byte { return []byte("[]") }
		},
	}
}

// stopTimes returns the mean and the longest time from the evidence on a bad version to its last request, over some roll-outs.
func stopTimes(t *testing.T, n, runs int, shared bool, badAfter time.Duration, fault collectorFault) (mean, longest time.Duration) {
	t.Helper()
	for range runs {
		runFleet(t, n, shared, func(ctx context.Context, t *testing.T, f *tallyFleet) {
			if fault != nil {
				go func() {
					time.Sleep(badAfter)
					fault(f, f.collectorOf(t))
				}()
			}
			s := play(ctx, t, f, badAfter)
			must.EqOp(t, "rolled-back", s.state)
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			must.False(t, f.evidentAt.IsZero())
			d := max(f.lastBadAt.Sub(f.evidentAt), 0)
			longest = max(longest, d)
			mean += d / time.Duration(runs)
			if !f.fiftiethAt.IsZero() {
				must.Less(t, 5*time.Second, f.lastBadAt.Sub(f.fiftiethAt))
			}
		})
	}
	return mean, longest
}

// The times after the order at which the version of an order turns bad, and the longest time after that until an entry without collector
// steps. Other entries than the first that sees the evidence need a further step.
var turnsBad = map[string]struct{ after, step time.Duration }{
	"in the canary": {6 * time.Second, tallyInterval + badTallyInterval/2},
	"as it grows":   {13200 * time.Millisecond, badTallyInterval + badTallyInterval/2},
}

// Guards against a bad version that gets requests for longer because entries wait for their collector.
func TestBadVersionIsStoppedThroughCollector(t *testing.T) {
	for _, n := range []int{4, 30} {
		var sumBefore, sum time.Duration
		for name, x := range turnsBad {
			before, longestBefore := stopTimes(t, n, 6, false, x.after, nil)
			mean, longest := stopTimes(t, n, 6, true, x.after, nil)
			t.Logf("%d entries, bad %s: mean %v, longest %v without collectors; %v, %v with them", n, name, before, longestBefore, mean, longest)
			must.LessEq(t, x.step, longest)
			sumBefore, sum = sumBefore+before, sum+mean
		}
		must.LessEq(t, sumBefore, sum)
	}
}

// Guards against a bad version that gets requests for more than an interval and 0.5 s longer if the collector fails as the version turns bad.
func TestBadVersionIsStoppedWithoutCollector(t *testing.T) {
	for name, x := range turnsBad {
		for fault, f := range collectorFaults() {
			t.Run(fault+", bad "+name, func(t *testing.T) {
				_, before := stopTimes(t, 8, 6, false, x.after, f)
				mean, longest := stopTimes(t, 8, 6, true, x.after, f)
				t.Logf("longest without collectors %v; mean %v, longest %v with them", before, mean, longest)
				must.LessEq(t, before+collector.LongInterval+500*time.Millisecond, longest)
			})
		}
	}
}

// Guards against entries that call a failed collector again in each step, and against entries that each step alone after an outage of the store,
// or after their collector was gone.
func TestCallsAfterFailures(t *testing.T) {
	const n = 8
	for name, x := range map[string]struct {
		fault collectorFault
		// failures are the collectors that an entry gives up, and more the calls of the store beyond those of one entry alone.
		failures, more int
	}{
		// Each entry makes one step, of two calls, and the next collector reads no status.
		"collector killed": {func(_ *tallyFleet, c *fleetEntry) { c.kill() }, 1, 2 * n},
		// Each entry tries a step for each interval of the outage.
		"store out": {func(f *tallyFleet, _ *fleetEntry) {
			for _, e := range f.list() {
				f.store.mu.Lock()
				f.store.refused[e.entry] = true
				f.store.mu.Unlock()
				time.AfterFunc(3*time.Second, func() { f.store.serve(e.entry) })
			}
		}, 0, 3 * n},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, n, true, func(ctx context.Context, t *testing.T, f *tallyFleet) {
				go func() {
					time.Sleep(6 * time.Second)
					x.fault(f, f.collectorOf(t))
				}()
				s := play(ctx, t, f, 0)
				must.EqOp(t, "succeeded", s.state)
				collectors := map[identifier.Instance]bool{}
				for _, e := range f.list() {
					if e.isKilled() {
						continue
					}
					e.mu.Lock()
					failed := e.services["s"].choice.Failed()
					collectors[e.services["s"].collector] = true
					e.mu.Unlock()
					must.LessEq(t, x.failures, failed)
					if x.failures > 0 {
						must.LessEq(t, int64(x.failures), e.tallies.callsFailed.Load())
					}
				}
				must.MapLen(t, 1, collectors)
				t.Logf("%d calls, %v", f.store.numCalls(), f.store.kinds)
				must.LessEq(t, 31+x.more, f.store.numCalls())
			})
		})
	}
}
