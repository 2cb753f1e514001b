package runner

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// Guards against entries that call each other although the setting is absent, or that have no address to be called at.
func TestSharedTalliesNeedSettings(t *testing.T) {
	must.False(t, DefaultSettings().SharedTallies)
	for name, x := range map[string]struct {
		change func(*Settings)
		want   bool
	}{
		"both":                 {func(*Settings) {}, true},
		"without peer address": {func(s *Settings) { s.PeerAddress = netip.AddrPort{} }, false},
		"without the setting":  {func(s *Settings) { s.SharedTallies = false }, false},
	} {
		r, _ := newConfirmingRunner(func(s *Settings) {
			s.SharedTallies = true
			x.change(s)
		})
		must.EqOp(t, x.want, r.rollouts.tallies != nil, must.Sprint(name))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		must.NoError(t, r.collectTallies(ctx))
	}
}

// callOf returns an encoded call of an entry on an order.
func callOf(o promoter.RolloutOrder, needsStatus bool) []byte {
	b, err := json.Marshal(collector.Call{
		Order:       collector.Order{Service: o.Service, To: o.To, Number: o.At.Version, Era: o.At.Era},
		Tally:       promoter.Tally{Entry: "x", To: o.To, Number: o.At.Version, Exposure: 1},
		NeedsStatus: needsStatus,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Guards against calls that are held, or cost calls of the store, although their answer is known; against calls of entries that saw an order
// first that are refused at once; and against calls that are taken on another order, of another era or before the entry is ready.
func TestCallsWithoutStep(t *testing.T) {
	runFleet(t, 1, true, func(ctx context.Context, t *testing.T, f *tallyFleet) {
		e, from, o := f.entries[0], netip.MustParseAddrPort("127.0.0.1:1"), fleetOrder()
		hold := func(o promoter.RolloutOrder, needsStatus bool) (collector.Answer, time.Duration, error) {
			began := time.Now()
			b, err := e.hold(ctx, from, callOf(o, needsStatus))
			if err != nil {
				return collector.Answer{}, time.Since(began), err
			}
			a, err := collector.ParseAnswer(b, collector.Order{Service: o.Service, To: o.To, Number: o.At.Version, Era: o.At.Era})
			return a, time.Since(began), err
		}
		go func() {
			time.Sleep(300 * time.Millisecond)
			e.addOrder(o, false)
		}()
		_, waited, err := hold(o, true)
		must.NoError(t, err)
		must.Between(t, 300*time.Millisecond, waited, time.Second)
		before := f.store.numCalls()
		a, waited, err := hold(o, true)
		must.NoError(t, err)
		must.True(t, a.StatusRead && a.Sum == nil && a.Verdict == nil)
		must.EqOp(t, 0, waited)
		must.EqOp(t, before, f.store.numCalls())

		later, earlier, otherEra := o, o, o
		later.At.Version++
		earlier.At.Version--
		otherEra.At.Era++
		for name, x := range map[string]struct {
			order  promoter.RolloutOrder
			waited time.Duration
		}{"later order": {later, orderWait}, "earlier order": {earlier, 0}, "later era": {otherEra, orderWait}} {
			_, waited, err := hold(x.order, false)
			must.Error(t, err, must.Sprint(name))
			must.EqOp(t, x.waited, waited, must.Sprint(name))
		}
		e.ready.Store(false)
		_, _, err = hold(o, false)
		must.ErrorContains(t, err, errNotCollecting.Error())
		e.ready.Store(true)

		a, _, err = hold(o, false)
		must.NoError(t, err)
		must.NotNil(t, a.Sum)
		e.mu.Lock()
		x := e.services["s"]
		e.mu.Unlock()
		e.setVerdict(x, promoter.Verdict{To: o.To, Era: 1, State: promoter.TimedRolloutRolledBack}, true)
		before = f.store.numCalls()
		a, waited, err = hold(o, false)
		must.NoError(t, err)
		must.True(t, a.Verdict != nil && a.StatusWritten)
		must.EqOp(t, 0, waited)
		time.Sleep(5 * time.Second)
		must.EqOp(t, before, f.store.numCalls())
		must.EqOp(t, 4, e.tallies.callsRefused.Load())
	})
}

// answering returns the roll-outs of an entry whose collector answers what a function says, and the order.
func answering(t *testing.T, answer func(context.Context, collector.Call) collector.Answer) (*tallyFleet, *fleetEntry) {
	t.Helper()
	f := newTallyFleet(t.Context(), 2, true)
	e := f.entries[0]
	if name := collector.Candidates("e0", []identifier.Instance{"e1"}, collector.Order{Service: "s", To: "v2"})[0]; name == "e0" {
		e = f.entries[1]
	}
	e.tallies.call = func(ctx context.Context, _ netip.AddrPort, c collector.Call) ([]byte, error) {
		return json.Marshal(answer(ctx, c))
	}
	e.addOrder(fleetOrder(), false)
	return f, e
}

// Guards against an entry that acts on an answer of another era or on one that came after its call had ended, and against one that does not
// decide by itself then.
func TestAnswersThatDoNotCount(t *testing.T) {
	verdict := func(c collector.Call) *promoter.Verdict {
		return &promoter.Verdict{To: c.Order.To, Number: c.Order.Number, Era: c.Order.Era, State: promoter.TimedRolloutSucceeded}
	}
	for name, x := range map[string]struct {
		answer   func(context.Context, collector.Call) collector.Answer
		ownSteps bool
	}{
		"another era": {func(_ context.Context, c collector.Call) collector.Answer {
			return collector.Answer{Era: c.Order.Era + 1, ClockMillis: 9000, StatusRead: true, Verdict: verdict(c), NextMillis: 500}
		}, false},
		"late": {func(ctx context.Context, c collector.Call) collector.Answer {
			<-ctx.Done()
			return collector.Answer{Era: c.Order.Era, ClockMillis: 9000, StatusRead: true, Verdict: verdict(c), NextMillis: 500}
		}, true},
		"invalid": {func(_ context.Context, c collector.Call) collector.Answer {
			return collector.Answer{Era: c.Order.Era, ClockMillis: 9000, StatusRead: true, Verdict: &promoter.Verdict{To: "v9"}, NextMillis: 500}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, e := answering(t, x.answer)
				defer func() {
					for _, other := range f.entries {
						other.stop()
					}
					time.Sleep(20 * time.Second)
				}()
				time.Sleep(4 * time.Second)
				e.mu.Lock()
				state, known := e.services["s"].verdict.State, e.services["s"].statusKnown
				e.mu.Unlock()
				must.EqOp(t, "", string(state))
				must.EqOp(t, x.ownSteps, known)
				must.EqOp(t, x.ownSteps, e.tallies.ownSteps.Load() > 0)
				must.EqOp(t, 0, e.tallies.collectedSteps.Load())
			})
		})
	}
}

// Guards against a roll-out that ends late because its collector started a moment ago and may not decide yet.
func TestUnsettledCollector(t *testing.T) {
	runFleet(t, 3, true, func(ctx context.Context, t *testing.T, f *tallyFleet) {
		go func() {
			time.Sleep(5500 * time.Millisecond)
			c := f.collectorOf(t)
			c.mu.Lock()
			c.services["s"].settledAt = time.Now().Add(time.Hour)
			c.mu.Unlock()
		}()
		s := play(ctx, t, f, 6*time.Second)
		must.EqOp(t, "rolled-back", s.state)
		must.Less(t, 10*time.Second, s.ended)
	})
}

// Guards against an answer that is larger than a message may be and closes the connection with all other calls.
func TestLargeAnswerIsAnError(t *testing.T) {
	sum := promoter.Tally{HeldSessions: make([]uint64, 300_000)}
	for i := range sum.HeldSessions {
		sum.HeldSessions[i] = 1<<63 + uint64(i)
	}
	must.ErrorIs(t, encode(collector.Answer{Sum: &sum}).Err, messenger.ErrTooLarge)
	must.NoError(t, encode(collector.Answer{}).Err)
}

// Guards against a listener that ends the process or is not tried again when its address is in use, and against refusals that are logged
// without bound.
func TestCollectorListener(t *testing.T) {
	s := &tallySharing{log: slog.New(slog.DiscardHandler), loggedPeers: map[netip.Addr]bool{}}
	for i := range 2 * maxLoggedPeers {
		must.Error(t, s.refuse(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1), storer.ErrRefused))
	}
	must.MapLen(t, maxLoggedPeers, s.loggedPeers)
	must.EqOp(t, 2*maxLoggedPeers, s.callsRefused.Load())
	r := newRollouts(&rolloutTable{}, "a")
	r.tallies = s
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	must.NoError(t, r.listen(ctx, netip.MustParseAddrPort("192.0.2.1:1")))
}
