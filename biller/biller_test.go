package biller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

func bill(id string, tokens int, final bool) biller.Bill {
	return biller.Bill{ID: id, Usage: streamer.Usage{CompletionTokens: tokens}, Amount: float64(tokens), Final: final}
}

type platform struct {
	table        *platformfaker.Table
	objects      *platformfaker.Objects
	tableClient  *storer.Table
	objectClient *storer.Objects
}

func newPlatform() *platform {
	p := &platform{table: platformfaker.NewTable(), objects: platformfaker.NewObjects()}
	a := netip.MustParseAddrPort("127.0.0.1:1")
	p.tableClient = storer.NewTable(a, storer.WithRoundTrip(platformfaker.RoundTripFunc(p.table)))
	p.objectClient = storer.NewObjects(a, storer.WithRoundTrip(platformfaker.RoundTripFunc(p.objects)))
	return p
}

func (p *platform) sinks() []biller.Sink {
	return []biller.Sink{biller.TableSink(p.tableClient), biller.ObjectSink(p.objectClient)}
}

func (p *platform) read(t *testing.T) []biller.Bill {
	list, err := biller.Read(t.Context(), p.tableClient, p.objectClient, p.objects.Keys())
	must.NoError(t, err)
	return list
}

// Guards against a union that depends on the order of batches, or that counts two records of one request.
func TestUnion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bills := rapid.SliceOf(rapid.Custom(func(rt *rapid.T) biller.Bill {
			return bill(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id"), rapid.IntRange(0, 3).Draw(rt, "tokens"),
				rapid.Bool().Draw(rt, "final"))
		})).Draw(rt, "bills")
		want := biller.Union(bills)
		shuffled := slices.Clone(bills)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)).Shuffle(len(bills), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		cut := len(bills) / 2
		must.Eq(rt, want, biller.Union(shuffled[:cut], shuffled[cut:], shuffled[:cut]))
		for _, w := range want {
			for _, b := range bills {
				if b.ID == w.ID && b.Final {
					must.True(rt, w.Final && w.Usage.CompletionTokens >= b.Usage.CompletionTokens)
				}
			}
		}
	})
}

// Guards against bills that are lost or duplicated by an outage of the table, an outage of both stores, or lost replies.
func TestOutages(t *testing.T) {
	var recovered atomic.Bool
	beforeRecovery := func(*http.Request) bool { return !recovered.Load() }
	for _, c := range []struct {
		name           string
		table, objects platformfaker.Faults
	}{
		{"table out", platformfaker.Faults{Unavailable: beforeRecovery}, platformfaker.Faults{}},
		{"both out", platformfaker.Faults{Unavailable: beforeRecovery}, platformfaker.Faults{Unavailable: beforeRecovery}},
		{"replies lost", platformfaker.Faults{LoseReply: beforeRecovery}, platformfaker.Faults{LoseReply: beforeRecovery}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recovered.Store(false)
				p := newPlatform()
				p.table.Faults, p.objects.Faults = c.table, c.objects
				b := biller.New("entry", p.sinks())
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- b.Run(ctx) }()
				for i := range 20 {
					must.NoError(t, b.Record(bill(fmt.Sprint(i), 1, false)))
					must.NoError(t, b.Record(bill(fmt.Sprint(i), 2, true)))
					time.Sleep(time.Second)
				}
				recovered.Store(true)
				// The longest backoff is 22.5 s.
				time.Sleep(30 * time.Second)
				list := p.read(t)
				must.Len(t, 20, list)
				for _, x := range list {
					must.Eq(t, 2, x.Amount)
				}
				must.Len(t, 0, b.Pending(9))
				stop()
				must.NoError(t, <-done)
			})
		})
	}
}

// Guards against unbounded memory in a long outage, and against bills that are not written at a graceful shutdown.
func TestMemoryBoundAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		b := biller.New("entry", p.sinks(), biller.WithMaxBytes(10_000))
		n := 0
		for ; n < 1000; n++ {
			if err := b.Record(bill(fmt.Sprint(n), 1, true)); err != nil {
				must.ErrorIs(t, err, biller.ErrFull)
				break
			}
		}
		must.Between(t, 10, n, 100)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		must.NoError(t, b.Run(ctx))
		must.Len(t, n, p.read(t))
		must.Len(t, n, <-b.Durable())
		must.NoError(t, b.Record(bill("next", 1, true)))
	})
}

// Guards against the loss of a bill while one of its two holders is alive, and against a late durability report that drops a bill
// which has changed since.
func TestTwoHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		agent := biller.New("agent", p.sinks(), biller.WithMinFlushAge(5*time.Second))
		entry := biller.New("entry", p.sinks())
		must.NoError(t, agent.Record(bill("a", 1, false)))
		must.NoError(t, agent.Record(bill("b", 1, true)))
		for _, x := range agent.Pending(9) {
			must.NoError(t, entry.Record(x))
		}
		must.NoError(t, entry.Flush(t.Context()))
		ids := <-entry.Durable()
		must.Eq(t, []string{"b"}, ids)
		agent.MarkDurable(append(ids, "a"))
		must.Len(t, 1, agent.Pending(9))
		must.NoError(t, agent.Record(bill("a", 7, true)))
		// The entry stops; the agent writes the bill itself once it has reached the minimum flush age.
		go func() { _ = agent.Run(t.Context()) }()
		time.Sleep(10 * time.Second)
		list := p.read(t)
		must.Len(t, 2, list)
		must.Eq(t, 7, list[0].Amount)
	})
}

// Guards against two records of each run that ends within seconds, and against a long run that is not recorded before it ends.
func TestPartialBillWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		entry := biller.New("entry", p.sinks())
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = entry.Run(ctx) }()
		must.NoError(t, entry.Record(bill("short", 1, false)))
		must.NoError(t, entry.Record(bill("long", 1, false)))
		time.Sleep(4 * time.Second)
		must.Len(t, 0, p.read(t))
		must.NoError(t, entry.Record(bill("short", 9, true)))
		time.Sleep(5 * time.Second)
		must.Len(t, 2, p.read(t))
		must.Eq(t, 2, entry.Counters()["bills-written"])
		stop()
		synctest.Wait()
	})
}

// Guards against all writers of a deployment flushing at the same moment after an outage.
func TestNoStampede(t *testing.T) {
	peakPerSecond := func(fixedDelay bool) int {
		var mu sync.Mutex
		perSecond, peak := map[int64]int{}, 0
		synctest.Test(t, func(t *testing.T) {
			startedAt, outage := time.Now(), 5*time.Minute
			ctx, stop := context.WithCancel(t.Context())
			sink := biller.Sink{Write: func(context.Context, string, []byte) error {
				if time.Since(startedAt) < outage {
					return errors.New("out")
				}
				mu.Lock()
				defer mu.Unlock()
				perSecond[int64(time.Since(startedAt)/time.Second)]++
				return nil
			}}
			sleep := storer.Sleep
			if fixedDelay {
				sleep = func(ctx context.Context, _ time.Duration) error { return storer.Sleep(ctx, 15*time.Second) }
			}
			for i := range 330 {
				b := biller.New("e", []biller.Sink{sink}, biller.WithSleep(sleep), biller.WithRand(rand.New(rand.NewPCG(1, uint64(i)))))
				must.NoError(t, b.Record(bill("x", 1, true)))
				go func() { _ = b.Run(ctx) }()
			}
			time.Sleep(outage + time.Minute)
			stop()
			synctest.Wait()
		})
		for _, n := range perSecond {
			peak = max(peak, n)
		}
		return peak
	}
	// 330 writers over at least 15 s are 22 a second; the table sustains several hundred.
	jittered, fixed := peakPerSecond(false), peakPerSecond(true)
	t.Logf("most of 330 writers in one second: %d with jitter, %d without", jittered, fixed)
	must.LessEq(t, 66, jittered)
	must.Eq(t, 330, fixed)
}
