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

// Guards against a share of a dead holder that stays lost, one that is freed too early or while its witness forgot it, a holder
// that spends more of a closed share after a pause, and one that does not return what it had left of it.
func TestRecovery(t *testing.T) {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5, HardLimit: 10}}
	for name, c := range map[string]struct {
		age             time.Duration
		restart, resume bool
		want            float64
	}{
		"holder dead":    {age: 55 * time.Second, want: 0.20005},
		"within window":  {age: 45 * time.Second, want: 0.8},
		"witness forgot": {age: 55 * time.Second, restart: true, want: 0.8},
		"paused holder":  {age: 55 * time.Second, resume: true, want: 0.125},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			table := &fakeTable{rows: map[string]fakeRow{}, mode: func() string { return "ok" }}
			clock := func() time.Time { return now }
			var w *spender.Witness
			boot := func() (*spender.Spender, *spender.Witness) {
				return spender.NewWitnessed(func() *configurer.Configuration { return cfg },
					table.table("dc-1", func() bool { return false }), "dc-1", centres[:1],
					spender.Witnesses{
						Pick:        func() identifier.Instance { return "w" },
						SendCeiling: func(_ identifier.Instance, c spender.Ceiling) error { return w.Accept(c) },
					}, []spender.LedgerOption{spender.WithLedgerNow(clock)}, spender.WithNow(clock), spender.WithMinShare(0.8))
			}
			_, w = boot()
			holder, _ := boot()
			must.NoError(t, holder.Step(t.Context()))
			r, err := holder.Reserve(0.2)
			must.NoError(t, err)
			if c.restart {
				_, w = boot()
			}
			now = start.Add(c.age)
			must.NoError(t, w.Step(t.Context()))
			if c.resume {
				// The holder's own clock stands still, as after a pause between the check of the deadline and the use.
				now = start
				_, err = holder.Reserve(0.3)
				must.ErrorIs(t, err, spender.ErrHardLimit)
				now = start.Add(c.age)
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

// Guards against a request that is refused because the witness of the share has gone while the ceiling was not short yet: what
// is left of it must last until a share with another witness is at hand.
func TestWitnessGone(t *testing.T) {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5e5, HardLimit: 1e6}}
	now := start
	table := &fakeTable{rows: map[string]fakeRow{}, mode: func() string { return "ok" }}
	clock := func() time.Time { return now }
	gone, told := false, 0
	s, _ := spender.NewWitnessed(func() *configurer.Configuration { return cfg },
		table.table("dc-1", func() bool { return false }), "dc-1", centres[:1],
		spender.Witnesses{
			Pick: func() identifier.Instance {
				if gone {
					return "w2"
				}
				return "w1"
			},
			SendCeiling: func(name identifier.Instance, _ spender.Ceiling) error {
				told++
				if gone && name == "w1" {
					return errors.New("no answer")
				}
				return nil
			},
		}, []spender.LedgerOption{spender.WithLedgerNow(clock)}, spender.WithNow(clock), spender.WithMinShare(100))
	must.NoError(t, s.Step(t.Context()))
	for i := range 60 {
		gone = i >= 30
		r, err := s.Reserve(1)
		must.NoError(t, err, must.Sprint(i))
		r.Settle(1)
		now = now.Add(100 * time.Millisecond)
		must.NoError(t, s.Step(t.Context()), must.Sprint(i))
	}
	// The headroom is that of five requests, and half of it is used before the next message.
	must.Between(t, 60/5, told, 60/2+2)
}
