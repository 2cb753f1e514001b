package distributor_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
)

var tableAddress = netip.MustParseAddrPort("127.0.0.1:1")

func newTable() (*platformfaker.Table, *storer.Table) {
	f := platformfaker.NewTable()
	return f, storer.NewTable(tableAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(f)))
}

func newConfiguration(committed float64, kinds ...identifier.WorkKind) *configurer.Configuration {
	c := &configurer.Configuration{Ranks: []configurer.Rank{{Name: "urgent"}}, Spend: configurer.Spend{Committed: committed}}
	for _, k := range kinds {
		c.WorkKinds = append(c.WorkKinds, configurer.WorkKind{Name: k, Rank: "urgent"})
	}
	return c
}

// Guards against updates that arrive in any order and set the revision back or skip a change. With a rule that accepts
// every update, the check finds both faults.
func TestApplyOnlyForward(t *testing.T) {
	updates := []distributor.Update{}
	synctest.Test(t, func(t *testing.T) {
		_, tb := newTable()
		source := distributor.New(distributor.WithSelf("a"), distributor.WithTable(tb))
		for i := range uint64(6) {
			kinds := []identifier.WorkKind{"tags", "notes", "orders"}[:i%3+1]
			_, err := committer.Commit(t.Context(), tb, i, newConfiguration(float64(i+1), kinds...), "ann")
			must.NoError(t, err)
			must.NoError(t, source.Read(t.Context()))
			for base := range i + 1 {
				updates = append(updates, source.Since(base))
			}
		}
	})
	check := func(rt *rapid.T, opts ...distributor.Option) string {
		d := distributor.New(opts...)
		have := uint64(0)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(updates)-1), 1, 30).Draw(rt, "order") {
			d.Apply(updates[i])
			c := d.Current()
			switch {
			case d.Revision() < have:
				return "went back"
			case c != nil && (c.Spend.Committed != float64(c.Revision) || len(c.WorkKinds) != int((c.Revision-1)%3)+1):
				return "mixes revisions"
			}
			have = d.Revision()
		}
		return ""
	}
	rapid.Check(t, func(rt *rapid.T) { must.Eq(rt, "", check(rt)) })
	found := map[string]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		found[check(rt, distributor.WithAccept(func(uint64, distributor.Update) bool { return true }))] = true
	})
	must.True(t, found["went back"])
	must.True(t, found["mixes revisions"])
}

// Guards against a cold start, while the table is unavailable, from a snapshot older than a revision that a peer has.
func TestColdStartWithTableOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		f, tb := newTable()
		o := storer.NewObjects(tableAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(platformfaker.NewObjects())))
		opts := []distributor.Option{distributor.WithSelf("a"), distributor.WithTable(tb), distributor.WithObjects(o)}
		_, err := committer.Commit(ctx, tb, 0, newConfiguration(1), "ann")
		must.NoError(t, err)
		must.NoError(t, distributor.New(opts...).Read(ctx))
		f.Unavailable = func(*http.Request) bool { return true }
		peers := distributor.WithMembers(func() []identifier.Instance { return []identifier.Instance{"a", "b"} })
		d := distributor.New(append(opts, peers)...)
		must.ErrorIs(t, d.LoadSnapshot(ctx), distributor.ErrStaleSnapshot)
		d.ObserveRevision("b", 2)
		must.ErrorIs(t, d.LoadSnapshot(ctx), distributor.ErrStaleSnapshot)
		must.Nil(t, d.Current())
		d = distributor.New(append(opts, peers)...)
		d.ObserveRevision("b", 1)
		must.NoError(t, d.LoadSnapshot(ctx))
		must.Eq(t, 1, d.Revision())
		must.NoError(t, distributor.New(opts...).LoadSnapshot(ctx))
	})
}

// Guards against table reads and messages that grow with the number of processes, and against a change that reaches a
// process later than the bound. It runs at the target size of 10 data centres with 253 processes each, in one of which each
// table call takes 500 ms.
func TestTargetSize(t *testing.T) {
	const dataCentres, instancesPerDataCentre = 10, 253
	synctest.Test(t, func(t *testing.T) {
		f, writerTable := newTable()
		var mu sync.Mutex
		var reads atomic.Int64
		delay := func(ctx context.Context) { _ = storer.Sleep(ctx, 500*time.Millisecond) }
		ctx, stop := context.WithCancel(t.Context())
		committedAt := map[uint64]time.Time{}
		delays := []time.Duration{}
		distributors := map[identifier.Instance]*distributor.Distributor{}
		for dc := range dataCentres {
			members := make([]identifier.Instance, instancesPerDataCentre)
			for i := range members {
				members[i] = identifier.Instance(fmt.Sprintf("dc-%d-%d", dc, i))
			}
			roundTrip := platformfaker.RoundTripFunc(f)
			tb := storer.NewTable(tableAddress, storer.WithRoundTrip(func(r *http.Request) (*http.Response, error) {
				reads.Add(1)
				if dc == 0 {
					delay(r.Context())
				}
				return roundTrip(r)
			}))
			for i, m := range members {
				distributors[m] = distributor.New(distributor.WithSelf(m), distributor.WithTable(tb),
					distributor.WithRand(rand.New(rand.NewPCG(uint64(dc), uint64(i)))),
					distributor.WithMembers(func() []identifier.Instance { return members }),
					distributor.WithPush(func(_ context.Context, to identifier.Instance, u distributor.Update) error {
						time.AfterFunc(2*time.Millisecond, func() { distributors[to].Receive(ctx, u) })
						return nil
					}),
					distributor.WithPull(func(_ context.Context, to identifier.Instance, r uint64) (distributor.Update, error) {
						if distributors[to] == nil {
							return distributor.Update{}, errors.New("no such peer")
						}
						return distributors[to].Since(r), nil
					}),
					distributor.WithOnChange(func(c *configurer.Configuration) {
						mu.Lock()
						defer mu.Unlock()
						delays = append(delays, time.Since(committedAt[c.Revision]))
					}))
			}
		}
		f.OnApply = func(storer.Transaction, uint64) {
			mu.Lock()
			defer mu.Unlock()
			committedAt[uint64(len(committedAt))+1] = time.Now()
		}
		for _, d := range distributors {
			go func() { _ = d.Run(ctx) }()
		}
		const changes = 3
		for i := range uint64(changes) {
			time.Sleep(5 * time.Second)
			_, err := committer.Commit(ctx, writerTable, i, newConfiguration(float64(i+1)), "ann")
			must.NoError(t, err)
		}
		time.Sleep(5 * time.Second)
		stop()
		synctest.Wait()
		must.Len(t, changes*dataCentres*instancesPerDataCentre, delays)
		lateCount, maxDelay := 0, time.Duration(0)
		for _, d := range delays {
			maxDelay = max(maxDelay, d)
			if d > 2*time.Second {
				lateCount++
			}
		}
		t.Logf("%d of %d after 2 s, at most %v, %d reads in 20 s", lateCount, len(delays), maxDelay, reads.Load())
		must.LessEq(t, len(delays)/100, lateCount)
		must.LessEq(t, 7*time.Second, maxDelay)
		must.LessEq(t, 100*20, reads.Load())
	})
}

// Guards against a process that knows it is behind but waits for lost replies one after another: with one pull in flight
// at a time, four lost replies of 1.5 s each delay a revision beyond 7 s.
func TestLostPulls(t *testing.T) {
	const lostReplies = 4
	synctest.Test(t, func(t *testing.T) {
		newer := distributor.New(distributor.WithSelf("a"))
		must.True(t, newer.Apply(distributor.Update{Revision: 1}))
		pulls := atomic.Int64{}
		startedAt, appliedAfter := time.Now(), time.Duration(0)
		d := distributor.New(distributor.WithSelf("b"), distributor.WithRand(rand.New(rand.NewPCG(1, 2))),
			distributor.WithMembers(func() []identifier.Instance { return []identifier.Instance{"a", "b"} }),
			distributor.WithPull(func(ctx context.Context, _ identifier.Instance, r uint64) (distributor.Update, error) {
				if pulls.Add(1) <= lostReplies {
					<-ctx.Done()
					return distributor.Update{}, ctx.Err()
				}
				return newer.Since(r), nil
			}),
			distributor.WithOnChange(func(*configurer.Configuration) { appliedAfter = time.Since(startedAt) }))
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = d.Run(ctx) }()
		for range 10 {
			d.ObserveRevision("a", 1)
			time.Sleep(time.Second)
		}
		stop()
		synctest.Wait()
		t.Logf("in force after %v with %d lost pulls", appliedAfter, lostReplies)
		must.Positive(t, appliedAfter)
		must.LessEq(t, 7*time.Second, appliedAfter)
	})
}
