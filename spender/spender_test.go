package spender_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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
	skew   time.Duration
	holder string
}

type running struct {
	spender.Reservation
	amount float64
}

// bills are the fake bills of shares.
type bills struct {
	running map[string]int
	spent   map[string]float64
	dead    map[string]bool
}

// billed is what spender.WithRecovery asks for. The parts of the condition can be left out, to show that the machine finds it.
func (b *bills) billed(l spender.Lease, ignoreDeath, ignoreRunning bool) (float64, bool) {
	return b.spent[l.ID], (ignoreDeath || b.dead[l.Holder]) && (ignoreRunning || b.running[l.ID] == 0)
}

// Guards against spend beyond the hard limit after crashes, lost replies, delayed writes, pauses, skewed clocks,
// partitions, changes of the limit and the recovery of shares.
func TestHardLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, hardLimitMachine(false, false))
}

// hardLimitMachine drives entries over one table; the flags make the recovery too early.
func hardLimitMachine(ignoreDeath, ignoreRunning bool) func(*rapid.T) {
	return func(t *rapid.T) {
		now, cut, ids, spent, inFlight := start, false, 0, 0.0, 0.0
		cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{
			Start: start, End: start.Add(24 * time.Hour), Committed: 15, HardLimit: 25,
		}}
		highest := cfg.Spend.HardLimit
		table := &fakeTable{rows: map[string]fakeRow{}}
		table.mode = func() string {
			return rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "lost", "down", "delayed"}).Draw(t, "table")
		}
		config := func() *configurer.Configuration { return cfg }
		b := &bills{running: map[string]int{}, spent: map[string]float64{}, dead: map[string]bool{}}
		incarnations := 0
		boot := func(i int) entry {
			incarnations++
			holder := fmt.Sprintf("entry-%d/%d", i, incarnations)
			e := entry{holder: holder, skew: time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew")) * time.Second}
			clock := func() time.Time { return now.Add(e.skew) }
			l := spender.NewTableLedger(config, table.table(centres[i%2], func() bool { return cut }), centres[i%2], centres,
				spender.WithLedgerNow(clock), spender.WithFloor(3),
				spender.WithRecovery(holder, func(l spender.Lease) (float64, bool) { return b.billed(l, ignoreDeath, ignoreRunning) }),
				spender.WithNewID(func() string { ids++; return fmt.Sprint(ids) }))
			e.Spender = spender.New(config, l.Ledger(), spender.WithNow(clock), spender.WithMinimum(3),
				spender.WithRand(rand.New(rand.NewPCG(1, 2))))
			return e
		}
		entries := []entry{boot(0), boot(1), boot(2), boot(3)}
		var requests []running
		pick := func() int { return rapid.IntRange(0, len(entries)-1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) { _ = entries[pick()].Step(context.Background()) },
			// Several requests in a row use a share up, so that short runs reach the limit.
			"reserve": func(t *rapid.T) {
				e := entries[pick()]
				_ = e.Step(context.Background())
				for range 4 {
					amount := rapid.Float64Range(0, 3).Draw(t, "amount")
					if r, err := e.Reserve(amount); err == nil {
						requests = append(requests, running{r, amount})
						b.running[r.Share()]++
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
				b.running[r.Share()]--
				b.spent[r.Share()] += actual
				inFlight -= r.amount
				spent += actual
			},
			// The provider still bills what the crashed entry had running; its requests settle without an effect.
			"crash": func(*rapid.T) {
				i := pick()
				b.dead[entries[i].holder] = true
				entries[i] = boot(i)
			},
			"close": func(*rapid.T) { _ = entries[pick()].Close(context.Background()) },
			"pause": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "seconds")) * time.Second)
			},
			"partition": func(*rapid.T) { cut = !cut },
			"raise": func(*rapid.T) {
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
			},
			"": func(t *rapid.T) {
				if spent+inFlight > highest*(1+1e-9) {
					t.Fatalf("spent %v and running %v beyond the hard limit %v", spent, inFlight, highest)
				}
			},
		})
	}
}

// Guards against a recovery of a share whose requests run, or whose holder lives, and against a share that stays lost.
func TestRecovery(t *testing.T) {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5, HardLimit: 10}}
	for name, c := range map[string]struct {
		age  time.Duration
		ok   bool
		want int
	}{
		"dead and billed": {age: 4 * time.Minute, ok: true, want: 1},
		"not shown dead":  {age: 4 * time.Minute, want: 2},
		"within window":   {age: 90 * time.Second, ok: true, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			table := &fakeTable{rows: map[string]fakeRow{}, mode: func() string { return "ok" }}
			ledger := func(holder string) *spender.TableLedger {
				return spender.NewTableLedger(func() *configurer.Configuration { return cfg },
					table.table("dc-1", func() bool { return false }), "dc-1", centres[:1],
					spender.WithLedgerNow(func() time.Time { return now }),
					spender.WithRecovery(holder, func(spender.Lease) (float64, bool) { return 0.25, c.ok }))
			}
			s, err := ledger("a/1").Take(context.Background(), 1, start.Add(time.Minute))
			must.NoError(t, err)
			now = start.Add(c.age)
			_, err = ledger("a/2").Take(context.Background(), 1, now.Add(time.Minute))
			must.NoError(t, err)
			var row spender.Row
			must.NoError(t, json.Unmarshal(table.rows[s.Row].value, &row))
			must.SliceLen(t, c.want, row.Leases)
			if c.want == 1 {
				must.Eq(t, 0.25, row.Spent)
			}
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
			return spender.Share{ID: "1", Amount: 1, Until: until, Used: 1, Committed: 5}, nil
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
					return spender.Share{ID: "1", Amount: want, Until: until, Used: 100 * c.used, Committed: 100}, nil
				},
			}, spender.WithNow(func() time.Time { return now }))
			_ = s.Step(context.Background())
			must.Eq(t, c.elapsed < 1, taken)
			must.Between(t, c.low, s.PriceFactor(), c.high)
		})
	}
}
