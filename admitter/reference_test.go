package admitter_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/configurer"
)

// served is the hand-made account of one rank: its waiting work in order of arrival, and the tokens granted to it and to
// all ranks since it last had no work at all.
type served struct {
	waiting  []int
	running  int
	own, all float64
	// first is what it was granted before waiting work of a higher rank; work granted in order does not count against
	// the floor.
	first float64
	// kept is own and all since the rank last had nothing waiting, for the lower bound of the floor.
	keptOwn, keptAll float64
}

// Guards against a grant out of order within a rank, a slot left free while work waits, a lower rank that goes first
// beyond its floor, and a floor that lags behind by more than a few requests. The model has one account per rank and
// equal estimates and costs. Before waiting work of a higher rank goes at most what a tenth more than the floor earns from
// the tokens of the others, and the two requests that a rank may save up. The floor lags by at most one request each for
// reaching the credit, for the other floor and for the one that was granted.
func TestGrantsAgainstQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 100.0
		now := start
		rs := []configurer.Rank{
			{Name: "urgent", FirstToken: time.Hour},
			{Name: "normal", FirstToken: time.Hour, Floor: rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "floor of normal")},
			{Name: "batch", FirstToken: time.Hour, Floor: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "floor of batch")},
		}
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		a := admitter.New(admitter.WithRanks(rs), admitter.WithSlots(slots), admitter.WithoutEstimates(),
			admitter.WithQueue(1000, 1000), admitter.WithNow(func() time.Time { return now }))
		type job struct {
			rank   int
			cost   float64
			ticket *admitter.Ticket
		}
		var jobs []*job
		var running []int
		model := make([]served, len(rs))
		granted := func(n int) {
			j := jobs[n]
			for r := range model {
				m := &model[r]
				m.all += j.cost
				m.keptAll += j.cost
				if r == j.rank {
					m.own += j.cost
					m.keptOwn += j.cost
				}
			}
			m := &model[j.rank]
			if m.waiting[0] != n {
				t.Fatalf("rank %d: granted %d before %d", j.rank, n, m.waiting[0])
			}
			m.waiting = m.waiting[1:]
			m.running++
			running = append(running, n)
			higher := false
			for r := range j.rank {
				higher = higher || len(model[r].waiting) > 0
			}
			floor := rs[j.rank].Floor
			if higher {
				m.first += j.cost
				if limit := 1.1*floor*(m.all-m.own) + 2*largest; floor == 0 || m.first*(1-floor) > limit {
					t.Fatalf("rank %d went first with %.0f tokens beside %.0f of others, floor %.2f", j.rank, m.first, m.all-m.own, floor)
				}
			}
		}
		offer := func(rank int, cost float64) {
			n := len(jobs)
			j := &job{rank: rank, cost: cost}
			jobs = append(jobs, j)
			m := &model[rank]
			if len(m.waiting) == 0 {
				m.keptOwn, m.keptAll = 0, 0
				if m.running == 0 {
					m.own, m.all, m.first = 0, 0, 0
				}
			}
			m.waiting = append(m.waiting, n)
			it := item(rs[rank].Name, "account", cost, time.Time{})
			it.Resumable = false
			tk, err := a.Enqueue(it, func(tk *admitter.Ticket, err error) {
				if err != nil {
					t.Fatalf("refused: %v", err)
				}
				j.ticket = tk
				granted(n)
			})
			if err != nil {
				t.Fatalf("refused: %v", err)
			}
			j.ticket = tk
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 || len(running) == 0 {
				offer(rapid.IntRange(0, len(rs)-1).Draw(t, "rank"), float64(rapid.IntRange(1, largest).Draw(t, "cost")))
			} else {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
				n := running[i]
				running = slices.Delete(running, i, i+1)
				model[jobs[n].rank].running--
				jobs[n].ticket.Finish(int(jobs[n].cost))
			}
			waiting := 0
			for r, m := range model {
				waiting += len(m.waiting)
				if floor := rs[r].Floor; len(m.waiting) > 0 && m.keptOwn < floor*m.keptAll-3*largest {
					t.Fatalf("rank %d has %.0f of %.0f tokens, floor %.2f", r, m.keptOwn, m.keptAll, floor)
				}
			}
			l := a.Load()
			if l.Running != len(running) || waiting > 0 && len(running) < slots {
				t.Fatalf("%d running of %d slots, model %d, %d wait", l.Running, slots, len(running), waiting)
			}
			for r, m := range model {
				if l.Queued[r] != len(m.waiting) {
					t.Fatalf("rank %d: %d queued, model %d", r, l.Queued[r], len(m.waiting))
				}
			}
		}
	})
}
