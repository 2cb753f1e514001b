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
	table   *platformfaker.Table
	objects *platformfaker.Objects
	t       *storer.Table
	o       *storer.Objects
}

func newPlatform() *platform {
	p := &platform{table: platformfaker.NewTable(), objects: platformfaker.NewObjects()}
	a := netip.MustParseAddrPort("127.0.0.1:1")
	p.t = storer.New(a, storer.WithDo(platformfaker.RoundTripFunc(p.table)))
	p.o = storer.NewObjects(a, storer.WithDo(platformfaker.RoundTripFunc(p.objects)))
	return p
}

func (p *platform) sinks() []biller.Sink {
	return []biller.Sink{biller.TableSink(p.t), biller.ObjectSink(p.o)}
}

func (p *platform) read(t *testing.T) []biller.Bill {
	list, err := biller.Read(t.Context(), p.t, p.o, p.objects.Keys())
	must.NoError(t, err)
	return list
}

// Guards against a union that depends on the order of batches or adds up two records of one request.
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

// Guards against bills lost in an outage of the table, of both stores, or with a lost reply, and against doubles.
func TestOutages(t *testing.T) {
	var healed atomic.Bool
	faulty := func(*http.Request) bool { return !healed.Load() }
	for _, c := range []struct {
		name           string
		table, objects platformfaker.Faults
	}{
		{"table out", platformfaker.Faults{Unavailable: faulty}, platformfaker.Faults{}},
		{"both out", platformfaker.Faults{Unavailable: faulty}, platformfaker.Faults{Unavailable: faulty}},
		{"replies lost", platformfaker.Faults{LoseReply: faulty}, platformfaker.Faults{LoseReply: faulty}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				healed.Store(false)
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
				healed.Store(true)
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

// Guards against unbounded memory in a long outage, and against bills that a graceful end leaves behind.
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

// Guards against the loss of a bill while one of its two holders lives, and against a stale report that drops more than
// what became durable.
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
		// The entry dies; the agent flushes by itself after its window.
		go func() { _ = agent.Run(t.Context()) }()
		time.Sleep(10 * time.Second)
		list := p.read(t)
		must.Len(t, 2, list)
		must.Eq(t, 7, list[0].Amount)
	})
}

// Guards against two records of each run that ends within seconds, and against a run in progress that is never written.
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
	run := func(naive bool) int {
		var mu sync.Mutex
		perSecond, most := map[int64]int{}, 0
		synctest.Test(t, func(t *testing.T) {
			began, back := time.Now(), 5*time.Minute
			ctx, stop := context.WithCancel(t.Context())
			sink := biller.Sink{Write: func(context.Context, string, []byte) error {
				if time.Since(began) < back {
					return errors.New("out")
				}
				mu.Lock()
				defer mu.Unlock()
				perSecond[int64(time.Since(began)/time.Second)]++
				return nil
			}}
			sleep := storer.Sleep
			if naive {
				sleep = func(ctx context.Context, _ time.Duration) error { return storer.Sleep(ctx, 15*time.Second) }
			}
			for i := range 330 {
				b := biller.New("e", []biller.Sink{sink}, biller.WithSleep(sleep), biller.WithRand(rand.New(rand.NewPCG(1, uint64(i)))))
				must.NoError(t, b.Record(bill("x", 1, true)))
				go func() { _ = b.Run(ctx) }()
			}
			time.Sleep(back + time.Minute)
			stop()
			synctest.Wait()
		})
		for _, n := range perSecond {
			most = max(most, n)
		}
		return most
	}
	// 330 writers over at least 15 s are 22 a second; the table sustains several hundred.
	jittered, fixed := run(false), run(true)
	t.Logf("most of 330 writers in one second: %d with jitter, %d without", jittered, fixed)
	must.LessEq(t, 66, jittered)
	must.Eq(t, 330, fixed)
}
