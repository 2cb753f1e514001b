package agentserver_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against a stalled engine that is not detected, and against a false detection of engines that are only slow,
// overloaded or idle, or whose runs have short deadlines or slow readers.
func TestProgress(t *testing.T) {
	const second = time.Second
	// produceTokens lets n runs wait at the same time and records a token after each gap.
	produceTokens := func(p *agentserver.Progress, now time.Time, n int, gaps ...time.Duration) time.Time {
		waits := make([]uint64, n)
		for i := range waits {
			waits[i] = p.BeginWait(now)
		}
		for i, gap := range gaps {
			now = now.Add(gap)
			p.RecordToken(waits[i%n], now)
			waits[i%n] = p.BeginWait(now)
		}
		return now
	}
	for _, tc := range []struct {
		name     string
		stalled  bool
		simulate func(p *agentserver.Progress, now time.Time) time.Time
	}{
		{"stalled from its first run", true, func(p *agentserver.Progress, now time.Time) time.Time {
			return produceTokens(p, now, 1).Add(2100 * time.Millisecond)
		}},
		{"stalled after tokens", true, func(p *agentserver.Progress, now time.Time) time.Time {
			return produceTokens(p, now, 8, 40*time.Millisecond, 40*time.Millisecond).Add(2100 * time.Millisecond)
		}},
		{"stalled, requests ended at their deadlines", true, func(p *agentserver.Progress, now time.Time) time.Time {
			w := p.BeginWait(now)
			p.EndWait(w, now.Add(5*second))
			return now.Add(time.Hour)
		}},
		{"slow but working", false, func(p *agentserver.Progress, now time.Time) time.Time {
			return produceTokens(p, now, 1, 1900*time.Millisecond, 1900*time.Millisecond).Add(7 * second)
		}},
		{"many concurrent long waits", false, func(p *agentserver.Progress, now time.Time) time.Time {
			gaps := make([]time.Duration, 300)
			for i := range gaps {
				gaps[i] = 100 * time.Millisecond
			}
			return produceTokens(p, now, 200, gaps...)
		}},
		{"short deadlines without a token", false, func(p *agentserver.Progress, now time.Time) time.Time {
			for range 30 {
				w := p.BeginWait(now)
				now = now.Add(500 * time.Millisecond)
				next := p.BeginWait(now)
				now = now.Add(500 * time.Millisecond)
				p.EndWait(w, now)
				w = next
				p.EndWait(w, now)
			}
			return now
		}},
		{"short deadlines that overlap", false, func(p *agentserver.Progress, now time.Time) time.Time {
			previous := p.BeginWait(now)
			for range 30 {
				now = now.Add(500 * time.Millisecond)
				next := p.BeginWait(now)
				p.EndWait(previous, now.Add(400*time.Millisecond))
				previous = next
			}
			return now
		}},
		{"idle", false, func(p *agentserver.Progress, now time.Time) time.Time {
			p.RecordToken(p.BeginWait(now), now.Add(second))
			return now.Add(time.Hour)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p agentserver.Progress
			must.Eq(t, tc.stalled, p.Stalled(tc.simulate(&p, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))))
		})
	}
}

// Guards against a stalled engine that still gets orders with a start deadline, against an engine that stays marked as
// stalled although it works again, and against probes of a working engine.
func TestStalledEngine(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		var stalled atomic.Bool
		fx.engine.Stall = func(identifier.Request, int) bool { return stalled.Load() }
		target := order("").Target
		go func() { _ = fx.agent.RunProbes(t.Context(), func() (identifier.Target, bool) { return target, true }) }()
		f, _ := readToEnd(t, fx.open(t, order("r-1")))
		must.Eq(t, streamer.KindDone, f.Kind)
		must.False(t, f.Load.Stalled)
		stalled.Store(true)
		o := order("r-2")
		o.Deadline = time.Now().Add(4 * time.Second)
		s := fx.open(t, o)
		time.Sleep(3 * time.Second)
		must.True(t, fx.agent.CurrentLoad().Stalled)
		urgent := order("r-3")
		urgent.StartDeadline = time.Now().Add(time.Second)
		f, _ = readToEnd(t, fx.open(t, urgent))
		must.Eq(t, streamer.CodeBusy, f.Code)
		must.Eq(t, streamer.OutcomeNotRun, f.Outcome)
		must.True(t, f.Load.Stalled)
		f, _ = readToEnd(t, s)
		must.Eq(t, "deadline-passed", f.Code)
		time.Sleep(20 * time.Second)
		must.True(t, fx.agent.CurrentLoad().Stalled)
		must.Positive(t, fx.agent.Counters()["trials-failed"])
		stalled.Store(false)
		time.Sleep(11 * time.Second)
		must.False(t, fx.agent.CurrentLoad().Stalled)
		trials := fx.agent.Counters()["trials"]
		urgent.Request, urgent.StartDeadline = "r-4", time.Now().Add(time.Second)
		f, _ = readToEnd(t, fx.open(t, urgent))
		must.Eq(t, streamer.KindDone, f.Kind)
		time.Sleep(20 * time.Second)
		must.Eq(t, trials, fx.agent.Counters()["trials"])
	})
}

// Guards against an engine that counts as stalled although its only run waits for a slow reader.
func TestSlowReaderIsNoStall(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		fx.engine.Interval, fx.engine.Tokens = time.Millisecond, 30_000
		fx.engine.Text = func([]byte, int) string { return "a token of some length" }
		o := order("r-1")
		o.MaxTokens = 30_000
		s := fx.open(t, o)
		defer s.Close()
		// After a longer time, the agent would disconnect a reader that reads nothing.
		for range 10 {
			time.Sleep(time.Second)
			must.False(t, fx.agent.CurrentLoad().Stalled)
		}
		must.Eq(t, 1, fx.agent.State().(agentserver.State).Active)
		must.Eq(t, streamer.OutcomeRun, s.Cancel(t.Context()))
	})
}

// Guards against a mean token interval that includes idle time or time spent on slow readers, that old tokens dominate, or
// that is returned without enough recent tokens.
func TestTokenInterval(t *testing.T) {
	var p agentserver.Progress
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	recordTokens := func(tokens int, gap time.Duration) {
		for range tokens / 2 {
			w := p.BeginWait(now)
			now = now.Add(gap)
			p.RecordToken(w, now)
			// The next token arrived with this one, but is recorded later because the reader is slow.
			now = now.Add(time.Second)
			p.RecordToken(0, now)
		}
	}
	must.Zero(t, p.TokenInterval(now))
	recordTokens(60, 80*time.Millisecond)
	must.Zero(t, p.TokenInterval(now))
	recordTokens(600, 80*time.Millisecond)
	must.Eq(t, 40*time.Millisecond, p.TokenInterval(now))
	must.Zero(t, p.TokenInterval(now.Add(time.Minute)))
	recordTokens(6000, 160*time.Millisecond)
	must.Between(t, 79*time.Millisecond, p.TokenInterval(now), 80*time.Millisecond)
}
