package runner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/registrar"
)

// Guards against a change that takes effect too late because the store answers a call for changes only at the end of its wait, also with
// settings that are changed while the entry runs.
func TestPaceLeavesTimeForChange(t *testing.T) {
	s := DefaultSettings()
	s.ReconnectTime, s.LeaveTime, s.ApplyTime = 3*time.Second, 2*time.Second, 2500*time.Millisecond
	var operatorPace func() pacer.Pace
	r := New(s, Platform{FollowOperator: func(pace func() pacer.Pace, _ *slog.Logger, _ OperatorEvents) Follower {
		operatorPace = pace
		return Follower{Counters: func() map[string]int64 { return nil }}
	}, Counters: func() map[string]int64 { return nil }}, slog.New(slog.DiscardHandler))
	must.EqOp(t, pacer.Pace{Wait: time.Second, Pause: 500 * time.Millisecond}, r.upstreams.Pace())
	must.EqOp(t, pacer.Pace{Wait: 1500 * time.Millisecond, Pause: 750 * time.Millisecond}, operatorPace())
	s.ReconnectTime = 2 * time.Second
	r.settings.Store(&s)
	must.EqOp(t, pacer.Pace{Wait: time.Second, Pause: 500 * time.Millisecond}, operatorPace())
}

// Guards against an order to evacuate a data centre that takes effect too late because the pace of the table keeps only the bound of
// configurations.
func TestPaceKeepsEvacuateTime(t *testing.T) {
	s := DefaultSettings()
	s.ReconnectTime, s.ApplyTime, s.EvacuateTime = 5*time.Second, 4*time.Second, 2500*time.Millisecond
	var operatorPace func() pacer.Pace
	New(s, Platform{FollowOperator: func(pace func() pacer.Pace, _ *slog.Logger, _ OperatorEvents) Follower {
		operatorPace = pace
		return Follower{Counters: func() map[string]int64 { return nil }}
	}, Counters: func() map[string]int64 { return nil }}, slog.New(slog.DiscardHandler))
	must.EqOp(t, pacer.Pace{Wait: 1500 * time.Millisecond, Pause: 750 * time.Millisecond}, operatorPace())
}

// Guards against upstreams that register again after an outage and are dropped because their registrations are read too late.
func TestPaceAfterOutage(t *testing.T) {
	s := DefaultSettings()
	s.ReconnectTime, s.LeaveTime = 5*time.Second, 4*time.Second
	r := New(s, Platform{FollowOperator: func(func() pacer.Pace, *slog.Logger, OperatorEvents) Follower {
		return Follower{Counters: func() map[string]int64 { return nil }}
	}, Counters: func() map[string]int64 { return nil }}, slog.New(slog.DiscardHandler))
	now := time.Unix(1000, 0)
	r.registrar.Now = func() time.Time { return now }
	must.EqOp(t, 1500*time.Millisecond, r.upstreams.Pace().Pause)
	r.registrar.MarkStoreUnavailable()
	must.EqOp(t, pacer.MinPause, r.upstreams.Pace().Pause)
	r.registrar.Apply([]registrar.Change{}, true)
	must.EqOp(t, pacer.MinPause, r.upstreams.Pace().Pause)
	now = now.Add(3 * time.Second)
	must.EqOp(t, 1500*time.Millisecond, r.upstreams.Pace().Pause)
}
