package runner

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// rolloutTable is the part of a store with the status, tallies and verdicts of one service.
type rolloutTable struct {
	mu       sync.Mutex
	at       storer.Position
	status   promoter.RolloutStatus
	verdicts []promoter.Verdict
	writes   int
}

func (x *rolloutTable) store() RolloutStore {
	return RolloutStore{
		Status: func(context.Context, identifier.Service) (promoter.RolloutStatus, int64, error) {
			x.mu.Lock()
			defer x.mu.Unlock()
			status := x.status
			status.At.Era = x.at.Era
			return status, time.Now().UnixMilli(), nil
		},
		SetStatus: func(_ context.Context, previous promoter.RolloutStatus, to identifier.Version, state string) error {
			x.mu.Lock()
			defer x.mu.Unlock()
			if previous.At.Version != x.status.At.Version {
				return storer.ErrConflict
			}
			x.at.Version++
			x.writes++
			x.status = promoter.RolloutStatus{To: to, State: promoter.TimedRolloutCanary, At: x.at}
			if state != "" {
				x.status.State = promoter.TimedRolloutSucceeded
				if state == string(promoter.TimedRolloutRolledBack) {
					x.status.State = promoter.TimedRolloutRolledBack
				}
			}
			return nil
		},
		PutTally: func(context.Context, identifier.Service, promoter.Tally) (int64, error) {
			return time.Now().UnixMilli(), nil
		},
		Records: func(context.Context, identifier.Service) (RolloutRecords, error) {
			x.mu.Lock()
			defer x.mu.Unlock()
			return RolloutRecords{Verdicts: append([]promoter.Verdict(nil), x.verdicts...), ClockMillis: time.Now().UnixMilli(), Era: x.at.Era}, nil
		},
		PutVerdict: func(_ context.Context, _ identifier.Service, v promoter.Verdict, _ []promoter.Verdict) error {
			x.mu.Lock()
			defer x.mu.Unlock()
			for i := range x.verdicts {
				if w := &x.verdicts[i]; w.To == v.To && w.Number == v.Number && w.Era == v.Era {
					return storer.ErrConflict
				}
			}
			x.at.Version++
			x.writes++
			x.verdicts = append(x.verdicts, v)
			return nil
		},
	}
}

// comeBack takes the store back to a copy with an order at a version and without status and verdicts.
func (x *rolloutTable) comeBack(version uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.at = storer.Position{Era: x.at.Era + 1, Version: version}
	x.status, x.verdicts, x.writes = promoter.RolloutStatus{}, nil, 0
}

// state returns the published state and the number of writes since the return.
func (x *rolloutTable) state() (string, int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return string(x.status.State), x.writes
}

func newRollouts(x *rolloutTable, entry identifier.Instance) *rollouts {
	return &rollouts{
		store: x.store(), entry: entry, bound: promoter.ExposureBound{Share: 0.1, Slack: 30}, sessionTime: 5 * time.Second, now: time.Now,
		log: slog.New(slog.DiscardHandler), regroup: func() {}, groupSize: func(identifier.Service, matcher.Regions) int { return 1 },
		services: map[identifier.Service]*rollout{}, orders: map[identifier.Service]*promoter.Orders{},
		rolledBack: map[serviceVersion]bool{}, learned: map[identifier.Service][]statedVerdict{}, activeRequests: map[serviceVersion]int64{}, recentSessions: pinner.NewRecentSessions(5 * time.Second),
	}
}

func startRollouts(ctx context.Context, x *rolloutTable, entry identifier.Instance) *rollouts {
	r := newRollouts(x, entry)
	go func() { _ = r.run(ctx) }()
	return r
}

func orderAt(era, version uint64) promoter.RolloutOrder {
	return promoter.RolloutOrder{Service: "s", To: "v2", Duration: 4 * time.Second, At: storer.Position{Era: era, Version: version}}
}

// runRollouts lets three entries carry out an order until it is rolled back at its deadline, as nothing answers.
func runRollouts(t *testing.T, test func(*testing.T, *rolloutTable, []*rollouts)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		x := &rolloutTable{at: storer.Position{Era: 1, Version: 95}}
		var entries []*rollouts
		for _, name := range []identifier.Instance{"a", "b", "c"} {
			r := startRollouts(ctx, x, name)
			r.addOrder(orderAt(1, 95), false)
			entries = append(entries, r)
		}
		time.Sleep(10 * time.Second)
		state, _ := x.state()
		must.EqOp(t, string(promoter.TimedRolloutRolledBack), state)
		for _, r := range entries {
			must.EqOp(t, "s"+excludedSuffix, r.group("s", "v2"))
		}
		test(t, x, entries)
		cancel()
		synctest.Wait()
	})
}

// Guards against a verdict that is lost with the last seconds of the store, and against steps with the version that the order had before.
func TestLostVerdictIsWrittenAgain(t *testing.T) {
	for name, version := range map[string]uint64{"lower": 80, "same": 95, "higher": 120} {
		t.Run(name+" version", func(t *testing.T) {
			runRollouts(t, func(t *testing.T, x *rolloutTable, entries []*rollouts) {
				x.comeBack(version)
				for _, r := range entries {
					r.storeReturned(2)
				}
				time.Sleep(3 * time.Second)
				// The operator has not written the order again.
				_, writes := x.state()
				must.EqOp(t, 0, writes)
				for _, r := range entries {
					r.addOrder(orderAt(2, version), false)
					must.EqOp(t, "s"+excludedSuffix, r.group("s", "v2"))
				}
				time.Sleep(2 * time.Second)
				state, writes := x.state()
				must.EqOp(t, string(promoter.TimedRolloutRolledBack), state)
				must.LessEq(t, 3, writes)
				time.Sleep(time.Minute)
				_, later := x.state()
				must.EqOp(t, writes, later)
			})
		})
	}
}

// Guards against two entries that act on different verdicts: one that knows the verdict was cut off while another, which started anew,
// reached its own.
func TestEarlierVerdictCounts(t *testing.T) {
	runRollouts(t, func(t *testing.T, x *rolloutTable, entries []*rollouts) {
		x.comeBack(95)
		x.mu.Lock()
		x.at.Version = 99
		x.verdicts = []promoter.Verdict{{To: "v2", Number: 95, Era: 2, State: promoter.TimedRolloutSucceeded, By: "new"}}
		x.status = promoter.RolloutStatus{To: "v2", State: promoter.TimedRolloutSucceeded, At: storer.Position{Era: 2, Version: 99}}
		x.mu.Unlock()
		newEntry := startRollouts(t.Context(), x, "new")
		newEntry.addOrder(orderAt(2, 95), false)
		time.Sleep(3 * time.Second)
		must.EqOp(t, "s", newEntry.group("s", "v2"))
		newEntry.storeReturned(2)
		newEntry.addOrder(orderAt(2, 96), false)
		// It writes its verdict first.
		time.Sleep(vouchSpread + badTallyInterval)
		x.mu.Lock()
		verdict, ok := promoter.FirstVerdict(x.verdicts, &promoter.RolloutOrder{To: "v2", At: storer.Position{Era: 2, Version: 96}})
		x.mu.Unlock()
		must.True(t, ok)
		must.EqOp(t, promoter.TimedRolloutSucceeded, verdict.State)
		for _, r := range entries {
			r.storeReturned(2)
			r.addOrder(orderAt(2, 96), true)
		}
		time.Sleep(15 * time.Second)
		state, _ := x.state()
		must.EqOp(t, string(promoter.TimedRolloutRolledBack), state)
		for _, r := range append(entries, newEntry) {
			must.EqOp(t, "s"+excludedSuffix, r.group("s", "v2"))
		}
	})
}

// Guards against an entry that reaches a verdict before those that know one had time to write it again.
func TestNoVerdictAtReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &rolloutTable{at: storer.Position{Era: 1, Version: 95}}
		r := newRollouts(x, "a")
		r.addOrder(orderAt(1, 95), false)
		stepFor := func(d time.Duration) int {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				r.step(t.Context(), r.services["s"])
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			return len(x.verdicts)
		}
		must.EqOp(t, 0, stepFor(settleTime-100*time.Millisecond))
		x.comeBack(95)
		r.storeReturned(2)
		r.addOrder(orderAt(2, 95), true)
		must.EqOp(t, 0, stepFor(settleTime-100*time.Millisecond))
		// The deadline of the order passes.
		must.EqOp(t, 1, stepFor(time.Second))

		// An entry that starts after the return does not know when that was.
		x.comeBack(95)
		r = newRollouts(x, "b")
		r.addOrder(promoter.RolloutOrder{Service: "s", To: "v2", Duration: time.Second, At: storer.Position{Era: 3, Version: 95}}, true)
		must.EqOp(t, 0, stepFor(settleTime-100*time.Millisecond))
		must.EqOp(t, 1, stepFor(200*time.Millisecond))
	})
}

// Guards against an entry that starts after the store has lost a verdict and tries the version that was rolled back, and against the
// verdict on an earlier order that ends a later one.
func TestStatedVerdictIsAdopted(t *testing.T) {
	stated := statedVerdict{Service: "s", To: "v2", Number: 95, Era: 1, State: string(promoter.TimedRolloutRolledBack), VerdictEra: 1}
	for name, x := range map[string]struct {
		order   promoter.RolloutOrder
		learnAt time.Duration
		group   identifier.Service
	}{
		"before the status is read": {orderAt(2, 80), 0, "s" + excludedSuffix},
		"after it":                  {orderAt(2, 80), time.Second, "s" + excludedSuffix},
		"the same order":            {orderAt(1, 95), 0, "s" + excludedSuffix},
		"a later order":             {orderAt(1, 120), 0, "s" + candidateSuffix},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				table := &rolloutTable{at: storer.Position{Era: x.order.At.Era, Version: 130}}
				r := startRollouts(ctx, table, "a")
				r.addOrder(x.order, false)
				time.Sleep(x.learnAt)
				r.learn([]statedVerdict{stated}, []serviceVersion{{"s", "v1"}})
				time.Sleep(time.Second)
				must.True(t, r.allKnown())
				must.EqOp(t, x.group, r.group("s", "v2"))
				must.EqOp(t, "s"+excludedSuffix, r.group("s", "v1"))
				verdicts, rolledBack := r.stated(1)
				must.EqOp(t, x.group != "s"+candidateSuffix, len(verdicts) == 1)
				must.Len(t, 1, rolledBack)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a session that is served on the former version between the order and the read of its status, and moves in the canary.
func TestSessionBeforeStatusIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := &rolloutTable{at: storer.Position{Era: 1, Version: 95}}
		r := newRollouts(table, "a")
		r.addOrder(promoter.RolloutOrder{Service: "s", To: "v2", Duration: time.Minute, At: table.at}, false)
		// Both are in the share of the canary.
		const held, later = 1 << 20, 1 << 21
		must.EqOp(t, "s", r.sessionGroup("s", held, nil))
		go func() { _ = r.run(ctx) }()
		time.Sleep(5 * time.Second)
		must.EqOp(t, "s", r.sessionGroup("s", held, nil))
		must.EqOp(t, "s"+candidateSuffix, r.sessionGroup("s", later, nil))
		cancel()
		synctest.Wait()
	})
}

// Guards against bound requests that are refused because the new version has no upstream in their regions, against one whose session moves once the
// new version has one there, and against a new version that gets all requests of a region, beyond its share, because the former has none there.
func TestBoundSessionsInRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := &rolloutTable{at: storer.Position{Era: 1, Version: 95}}
		r := newRollouts(table, "a")
		west, east := matcher.NewRegions("west"), matcher.NewRegions("east")
		size := map[identifier.Service]int{"s": 1}
		r.groupSize = func(s identifier.Service, bound matcher.Regions) int {
			switch {
			case bound.Allows("west") && bound != nil:
				return size[s]
			case bound.Allows("east") && bound != nil:
				return 1 - size[s]
			}
			return 1
		}
		r.addOrder(promoter.RolloutOrder{Service: "s", To: "v2", Duration: time.Minute, At: table.at}, false)
		go func() { _ = r.run(ctx) }()
		time.Sleep(5 * time.Second)
		// All but the last are in the share of the canary.
		const first, second, last = 1 << 20, 1 << 21, 1<<64 - 1
		must.EqOp(t, "s"+candidateSuffix, r.sessionGroup("s", first, east))
		must.EqOp(t, "s", r.sessionGroup("s", second, west))
		must.EqOp(t, "s", r.sessionGroup("s", last, east))
		size["s"+candidateSuffix] = 1
		must.EqOp(t, "s", r.sessionGroup("s", second, west))
		must.EqOp(t, "s"+candidateSuffix, r.sessionGroup("s", first, west))
		cancel()
		synctest.Wait()
	})
}

// Guards against an entry that starts and returns a version to service that an order before the present one has rolled back: the row of the
// status shows only the present one.
func TestEarlierRollbackIsKnownAtStart(t *testing.T) {
	verdict := func(to identifier.Version, number uint64, state interpreter.State) promoter.Verdict {
		return promoter.Verdict{To: to, Number: number, Era: 1, State: state}
	}
	for name, x := range map[string]struct {
		status interpreter.State
		// v2 is the group of the version that was rolled back.
		v2 identifier.Service
	}{
		"in progress": {promoter.TimedRolloutCanary, "s" + excludedSuffix},
		"rolled back": {promoter.TimedRolloutRolledBack, "s" + excludedSuffix},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				at := storer.Position{Era: 1, Version: 130}
				table := &rolloutTable{at: at, status: promoter.RolloutStatus{To: "v4", State: x.status, At: at}, verdicts: []promoter.Verdict{
					verdict("v2", 50, promoter.TimedRolloutRolledBack), verdict("v3", 60, promoter.TimedRolloutRolledBack),
					verdict("v3", 70, promoter.TimedRolloutSucceeded),
				}}
				r := startRollouts(ctx, table, "a")
				r.addOrder(promoter.RolloutOrder{Service: "s", To: "v4", Duration: time.Minute, At: storer.Position{Era: 1, Version: 120}}, false)
				time.Sleep(time.Second)
				must.True(t, r.allKnown())
				must.EqOp(t, x.v2, r.group("s", "v2"))
				must.EqOp(t, "s", r.group("s", "v3"))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a roll-out whose calls of the store are not counted a kind.
func TestRolloutCallsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table, calls := &rolloutTable{at: storer.Position{Era: 1, Version: 95}}, &rolloutCalls{}
		r := newRollouts(table, "a")
		r.store = calls.count(r.store)
		r.ready.Store(true)
		go func() { _ = r.run(ctx) }()
		r.addOrder(orderAt(1, 95), false)
		time.Sleep(10 * time.Second)
		n := calls.Counters()
		must.EqOp(t, 1, n["verdict-writes"])
		must.EqOp(t, 2, n["status-writes"])
		must.EqOp(t, n["tally-writes"], n["record-reads"])
		must.Positive(t, n["tally-writes"])
		must.Between(t, 2, n["status-reads"], 3)
		cancel()
		synctest.Wait()
	})
}
