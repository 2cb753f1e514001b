package throttler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against requests in a pause, against pauses without end, and against limits or pauses that end each other.
func TestPause(t *testing.T) {
	f := newFixture()
	must.True(t, f.Take(u1))
	f.Pause(u1, f.now.Add(2*time.Second))
	must.False(t, f.Take(u1))
	must.True(t, f.IsPaused(u1))
	must.True(t, f.Take("other"))
	must.Eq(t, []identifier.Upstream{u1}, f.AppendClosed(nil))
	f.now = f.now.Add(1900 * time.Millisecond)
	must.False(t, f.Take(u1))
	f.Pause(u1, f.now.Add(10*time.Millisecond))
	must.False(t, f.Take(u1))
	f.now = f.now.Add(600 * time.Millisecond)
	must.True(t, f.Take(u1))
	must.False(t, f.IsPaused(u1))
	f.Sweep()
	must.SliceEmpty(t, f.AppendClosed(nil))

	f.Pause(u1, f.now.Add(-time.Second))
	must.True(t, f.Take(u1))
	f.Pause(u1, f.now.Add(1000*time.Hour))
	f.now = f.now.Add(time.Hour + 3*time.Second)
	must.True(t, f.Take(u1))

	f.Observe(u1, 10)
	f.Pause(u1, f.now.Add(time.Second))
	must.EqOp(t, 0, f.sent(time.Second, 10*time.Millisecond))
	must.Between(t, 5, f.sent(2*time.Second, 10*time.Millisecond), 21)
}

// Guards against requests in the later part of a pause of several minutes (issue 26).
func TestLongPauseIsKept(t *testing.T) {
	f := newFixture()
	end := f.now.Add(5 * time.Minute)
	f.Pause(u1, end)
	for ; f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		f.Sweep()
		must.False(t, f.Take(u1), must.Sprint(end.Sub(f.now)))
	}
	f.now = f.now.Add(3 * time.Second)
	must.True(t, f.Take(u1))
}

// Guards against a crowd at the end of a pause, and against an end that is told although one upstream does not pause.
func TestPauseEnds(t *testing.T) {
	ends := map[time.Time]bool{}
	for range 20 {
		f := newFixture()
		f.Pause(u1, f.now.Add(2*time.Second))
		f.Pause("u2", f.now.Add(5*time.Second))
		end := f.PauseEnd([]identifier.Upstream{u1, "u2"})
		must.Between(t, 2*time.Second, end.Sub(f.now), 2400*time.Millisecond)
		must.True(t, f.PauseEnd([]identifier.Upstream{u1, "u3"}).IsZero())
		ends[end] = true
	}
	must.Greater(t, 15, len(ends))
}

// Guards against an upstream that shuts itself out for an hour although it serves, and against trials that do not keep the pauses that
// upstreams in need ask for: at most two requests come in one (issue 20).
func TestTrialOfPause(t *testing.T) {
	f := newFixture()
	f.Pause(u1, f.now.Add(30*time.Second))
	for range 350 {
		must.False(t, f.TakeTrial(u1))
		f.now = f.now.Add(100 * time.Millisecond)
	}
	f.Sweep()
	must.False(t, f.TakeTrial(u1))
	must.False(t, f.Served(u1))

	trials, began := []time.Duration{}, f.now
	f.Pause(u1, f.now.Add(time.Hour))
	must.EqOp(t, time.Minute, f.PauseEnd([]identifier.Upstream{u1}).Sub(f.now))
	for f.now.Sub(began) < time.Hour {
		if f.TakeTrial(u1) {
			trials = append(trials, f.now.Sub(began))
			// It asks again.
			f.Pause(u1, f.now.Add(10*time.Second))
		}
		must.False(t, f.Take(u1))
		f.now = f.now.Add(time.Second)
	}
	must.Eq(t, []time.Duration{time.Minute, 10 * time.Minute}, trials)

	f.now = f.now.Add(time.Minute)
	f.Sweep()
	f.Pause(u1, f.now.Add(time.Hour))
	must.False(t, f.Served(u1))
	must.False(t, f.Take(u1))
	f.now = f.now.Add(time.Minute)
	must.True(t, f.TakeTrial(u1))
	must.False(t, f.TakeTrial(u1))
	must.True(t, f.Served(u1))
	must.True(t, f.Take(u1))
	must.SliceEmpty(t, f.AppendClosed(nil))
}
