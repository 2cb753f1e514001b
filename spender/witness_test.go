package spender_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/spender"
)

// Guards against a share that stays lost after its holder died, that is freed too early or by a restarted witness, that a paused
// holder goes on spending after it was closed, or whose rest a paused holder does not return.
func TestRecovery(t *testing.T) {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5, HardLimit: 10}}
	for name, c := range map[string]struct {
		elapsed                      time.Duration
		restartWitness, resumeHolder bool
		want                         float64
	}{
		"holder dead":       {elapsed: 55 * time.Second, want: 0.20005},
		"not yet due":       {elapsed: 45 * time.Second, want: 0.8},
		"witness restarted": {elapsed: 55 * time.Second, restartWitness: true, want: 0.8},
		"paused holder":     {elapsed: 55 * time.Second, resumeHolder: true, want: 0.125},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			table := &fakeTable{rows: map[string]fakeRow{}, nextFault: func() string { return "ok" }}
			clock := func() time.Time { return now }
			var w *spender.Witness
			newEntry := func() (*spender.Spender, *spender.Witness) {
				return spender.NewWithWitness(func() *configurer.Configuration { return cfg },
					table.access("dc-1", func() bool { return false }), "dc-1", centres[:1],
					spender.Witnesses{
						Pick:        func() identifier.Instance { return "w" },
						SendCeiling: func(_ identifier.Instance, c spender.Ceiling) error { return w.Accept(c) },
					}, []spender.LedgerOption{spender.WithLedgerNow(clock)}, spender.WithNow(clock), spender.WithMinShare(0.8))
			}
			_, w = newEntry()
			holder, _ := newEntry()
			must.NoError(t, holder.Step(t.Context()))
			r, err := holder.Reserve(0.2)
			must.NoError(t, err)
			if c.restartWitness {
				_, w = newEntry()
			}
			now = start.Add(c.elapsed)
			must.NoError(t, w.Step(t.Context()))
			if c.resumeHolder {
				// The holder's clock is set back, as if its process was paused between checking the deadline and using the share.
				now = start
				_, err = holder.Reserve(0.3)
				must.ErrorIs(t, err, spender.ErrHardLimit)
				now = start.Add(c.elapsed)
				r.Settle(0.125)
				must.NoError(t, holder.Close(t.Context()))
			}
			var row spender.Row
			for _, x := range table.rows {
				must.NoError(t, json.Unmarshal(x.value, &row))
			}
			got := row.Spent
			for _, l := range row.Leases {
				got += l.Amount
			}
			must.InDelta(t, c.want, got, 1e-9)
		})
	}
}

// Guards against a request that is refused because the witness of the share became unreachable before the ceiling was used up:
// the rest of the ceiling must last until a share with another witness is available.
func TestWitnessGone(t *testing.T) {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5e5, HardLimit: 1e6}}
	now := start
	table := &fakeTable{rows: map[string]fakeRow{}, nextFault: func() string { return "ok" }}
	clock := func() time.Time { return now }
	unreachable, sent := false, 0
	s, _ := spender.NewWithWitness(func() *configurer.Configuration { return cfg },
		table.access("dc-1", func() bool { return false }), "dc-1", centres[:1],
		spender.Witnesses{
			Pick: func() identifier.Instance {
				if unreachable {
					return "w2"
				}
				return "w1"
			},
			SendCeiling: func(name identifier.Instance, _ spender.Ceiling) error {
				sent++
				if unreachable && name == "w1" {
					return errors.New("no answer")
				}
				return nil
			},
		}, []spender.LedgerOption{spender.WithLedgerNow(clock)}, spender.WithNow(clock), spender.WithMinShare(100))
	must.NoError(t, s.Step(t.Context()))
	for i := range 60 {
		unreachable = i >= 30
		r, err := s.Reserve(1)
		must.NoError(t, err, must.Sprint(i))
		r.Settle(1)
		now = now.Add(100 * time.Millisecond)
		must.NoError(t, s.Step(t.Context()), must.Sprint(i))
	}
	// The headroom covers five requests, and the next message is sent when half of it is used.
	must.Between(t, 60/5, sent, 60/2+2)
}
