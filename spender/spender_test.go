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

// fakeTable is a transactional table; nextFault selects the fault of each call.
type fakeTable struct {
	rows      map[string]fakeRow
	delayed   [][]spender.Write
	nextFault func() string
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

// access returns the access of one data centre to the table; while partitioned is true, the rows of the others are unreachable.
func (f *fakeTable) access(self identifier.DataCentre, partitioned func() bool) spender.Table {
	hidden := func(key string) bool { return partitioned() && !strings.HasSuffix(key, string(self)) }
	return spender.Table{
		Read: func(_ context.Context, key string) (json.RawMessage, uint64, error) {
			if hidden(key) || f.nextFault() == "down" {
				return nil, 0, errDown
			}
			return f.rows[key].value, f.rows[key].version, nil
		},
		Write: func(_ context.Context, rows []spender.Write) error {
			switch f.nextFault() {
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
	// lastStepAt is the time of the last step. While clockFrozen is set, the clock of the entry shows that time, as for a process
	// that is paused just after reading the clock.
	lastStepAt  time.Time
	clockFrozen bool
}

type runningRequest struct {
	spender.Reservation
	amount float64
}

// delayedMessage arrives after its sender timed out; the receiving process may have been replaced in the meantime.
type delayedMessage struct {
	witness *spender.Witness
	ceiling spender.Ceiling
}

// Guards against spend beyond the hard limit after crashes, lost replies, delayed writes, pauses, skewed clocks, partitions,
// changes of the limit and the recovery of shares. This includes a witness that closes the share of a holder that was only
// paused, an entry that is replaced while its former process still runs, and messages to witnesses that are lost, late, or
// processed without the reply arriving.
func TestHardLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, hardLimitMachine(false, false))
}

// hardLimitMachine drives entries over one table. ignoreRefusals makes holders use ceilings that the witness refused, and
// halveCeilings makes witnesses free the reservations of running requests.
func hardLimitMachine(ignoreRefusals, halveCeilings bool) func(*rapid.T) {
	return func(t *rapid.T) {
		now, partitioned, lastID, spent, inFlight := start, false, 0, 0.0, 0.0
		cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{
			Start: start, End: start.Add(240 * time.Hour), Committed: 4, HardLimit: 6,
		}}
		highestLimit := cfg.Spend.HardLimit
		table := &fakeTable{rows: map[string]fakeRow{}}
		table.nextFault = func() string {
			return rapid.SampledFrom(append(slices.Repeat([]string{"ok"}, 12), "lost", "down", "delayed")).Draw(t, "table")
		}
		config := func() *configurer.Configuration { return cfg }
		entries := make([]*entry, 4)
		var messages []delayedMessage
		sendCeiling := func(name identifier.Instance, c spender.Ceiling) error {
			i, err := strconv.Atoi(string(name))
			must.NoError(t, err)
			if halveCeilings && !c.Settled {
				c.Amount /= 2
			}
			// Most messages arrive, because a lost one ends the use of the share, and few runs would then come near the limit.
			switch rapid.SampledFrom(append(slices.Repeat([]string{"ok"}, 27), "lost", "down", "delayed")).Draw(t, "message") {
			case "lost":
				_ = entries[i].witness.Accept(c)
				return errDown
			case "down":
				return errDown
			case "delayed":
				messages = append(messages, delayedMessage{entries[i].witness, c})
				return errDown
			}
			if err := entries[i].witness.Accept(c); !ignoreRefusals {
				return err
			}
			return nil
		}
		startEntry := func(i int) *entry {
			e := &entry{lastStepAt: now, skew: time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew")) * time.Second}
			clock := func() time.Time {
				if e.clockFrozen {
					return e.lastStepAt.Add(e.skew)
				}
				return now.Add(e.skew)
			}
			pick := func() identifier.Instance { return identifier.Instance(strconv.Itoa((i + 2) % len(entries))) }
			e.Spender, e.witness = spender.NewWithWitness(
				config, table.access(centres[i%2], func() bool { return partitioned }), centres[i%2], centres,
				spender.Witnesses{Pick: pick, SendCeiling: sendCeiling}, []spender.LedgerOption{
					spender.WithLedgerNow(clock), spender.WithMinGrant(1),
					spender.WithNewID(func() string { lastID++; return strconv.Itoa(lastID) }),
				}, spender.WithNow(clock), spender.WithMinShare(1), spender.WithRand(rand.New(rand.NewPCG(1, 2))))
			return e
		}
		for i := range entries {
			entries[i] = startEntry(i)
		}
		// replaced holds former processes that keep running beside the process that replaced them.
		var replaced []*entry
		var requests []runningRequest
		drawEntry := func() int { return rapid.IntRange(0, 3).Draw(t, "entry") }
		drawProcess := func() *entry {
			all := slices.Concat(entries, replaced)
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) {
				e := drawProcess()
				e.lastStepAt = now
				_ = e.Step(context.Background())
			},
			"recover": func(*rapid.T) {
				now = now.Add(time.Minute)
				for _, e := range slices.Concat(entries, replaced) {
					_ = e.witness.Step(context.Background())
				}
			},
			// Several requests in a row use up a share, so that short runs reach the limit.
			"reserve": func(t *rapid.T) {
				e := drawProcess()
				e.clockFrozen = rapid.Bool().Draw(t, "stopped")
				defer func() { e.clockFrozen = false }()
				for range 4 {
					if !e.clockFrozen {
						now = now.Add(5 * time.Second)
						e.lastStepAt = now
						_ = e.Step(context.Background())
					}
					amount := rapid.Float64Range(0.2, 1).Draw(t, "amount")
					if r, err := e.Reserve(amount); err == nil {
						requests = append(requests, runningRequest{r, amount})
						inFlight += amount
					}
				}
			},
			"settle": func(t *rapid.T) {
				if len(requests) == 0 {
					t.Skip("no request is running")
				}
				i := rapid.IntRange(0, len(requests)-1).Draw(t, "request")
				r := requests[i]
				requests = append(requests[:i], requests[i+1:]...)
				actual := r.amount * rapid.Float64Range(0, 1).Draw(t, "part")
				r.Settle(actual)
				inFlight -= r.amount
				spent += actual
			},
			// The provider still bills the requests that the crashed entry was running; settling them has no effect.
			"crash": func(*rapid.T) {
				i := drawEntry()
				entries[i] = startEntry(i)
			},
			"replace": func(*rapid.T) {
				i := drawEntry()
				replaced = append(replaced, entries[i])
				entries[i] = startEntry(i)
			},
			"close": func(*rapid.T) { _ = drawProcess().Close(context.Background()) },
			"pause": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "seconds")) * time.Second)
			},
			"partition": func(*rapid.T) { partitioned = !partitioned },
			"raise": func(*rapid.T) {
				if highestLimit > 7 {
					t.Skip("the limit was raised often enough; a further raise would keep the run from reaching it")
				}
				next := *cfg
				next.Revision++
				next.Spend.HardLimit += 0.5
				highestLimit, cfg = next.Spend.HardLimit, &next
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
				if spent+inFlight > highestLimit*(1+1e-9) {
					t.Fatalf("spent %v and reserved for running requests %v exceed the hard limit %v", spent, inFlight, highestLimit)
				}
			},
		})
	}
}

// Guards against a lost reply to Take that strands a share, and against a repeated Return that frees the amount of a share twice.
func TestLostReplies(t *testing.T) {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{Start: start, End: start.Add(time.Hour), Committed: 5, HardLimit: 10}}
	config := func() *configurer.Configuration { return cfg }
	faults := []string{"lost", "ok", "ok", "ok"}
	table := &fakeTable{rows: map[string]fakeRow{}, nextFault: func() string { return "ok" }}
	access := table.access("dc-1", func() bool { return false })
	write := access.Write
	access.Write = func(ctx context.Context, rows []spender.Write) error {
		fault := faults[0]
		faults = append(faults[1:], "ok")
		err := write(ctx, rows)
		if fault == "lost" {
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

// Guards against reservations that call the ledger, and against refused reservations in a period without a hard limit.
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

// Guards against a price factor that leaves commitment unused, or that stays low once the commitment is used up.
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
