package runner

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/prober"
	"github.com/siskinfront/siskinfront/storer"
)

// Guards against followers that share a probe although the setting is absent, and against one that does not share it.
func TestSingleStoreProbeNeedsSetting(t *testing.T) {
	for _, want := range []bool{false, true} {
		s := DefaultSettings()
		must.False(t, s.SingleStoreProbe)
		s.Instance, s.SingleStoreProbe = "e1", want
		operator := false
		noCounters := func() map[string]int64 { return nil }
		r := New(s, Platform{FollowOperator: func(func() pacer.Pace, *slog.Logger, OperatorEvents) Follower {
			return Follower{Counters: noCounters, SetProbe: func(*prober.Member) { operator = true }}
		}, Counters: noCounters}, slog.New(slog.DiscardHandler))
		must.EqOp(t, want, r.upstreams.Probe != nil)
		must.EqOp(t, want, r.sharing.follower.Probe != nil)
		must.EqOp(t, want, operator)
		must.EqOp(t, want, r.rollouts.isStoreOut != nil)
		if want {
			must.SliceLen(t, followedTables, r.storeProbe.State().Members)
		} else {
			must.SliceEmpty(t, r.storeProbe.State().Members)
		}
	}
}

// Guards against steps of roll-outs whose calls fail while the store is out, against a version that is not stopped on the entry's own evidence
// meanwhile, and against steps that begin late after the store's return.
func TestStepsAreWithheldWhileStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		group := prober.New()
		m := group.Join("upstreams")
		m.Succeeded()
		table, calls := &rolloutTable{at: storer.Position{Era: 1, Version: 95}}, &rolloutCalls{}
		r := newRollouts(table, "a")
		r.store = calls.count(r.store)
		r.isStoreOut = func() bool { return group.Withhold(tallyInterval) }
		r.ready.Store(true)
		go func() { _ = r.run(ctx) }()
		o := orderAt(1, 95)
		o.Duration = time.Minute
		r.addOrder(o, false)
		time.Sleep(5 * time.Second)
		must.Positive(t, calls.tallyWrites.Load())

		m.Failed()
		time.Sleep(2 * time.Second)
		written, reads := calls.tallyWrites.Load(), calls.recordReads.Load()
		time.Sleep(10 * time.Second)
		must.EqOp(t, written, calls.tallyWrites.Load())
		must.EqOp(t, reads, calls.recordReads.Load())
		must.Positive(t, group.Counters()["steps-withheld"])
		timed := r.services["s"].timed
		_, exposure := timed.Stage()
		must.Positive(t, exposure)
		for i := range uint64(400) {
			timed.AddAnswer(i, i%2 == 0, "route", i%2 == 0)
		}
		time.Sleep(time.Second)
		_, exposure = timed.Stage()
		must.EqOp(t, 0, exposure)

		m.Succeeded()
		time.Sleep(time.Second)
		must.Greater(t, written, calls.tallyWrites.Load())
		cancel()
		synctest.Wait()
	})
}
