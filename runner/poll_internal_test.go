package runner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a change that takes effect too late because the store answers a call for changes only at the end of its wait.
func TestPollTimeLeavesTimeForChange(t *testing.T) {
	for _, x := range []struct{ contact, within, want time.Duration }{
		{3 * time.Second, 2 * time.Second, time.Second},
		{4 * time.Second, 3 * time.Second, 1500 * time.Millisecond},
		{2 * time.Second, 7 * time.Second, time.Second},
		{time.Second, 500 * time.Millisecond, minReadWait},
	} {
		s := Settings{ReconnectTime: x.contact}
		must.EqOp(t, x.want, s.pollTime(x.within))
	}
	s := DefaultSettings()
	r := New(s, Platform{FollowOperator: func(wait time.Duration, _ *slog.Logger, _ OperatorEvents) Follower {
		must.Less(t, s.ApplyTime, wait)
		return Follower{Counters: func() map[string]int64 { return nil }}
	}, Counters: func() map[string]int64 { return nil }}, slog.New(slog.DiscardHandler))
	must.Less(t, s.LeaveTime, r.upstreams.MaxWait)
}
