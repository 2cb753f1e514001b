package admitter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ranks() []configurer.Rank {
	return []configurer.Rank{
		{Name: "urgent", FirstToken: 1400 * time.Millisecond},
		{Name: "normal", FirstToken: 5 * time.Second, Floor: 0.1},
		{Name: "batch", FirstToken: time.Minute, Floor: 0.05},
	}
}

func newItem(rank identifier.Rank, account string, cost float64, deadline time.Time) admitter.QueuedOrder {
	return admitter.QueuedOrder{
		Order: &streamer.Order{Rank: rank, ClientAccount: identifier.ClientAccount(account), Deadline: deadline},
		Cost:  cost, Resumable: true,
	}
}

// trackedItem records the state of one queued item as its callbacks report it.
type trackedItem struct {
	ticket  *admitter.Ticket
	running bool
	started bool
	ended   bool
}

// Guards against lost tickets, a second decision on one item, refusal of work that has run, and exceeded limits of
// slots and queues. The work is enqueued, finished and paused in random order while time passes, and drained at the
// end.
func TestTicketsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		const slots, headroom, perRank, perAccount = 4, 1, 6, 3
		a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(slots), admitter.WithHeadroom(headroom),
			admitter.WithQueueLimits(perRank, perAccount), admitter.WithNow(func() time.Time { return now }))
		var all []*trackedItem
		onDecision := func(w *trackedItem) func(*admitter.Ticket, error) {
			return func(tk *admitter.Ticket, err error) {
				w.ticket = tk
				switch {
				case w.ended || w.running:
					t.Fatalf("onDecision called a second time")
				case err == nil && !now.Before(tk.Item().Order.Deadline):
					t.Fatalf("granted after its deadline")
				case err == nil:
					w.running, w.started = true, true
				case w.started != errors.Is(err, admitter.ErrPausedExpired):
					t.Fatalf("work with started = %v ended with %v", w.started, err)
				default:
					w.ended = true
				}
			}
		}
		pickRunning := func() *trackedItem {
			var running []*trackedItem
			for _, w := range all {
				if w.running {
					running = append(running, w)
				}
			}
			if len(running) == 0 {
				return nil
			}
			return running[rapid.IntRange(0, len(running)-1).Draw(t, "which")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				w := &trackedItem{}
				rank := ranks()[rapid.IntRange(0, 2).Draw(t, "rank")].Name
				account := fmt.Sprintf("account-%d", rapid.IntRange(0, 3).Draw(t, "account"))
				deadline := now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "deadline")) * time.Second)
				_, err := a.Enqueue(newItem(rank, account, float64(rapid.IntRange(1, 500).Draw(t, "cost")), deadline), onDecision(w))
				if err != nil {
					if r := admitter.AsRefusal(err); r == nil || r.Outcome() != streamer.OutcomeNotRun {
						t.Fatalf("Enqueue failed with %v", err)
					}
					return
				}
				all = append(all, w)
			},
			"finish": func(t *rapid.T) {
				if w := pickRunning(); w != nil {
					w.running, w.ended = false, true
					w.ticket.Finish(rapid.IntRange(0, 600).Draw(t, "tokens"))
					w.ticket.Finish(1)
				}
			},
			"pause": func(*rapid.T) {
				for _, w := range all {
					if !w.running {
						continue
					}
					select {
					case <-w.ticket.Preempted():
						w.running = false
						w.ticket.Requeue(1, onDecision(w))
						return
					default:
					}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				a.Tick()
			},
			"": func(t *rapid.T) {
				running, waiting := 0, 0
				for _, w := range all {
					switch {
					case w.running:
						running++
					case !w.ended:
						waiting++
					}
				}
				l := a.Load()
				queued := 0
				for _, n := range l.Queued {
					queued += n
				}
				if l.Running != running || queued != waiting {
					t.Fatalf("%d running and %d waiting, but Load reports %d and %d", running, waiting, l.Running, queued)
				}
				if running > slots+headroom {
					t.Fatalf("%d running exceed the slots and the headroom", running)
				}
				if waiting > 0 && running < slots {
					t.Fatalf("%d waiting although %d slots are free", waiting, slots-running)
				}
				for _, r := range a.State().(admitter.State).Ranks {
					for account, n := range r.Waiting {
						if n > perAccount+slots+headroom {
							t.Fatalf("account %s has %d waiting, more than its limit", account, n)
						}
					}
				}
			},
		})
		a.Drain()
		for _, w := range all {
			if !w.ended && !w.started {
				t.Fatalf("Drain did not refuse waiting work")
			}
		}
		for range 10 * len(all) {
			for _, w := range all {
				if w.running {
					w.running, w.ended = false, true
					w.ticket.Finish(1)
				}
			}
		}
		for _, w := range all {
			if !w.ended {
				t.Fatalf("work neither finished nor refused")
			}
		}
		select {
		case <-a.Drained():
		default:
			t.Fatalf("Drained is not closed although no work is left")
		}
	})
}

// Guards against a rank that gets less than its floor, and against an account that is starved, while more urgent work
// and an account of higher weight always wait. First-come, first-served scheduling would serve the batch rank by its
// order of arrival alone.
func TestFloorsAndFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		weights := map[identifier.ClientAccount]float64{"large": float64(rapid.IntRange(1, 4).Draw(t, "weight")), "small": 1}
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(slots), admitter.WithoutEstimates(),
			admitter.WithWeight(func(c identifier.ClientAccount) float64 { return weights[c] }),
			admitter.WithNow(func() time.Time { return now }))
		var running []*admitter.Ticket
		// A single drawn seed instead of thousands of draws lets rapid minimise a failure quickly.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		cost := func() float64 { return float64(50 + rng.IntN(101)) }
		servedTokens := map[identifier.Rank]float64{}
		urgentTokens := map[identifier.ClientAccount]float64{}
		fillQueues := func() {
			state := a.State().(admitter.State)
			for i, r := range ranks() {
				for _, account := range []string{"large", "small"} {
					for range 6 - state.Ranks[i].Waiting[identifier.ClientAccount(account)] {
						item := newItem(r.Name, account, cost(), now.Add(time.Hour))
						item.Resumable = false
						_, err := a.Enqueue(item, func(tk *admitter.Ticket, err error) {
							if err == nil {
								running = append(running, tk)
							}
						})
						must.NoError(t, err)
					}
				}
			}
		}
		totalTokens := 0.0
		for range 1500 {
			fillQueues()
			i := rng.IntN(len(running))
			tk := running[i]
			running = append(running[:i], running[i+1:]...)
			c := tk.Item().Cost
			servedTokens[tk.Item().Order.Rank] += c
			if tk.Item().Order.Rank == "urgent" {
				urgentTokens[tk.Item().Order.ClientAccount] += c
			}
			totalTokens += c
			tk.Finish(int(c))
		}
		for _, r := range ranks()[1:] {
			// The tolerance covers the items that still run at the end and the floor credit of one item.
			if got, want := servedTokens[r.Name], r.Floor*totalTokens-150*float64(slots+2); got < want {
				t.Fatalf("rank %s got %.0f of %.0f tokens, floor %.2f", r.Name, got, totalTokens, r.Floor)
			}
		}
		perWeight := urgentTokens["large"] / weights["large"]
		if tolerance := 150 * float64(slots+6); urgentTokens["small"] < perWeight-tolerance ||
			perWeight < urgentTokens["small"]-tolerance {
			t.Fatalf("account small got %.0f tokens, large %.0f with weight %.0f",
				urgentTokens["small"], urgentTokens["large"], weights["large"])
		}
	})
}

// Guards against work that waits in Admit beyond its queue timeout or deadline when no other event occurs, and against
// a canceled wait that leaves its ticket in the queue.
func TestAdmitTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(1))
		first, err := a.Admit(t.Context(), newItem("urgent", "a", 100, time.Now().Add(time.Hour)))
		must.NoError(t, err)
		at := time.Now()
		_, err = a.Admit(t.Context(), newItem("urgent", "a", 100, time.Now().Add(time.Hour)))
		must.Eq(t, admitter.CodeQueueTimeout, admitter.AsRefusal(err).Code)
		must.Between(t, 700*time.Millisecond, time.Since(at), 900*time.Millisecond)
		at = time.Now()
		_, err = a.Admit(t.Context(), newItem("urgent", "a", 100, time.Now().Add(300*time.Millisecond)))
		must.Eq(t, admitter.CodeDeadline, admitter.AsRefusal(err).Code)
		must.Between(t, 300*time.Millisecond, time.Since(at), 500*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = a.Admit(ctx, newItem("urgent", "a", 100, time.Now().Add(time.Hour)))
		must.Eq(t, admitter.CodeCanceled, admitter.AsRefusal(err).Code)
		must.Eq(t, 0, a.Load().Queued[0])

		// The first run took about a second for 100 tokens, so work that could not end in time is refused at once.
		first.Finish(100)
		second, err := a.Admit(t.Context(), newItem("batch", "a", 100, time.Now().Add(time.Hour)))
		must.NoError(t, err)
		at = time.Now()
		_, err = a.Admit(t.Context(), newItem("batch", "a", 100, time.Now().Add(time.Second)))
		must.Eq(t, admitter.CodeDeadline, admitter.AsRefusal(err).Code)
		must.Eq(t, 0, time.Since(at))
		must.True(t, admitter.AsRefusal(err).RetryAt.After(time.Now()))

		// Urgent work preempts the batch work, which resumes afterwards instead of being refused.
		urgent := make(chan *admitter.Ticket, 1)
		go func() {
			tk, err := a.Admit(t.Context(), newItem("urgent", "a", 10, time.Now().Add(time.Hour)))
			must.NoError(t, err)
			urgent <- tk
		}()
		<-second.Preempted()
		go func() {
			tk := <-urgent
			time.Sleep(time.Second)
			tk.Finish(10)
		}()
		at = time.Now()
		must.NoError(t, second.Resume(t.Context(), 50))
		must.Between(t, time.Second, time.Since(at), 1100*time.Millisecond)
		a.Drain()
		_, err = a.Admit(t.Context(), newItem("urgent", "a", 10, time.Now().Add(time.Hour)))
		must.Eq(t, admitter.CodeDraining, admitter.AsRefusal(err).Code)
		second.Finish(100)
		<-a.Drained()
	})
}

func BenchmarkEnqueueFinish(b *testing.B) {
	for _, accounts := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			a := admitter.New(admitter.WithRanks(ranks()), admitter.WithSlots(16), admitter.WithoutEstimates())
			var running []*admitter.Ticket
			onDecision := func(tk *admitter.Ticket, err error) {
				if err == nil {
					running = append(running, tk)
				}
			}
			items := make([]admitter.QueuedOrder, accounts)
			for i := range items {
				items[i] = newItem("normal", fmt.Sprint(i), 100, time.Time{})
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if _, err := a.Enqueue(items[n%accounts], onDecision); err != nil || len(running) >= 16 {
					tk := running[0]
					running = append(running[:0], running[1:]...)
					tk.Finish(100)
				}
			}
		})
	}
}
