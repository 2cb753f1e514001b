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

// Guards against a stuck engine that is not noticed, and against the verdict for engines that are only slow, overloaded,
// idle, or called with short deadlines or by slow readers.
func TestProgress(t *testing.T) {
	const second = time.Second
	// tokens lets n runs wait at the same time, with a token after each gap.
	tokens := func(p *agentserver.Progress, now time.Time, n int, gaps ...time.Duration) time.Time {
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
		name    string
		stalled bool
		drive   func(p *agentserver.Progress, now time.Time) time.Time
	}{
		{"stuck from its first run", true, func(p *agentserver.Progress, now time.Time) time.Time {
			return tokens(p, now, 1).Add(2100 * time.Millisecond)
		}},
		{"stuck after tokens", true, func(p *agentserver.Progress, now time.Time) time.Time {
			return tokens(p, now, 8, 40*time.Millisecond, 40*time.Millisecond).Add(2100 * time.Millisecond)
		}},
		{"stuck, requests ended at their deadlines", true, func(p *agentserver.Progress, now time.Time) time.Time {
			w := p.BeginWait(now)
			p.EndWait(w, now.Add(5*second))
			return now.Add(time.Hour)
		}},
		{"slow but alive", false, func(p *agentserver.Progress, now time.Time) time.Time {
			return tokens(p, now, 1, 1900*time.Millisecond, 1900*time.Millisecond).Add(7 * second)
		}},
		{"many waits of which each is long", false, func(p *agentserver.Progress, now time.Time) time.Time {
			gaps := make([]time.Duration, 300)
			for i := range gaps {
				gaps[i] = 100 * time.Millisecond
			}
			return tokens(p, now, 200, gaps...)
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
			former := p.BeginWait(now)
			for range 30 {
				now = now.Add(500 * time.Millisecond)
				next := p.BeginWait(now)
				p.EndWait(former, now.Add(400*time.Millisecond))
				former = next
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
			must.Eq(t, tc.stalled, p.Stalled(tc.drive(&p, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))))
		})
	}
}

// Guards against a stuck engine that goes on taking orders, against one that never returns although it works again, and
// against trials of a working engine.
func TestStuckEngine(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		var stuck atomic.Bool
		b.engine.Stall = func(identifier.Request, int) bool { return stuck.Load() }
		target := order("").Target
		go func() { _ = b.agent.RunProbes(t.Context(), func() (identifier.Target, bool) { return target, true }) }()
		f, _ := finish(t, b.open(t, order("r-1")))
		must.Eq(t, streamer.KindDone, f.Kind)
		must.False(t, f.Load.Stalled)
		stuck.Store(true)
		o := order("r-2")
		o.Deadline = time.Now().Add(4 * time.Second)
		s := b.open(t, o)
		time.Sleep(3 * time.Second)
		must.True(t, b.agent.CurrentLoad().Stalled)
		bound := order("r-3")
		bound.StartDeadline = time.Now().Add(time.Second)
		f, _ = finish(t, b.open(t, bound))
		must.Eq(t, streamer.CodeBusy, f.Code)
		must.Eq(t, streamer.OutcomeNotRun, f.Outcome)
		must.True(t, f.Load.Stalled)
		f, _ = finish(t, s)
		must.Eq(t, "deadline-passed", f.Code)
		time.Sleep(20 * time.Second)
		must.True(t, b.agent.CurrentLoad().Stalled)
		must.Positive(t, b.agent.Counters()["trials-failed"])
		stuck.Store(false)
		time.Sleep(11 * time.Second)
		must.False(t, b.agent.CurrentLoad().Stalled)
		trials := b.agent.Counters()["trials"]
		bound.Request, bound.StartDeadline = "r-4", time.Now().Add(time.Second)
		f, _ = finish(t, b.open(t, bound))
		must.Eq(t, streamer.KindDone, f.Kind)
		time.Sleep(20 * time.Second)
		must.Eq(t, trials, b.agent.Counters()["trials"])
	})
}

// Guards against the verdict for an engine whose only run waits for its reader.
func TestSlowReaderIsNoStall(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		b.engine.Interval, b.engine.Tokens = time.Millisecond, 30_000
		b.engine.Text = func([]byte, int) string { return "a token of some length" }
		o := order("r-1")
		o.MaxTokens = 30_000
		s := b.open(t, o)
		defer s.Close()
		// The agent gives up a reader that takes nothing for longer.
		for range 10 {
			time.Sleep(time.Second)
			must.False(t, b.agent.CurrentLoad().Stalled)
		}
		must.Eq(t, 1, b.agent.State().(agentserver.State).Active)
		must.Eq(t, streamer.OutcomeRun, s.Cancel(t.Context()))
	})
}

// Guards against a time between tokens that counts idle time or readers, that old tokens decide, or that is known without
// tokens.
func TestStep(t *testing.T) {
	var p agentserver.Progress
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	run := func(tokens int, gap time.Duration) {
		for range tokens / 2 {
			w := p.BeginWait(now)
			now = now.Add(gap)
			p.RecordToken(w, now)
			// The next one came along with it while the reader took its time.
			now = now.Add(time.Second)
			p.RecordToken(0, now)
		}
	}
	must.Zero(t, p.TokenInterval(now))
	run(60, 80*time.Millisecond)
	must.Zero(t, p.TokenInterval(now))
	run(600, 80*time.Millisecond)
	must.Eq(t, 40*time.Millisecond, p.TokenInterval(now))
	must.Zero(t, p.TokenInterval(now.Add(time.Minute)))
	run(6000, 160*time.Millisecond)
	must.Between(t, 79*time.Millisecond, p.TokenInterval(now), 80*time.Millisecond)
}
