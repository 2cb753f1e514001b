package spender_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/spender"
)

var (
	start   = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	centres = []identifier.DataCentre{"dc-1", "dc-2"}
	errDown = errors.New("table down")
)

type fakeRow struct {
	value   json.RawMessage
	version uint64
}

// fakeTable is a transactional table whose faults are drawn by mode.
type fakeTable struct {
	rows    map[string]fakeRow
	delayed [][]spender.Write
	mode    func() string
}

func (f *fakeTable) apply(rows []spender.Write) error {
	for _, w := range rows {
		if f.rows[w.Key].version != w.Version {
			return spender.ErrConflict
		}
	}
	for _, w := range rows {
		f.rows[w.Key] = fakeRow{w.Value, w.Version + 1}
	}
	return nil
}

// table returns the access of one data centre; cut hides the rows of the others.
func (f *fakeTable) table(self identifier.DataCentre, cut func() bool) spender.Table {
	hidden := func(key string) bool { return cut() && !strings.HasSuffix(key, string(self)) }
	return spender.Table{
		Read: func(_ context.Context, key string) (json.RawMessage, uint64, error) {
			if hidden(key) || f.mode() == "down" {
				return nil, 0, errDown
			}
			return f.rows[key].value, f.rows[key].version, nil
		},
		Write: func(_ context.Context, rows []spender.Write) error {
			switch f.mode() {
			case "down":
				return errDown
			case "delayed":
				f.delayed = append(f.delayed, rows)
				return errDown
			case "lost":
				_ = f.apply(rows)
				return errDown
			}
			return f.apply(rows)
		},
	}
}

type entry struct {
	*spender.Spender
	witness *spender.Witness
	skew    time.Duration
	// stepped is the time of the last step, and stopped makes the clock show it, as to a process that is paused after it has
	// read the clock.
	stepped time.Time
	stopped bool
}

type running struct {
	spender.Reservation
	amount float64
}

// late is a message that arrives after its sender gave up on it, perhaps at a process that was replaced since.
type late struct {
	witness *spender.Witness
	ceiling spender.Ceiling
}

// Guards against spend beyond the hard limit after crashes, lost replies, delayed writes, pauses, skewed clocks,
// partitions, changes of the limit and the recovery of shares, also when a witness closes a share whose holder only paused, an
// entry is replaced while its earlier process runs on, or messages to witnesses are lost, late or answered in vain.
func TestHardLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, hardLimitMachine(false, false))
}

// hardLimitMachine drives entries over one table; forged makes holders use ceilings that no witness took, and low makes
// witnesses free the reservations of running requests.
func hardLimitMachine(forged, low bool) func(*rapid.T) {
	return func(t *rapid.T) {
		now, cut, ids, spent, inFlight := start, false, 0, 0.0, 0.0
		cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{
			Start: start, End: start.Add(240 * time.Hour), Committed: 4, HardLimit: 6,
		}}
		highest := cfg.Spend.HardLimit
		table := &fakeTable{rows: map[string]fakeRow{}}
		table.mode = func() string {
			return rapid.SampledFrom(append(slices.Repeat([]string{"ok"}, 12), "lost", "down", "delayed")).Draw(t, "table")
		}
		config := func() *configurer.Configuration { return cfg }
		entries := make([]*entry, 4)
		var messages []late
		tell := func(name identifier.Instance, c spender.Ceiling) error {
			i, err := strconv.Atoi(string(name))
			must.NoError(t, err)
			if low && !c.Settled {
				c.Amount /= 2
			}
			// Most messages arrive, since a lost one ends the use of the share and few runs would come near the limit.
			switch rapid.SampledFrom(append(slices.Repeat([]string{"ok"}, 27), "lost", "down", "delayed")).Draw(t, "message") {
			case "lost":
				_ = entries[i].witness.Accept(c)
				return errDown
			case "down":
				return errDown
			case "delayed":
				messages = append(messages, late{entries[i].witness, c})
				return errDown
			}
			if err := entries[i].witness.Accept(c); !forged {
				return err
			}
			return nil
		}
		boot := func(i int) *entry {
			e := &entry{stepped: now, skew: time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew")) * time.Second}
			clock := func() time.Time {
				if e.stopped {
					return e.stepped.Add(e.skew)
				}
				return now.Add(e.skew)
			}
			pick := func() identifier.Instance { return identifier.Instance(strconv.Itoa((i + 2) % len(entries))) }
			e.Spender, e.witness = spender.NewWitnessed(config, table.table(centres[i%2], func() bool { return cut }), centres[i%2], centres,
				spender.Witnesses{Pick: pick, SendCeiling: tell}, []spender.LedgerOption{
					spender.WithLedgerNow(clock), spender.WithMinGrant(1),
					spender.WithNewID(func() string { ids++; return strconv.Itoa(ids) }),
				}, spender.WithNow(clock), spender.WithMinShare(1), spender.WithRand(rand.New(rand.NewPCG(1, 2))))
			return e
		}
		for i := range entries {
			entries[i] = boot(i)
		}
		// replaced are processes that run on beside the one that took their name.
		var replaced []*entry
		var requests []running
		slot := func() int { return rapid.IntRange(0, 3).Draw(t, "entry") }
		pick := func() *entry {
			all := slices.Concat(entries, replaced)
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) {
				e := pick()
				e.stepped = now
				_ = e.Step(context.Background())
			},
			"recover": func(*rapid.T) {
				now = now.Add(time.Minute)
				for _, e := range slices.Concat(entries, replaced) {
					_ = e.witness.Step(context.Background())
				}
			},
			// Several requests in a row use a share up, so that short runs reach the limit.
			"reserve": func(t *rapid.T) {
				e := pick()
				e.stopped = rapid.Bool().Draw(t, "stopped")
				defer func() { e.stopped = false }()
				for range 4 {
					if !e.stopped {
						now = now.Add(5 * time.Second)
						e.stepped = now
						_ = e.Step(context.Background())
					}
					amount := rapid.Float64Range(0.2, 1).Draw(t, "amount")
					if r, err := e.Reserve(amount); err == nil {
						requests = append(requests, running{r, amount})
						inFlight += amount
					}
				}
			},
			"settle": func(t *rapid.T) {
				if len(requests) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(requests)-1).Draw(t, "request")
				r := requests[i]
				requests = append(requests[:i], requests[i+1:]...)
				actual := r.amount * rapid.Float64Range(0, 1).Draw(t, "part")
				r.Settle(actual)
				inFlight -= r.amount
				spent += actual
			},
			// The provider still bills what the crashed entry had running; its requests settle without an effect.
			"crash": func(*rapid.T) {
				i := slot()
				entries[i] = boot(i)
			},
			"replace": func(*rapid.T) {
				i := slot()
				replaced = append(replaced, entries[i])
				entries[i] = boot(i)
			},
			"close": func(*rapid.T) { _ = pick().Close(context.Background()) },
			"pause": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "seconds")) * time.Second)
			},
			"partition": func(*rapid.T) { cut = !cut },
			"raise": func(*rapid.T) {
				if highest > 7 {
					t.Skip("a limit that always grows is never reached")
				}
				next := *cfg
				next.Revision++
				next.Spend.HardLimit += 0.5
				highest, cfg = next.Spend.HardLimit, &next
			},
			"arrive": func(*rapid.T) {
				for _, rows := range table.delayed {
					_ = table.apply(rows)
				}
				table.delayed = nil
				for _, m := range messages {
					_ = m.witness.Accept(m.ceiling)
				}
				messages = nil
			},
			"": func(t *rapid.T) {
				if spent+inFlight > highest*(1+1e-9) {
					t.Fatalf("spent %v and running %v beyond the hard limit %v", spent, inFlight, highest)
				}
			},
		})
	}
}

// Guards against a lost reply that strands a share, and against a share returned twice that frees its amount twice.
func TestLostReplies(t *testing.T) {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5, HardLimit: 10}}
	config := func() *configurer.Configuration { return cfg }
	modes := []string{"lost", "ok", "ok", "ok"}
	table := &fakeTable{rows: map[string]fakeRow{}, mode: func() string { return "ok" }}
	access := table.table("dc-1", func() bool { return false })
	write := access.Write
	access.Write = func(ctx context.Context, rows []spender.Write) error {
		mode := modes[0]
		modes = append(modes[1:], "ok")
		err := write(ctx, rows)
		if mode == "lost" {
			return errDown
		}
		return err
	}
	l := spender.NewTableLedger(config, access, "dc-1", centres[:1], spender.WithLedgerNow(func() time.Time { return start }))
	s, err := l.Take(context.Background(), 1, start.Add(time.Minute))
	must.NoError(t, err)
	var row spender.Row
	must.NoError(t, json.Unmarshal(table.rows[s.Row].value, &row))
	must.SliceLen(t, 1, row.Leases)
	for range 2 {
		must.NoError(t, l.Return(context.Background(), s, 0.25))
	}
	must.NoError(t, json.Unmarshal(table.rows[s.Row].value, &row))
	must.SliceLen(t, 0, row.Leases)
	must.Eq(t, 0.25, row.Spent)
}

// Guards against reservations that wait for or write to the ledger, and against an unlimited period that refuses work.
func TestReserveNeedsNoLedger(t *testing.T) {
	cfg := &configurer.Configuration{Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5, HardLimit: 10}}
	calls := 0
	now := start
	s := spender.New(func() *configurer.Configuration { return cfg }, spender.Ledger{
		Take: func(_ context.Context, _ float64, until time.Time) (spender.Share, error) {
			calls++
			return spender.Share{ID: "1", Amount: 1, Deadline: until, Granted: 1, Committed: 5}, nil
		},
		Return: func(context.Context, spender.Share, float64) error { return errDown },
	}, spender.WithNow(func() time.Time { return now }))
	_, err := s.Reserve(0.1)
	must.ErrorIs(t, err, spender.ErrHardLimit)
	must.NoError(t, s.Step(context.Background()))
	for range 9 {
		_, err := s.Reserve(0.1)
		must.NoError(t, err)
	}
	_, err = s.Reserve(0.2)
	must.ErrorIs(t, err, spender.ErrHardLimit)
	must.Eq(t, 1, calls)
	now = now.Add(time.Minute)
	_, err = s.Reserve(0.05)
	must.ErrorIs(t, err, spender.ErrHardLimit)
	cfg.Spend.HardLimit = 0
	_, err = s.Reserve(100)
	must.NoError(t, err)
}

// Guards against a factor that leaves commitment unused or stays low at overflow.
func TestPriceFactor(t *testing.T) {
	for name, c := range map[string]struct{ elapsed, used, low, high float64 }{
		"behind":   {0.5, 0.3, 0, 0.05},
		"on pace":  {0.5, 0.5, 0.9, 1},
		"overflow": {0.5, 1, 1, 1},
		"start":    {0, 0, 0, 0.05},
		"end":      {1, 0.5, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			spend := configurer.Spend{Start: start, End: start.Add(10 * time.Hour), Committed: 100}
			now := start.Add(time.Duration(c.elapsed * float64(10*time.Hour)))
			taken := false
			s := spender.New(func() *configurer.Configuration { return &configurer.Configuration{Spend: spend} }, spender.Ledger{
				Take: func(_ context.Context, want float64, until time.Time) (spender.Share, error) {
					taken = true
					return spender.Share{ID: "1", Amount: want, Deadline: until, Granted: 100 * c.used, Committed: 100}, nil
				},
			}, spender.WithNow(func() time.Time { return now }))
			_ = s.Step(context.Background())
			must.Eq(t, c.elapsed < 1, taken)
			must.Between(t, c.low, s.PriceFactor(), c.high)
		})
	}
}
