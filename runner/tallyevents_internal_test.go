package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
)

// fleetEvent is a fault in a fleet whose roll-outs step through collectors.
type fleetEvent struct {
	name  string
	begin func(context.Context, *testing.T, *tallyFleet, *rand.Rand)
}

func fleetEvents() []fleetEvent {
	// Half of the faults hit the collector.
	victim := func(t *testing.T, f *tallyFleet, r *rand.Rand) *fleetEntry {
		if list := f.list(); r.IntN(2) == 0 {
			return list[r.IntN(len(list))]
		}
		return f.collectorOf(t)
	}
	return []fleetEvent{
		{"restart", func(ctx context.Context, t *testing.T, f *tallyFleet, r *rand.Rand) {
			e := victim(t, f, r)
			for i, other := range f.list() {
				if other == e && !e.isKilled() {
					f.restart(ctx, i)
				}
			}
		}},
		{"pause", func(_ context.Context, t *testing.T, f *tallyFleet, r *rand.Rand) {
			victim(t, f, r).pause(time.Duration(500+r.IntN(3500)) * time.Millisecond)
		}},
		{"store refuses an entry", func(_ context.Context, t *testing.T, f *tallyFleet, r *rand.Rand) {
			e := victim(t, f, r)
			f.store.mu.Lock()
			f.store.refused[e.entry] = true
			f.store.mu.Unlock()
			time.AfterFunc(time.Duration(500+r.IntN(4000))*time.Millisecond, func() { f.store.serve(e.entry) })
		}},
		{"store is out", func(_ context.Context, _ *testing.T, f *tallyFleet, r *rand.Rand) {
			for _, e := range f.list() {
				f.store.mu.Lock()
				f.store.refused[e.entry] = true
				f.store.mu.Unlock()
				time.AfterFunc(time.Duration(500+r.IntN(1500))*time.Millisecond, func() { f.store.serve(e.entry) })
			}
		}},
		{"store is slow", func(_ context.Context, _ *testing.T, f *tallyFleet, r *rand.Rand) {
			f.store.setLatency(time.Duration(50+r.IntN(300)) * time.Millisecond)
			time.AfterFunc(3*time.Second, func() { f.store.setLatency(3 * time.Millisecond) })
		}},
		{"calls are lost", func(_ context.Context, t *testing.T, f *tallyFleet, r *rand.Rand) {
			e, until := victim(t, f, r), time.Now().Add(time.Duration(500+r.IntN(4000))*time.Millisecond)
			f.setCut(func(_, to identifier.Instance) bool { return to == e.entry && time.Now().Before(until) })
		}},
		{"lists differ", func(_ context.Context, t *testing.T, f *tallyFleet, r *rand.Rand) {
			c := f.collectorOf(t).entry
			for _, e := range f.list() {
				e.forget(c, r.IntN(2) == 0)
			}
		}},
		{"store comes back", func(_ context.Context, _ *testing.T, f *tallyFleet, _ *rand.Rand) { f.comeBack(60) }},
	}
}

// Guards against orders of faults in which entries act on different verdicts, do not learn one, or a bad version gets requests for more
// than 5 s after its 50th bad answer; and against a tally that is written although it is old.
func TestFaultsOfSharedTallies(t *testing.T) {
	events := fleetEvents()
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 1))
		var played []string
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, 3+r.IntN(8), true, func(ctx context.Context, t *testing.T, f *tallyFleet) {
				badAfter, outage := time.Duration(0), false
				if r.IntN(2) == 0 {
					badAfter = 4*time.Second + time.Duration(r.IntN(9000))*time.Millisecond
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					for range 1 + r.IntN(4) {
						time.Sleep(time.Duration(r.IntN(5000)) * time.Millisecond)
						x := events[r.IntN(len(events))]
						played = append(played, fmt.Sprint(x.name, " at ", time.Now().Format("05.000")))
						outage = outage || strings.HasPrefix(x.name, "store")
						x.begin(ctx, t, f, r)
					}
				}()
				s := play(ctx, t, f, badAfter)
				// After a return of the store the entries look for the verdict for some time.
				time.Sleep(25 * time.Second)
				<-done
				t.Logf("%d entries, bad after %v: %s; %v", len(f.list()), badAfter, s.state, played)
				f.checkVerdict(t, s.state)
				if badAfter > 0 {
					must.EqOp(t, "rolled-back", s.state)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				// Without the store each entry has its own evidence alone, as without collectors.
				if !f.fiftiethAt.IsZero() && !outage {
					must.Less(t, 5*time.Second, f.lastBadAt.Sub(f.fiftiethAt))
				}
			})
		})
	}
}
