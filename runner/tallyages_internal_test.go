package runner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

// maxRowAge is the age from which the row of an entry does not count its current requests and sessions any more; see promoter.Decide.
const maxRowAge = 3500 * time.Millisecond

// collectorsOf returns the present collector of each group.
func (f *tallyFleet) collectorsOf() []*fleetEntry {
	var names []identifier.Instance
	for _, e := range f.list() {
		names = append(names, e.entry)
	}
	o := fleetOrder()
	key := collector.Order{Service: o.Service, To: o.To, Number: o.At.Version, Era: o.At.Era}
	seen := map[identifier.Instance]bool{}
	var list []*fleetEntry
	for _, name := range names {
		if first := collector.Candidates(name, names, key)[0]; !seen[first] {
			seen[first] = true
			list = append(list, f.byName(first))
		}
	}
	return list
}

// oldestRow returns the longest age that the row of an entry other than that with the fault had during a time.
func (f *tallyFleet) oldestRow(faulty identifier.Instance, d time.Duration) (time.Duration, identifier.Instance) {
	oldest, name := time.Duration(0), identifier.Instance("")
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.store.mu.Lock()
		for _, t := range f.store.tallies {
			if age := time.Duration(f.store.clock()-t.At) * time.Millisecond; t.Entry != faulty && age > oldest {
				oldest, name = age, t.Entry
			}
		}
		f.store.mu.Unlock()
	}
	return oldest, name
}

// Guards against entries that lose their collector and whose rows become so old that their requests at the former version do not count,
// with which a roll-out can succeed too early.
func TestRowsOfLiveEntriesStayFresh(t *testing.T) {
	for name, fault := range map[string]func(*tallyFleet, *fleetEntry){
		"killed": func(_ *tallyFleet, e *fleetEntry) { e.kill() },
		"paused": func(_ *tallyFleet, e *fleetEntry) { e.pause(3 * time.Second) },
		"cut off": func(f *tallyFleet, e *fleetEntry) {
			f.setCut(func(from, to identifier.Instance) bool { return from == e.entry || to == e.entry })
		},
		"refused by the store": func(f *tallyFleet, e *fleetEntry) {
			f.store.mu.Lock()
			f.store.refused[e.entry] = true
			f.store.mu.Unlock()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 3 {
				runFleet(t, 96, true, func(_ context.Context, t *testing.T, f *tallyFleet) {
					f.order(fleetOrder(), 20*time.Millisecond)
					time.Sleep(6*time.Second + time.Duration(i)*400*time.Millisecond)
					lost := f.collectorsOf()[i]
					fault(f, lost)
					age, entry := f.oldestRow(lost.entry, 8*time.Second)
					t.Logf("%s %s: oldest row %v of %s", lost.entry, name, age, entry)
					must.LessEq(t, maxRowAge, age)
				})
			}
		})
	}
}

// setActive sets the number of requests in flight at the former version.
func (e *fleetEntry) setActive(n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests = map[serviceVersion]int64{{"s", "v1"}: n}
}

// Guards against a roll-out that succeeds while an entry that has lost its collector still has a request at the former version.
func TestRollOutWaitsForEntryWithoutCollector(t *testing.T) {
	for i := range 12 {
		runFleet(t, 96, true, func(ctx context.Context, t *testing.T, f *tallyFleet) {
			for _, e := range f.list() {
				e.setActive(1)
				go f.send(ctx, e, 100*time.Millisecond, time.Time{})
			}
			f.order(fleetOrder(), 20*time.Millisecond)
			time.Sleep(14200 * time.Millisecond)
			lost := f.collectorsOf()[0]
			var names []identifier.Instance
			for _, e := range f.list() {
				names = append(names, e.entry)
			}
			members := collector.Candidates(lost.entry, names, collector.Order{Service: "s", To: "v2", Number: 95, Era: 1})
			waiting := f.byName(members[2+i])
			for _, e := range f.list() {
				if e != waiting {
					e.setActive(0)
				}
			}
			time.Sleep(400 * time.Millisecond)
			lost.kill()
			// The rows that became too old were so at most 1.5 s and 4.5 s after the loss. With a longer wait, the order ends 24 s after its
			// begin before the row of the waiting entry shows that it has no request any more.
			time.Sleep(6200 * time.Millisecond)
			f.store.mu.Lock()
			verdicts := len(f.store.verdicts)
			f.store.mu.Unlock()
			must.EqOp(t, 0, verdicts)
			waiting.setActive(0)
			time.Sleep(4 * time.Second)
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			must.Len(t, 1, f.store.verdicts)
			must.EqOp(t, promoter.TimedRolloutSucceeded, f.store.verdicts[0].State, must.Sprint(f.store.verdicts[0].Reason, i))
		})
	}
}
