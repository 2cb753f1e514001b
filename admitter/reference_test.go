package admitter_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/configurer"
)

// rankModel is the expected state of one rank: its waiting jobs in order of arrival, and the tokens granted to it and
// to all ranks since it last had neither waiting nor running work.
type rankModel struct {
	waiting                       []int
	running                       int
	grantedTokens, allRanksTokens float64
	// aheadTokens counts what the rank was granted ahead of waiting work of a higher rank; work granted in rank order
	// does not count against the floor.
	aheadTokens float64
	// backlogTokens and backlogAllRanksTokens are the tokens granted to the rank and to all ranks since it last had
	// nothing waiting; the lower bound of the floor applies to them.
	backlogTokens, backlogAllRanksTokens float64
}

// Guards against grants out of order within a rank, a slot left free while work waits, a lower rank that goes ahead of
// a higher one beyond its floor, and a floor that lags by more than three requests. The model has one account per rank,
// and each cost equals its estimate. A rank may go ahead of waiting work of a higher rank with at most 1.1 times its
// floor of the tokens of other ranks, plus the two requests that it may save up. Its floor lags by at most three
// requests: one until its credit is positive, one granted by the other floor, and the one that was granted last.
func TestGrantsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 100.0
		now := start
		ranks := []configurer.Rank{
			{Name: "urgent", FirstToken: time.Hour},
			{Name: "normal", FirstToken: time.Hour, Floor: rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "floor of normal")},
			{Name: "batch", FirstToken: time.Hour, Floor: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "floor of batch")},
		}
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		a := admitter.New(admitter.WithRanks(ranks), admitter.WithSlots(slots), admitter.WithoutEstimates(),
			admitter.WithQueueLimits(1000, 1000), admitter.WithNow(func() time.Time { return now }))
		type job struct {
			rank   int
			cost   float64
			ticket *admitter.Ticket
		}
		var jobs []*job
		var running []int
		model := make([]rankModel, len(ranks))
		recordGrant := func(n int) {
			j := jobs[n]
			for r := range model {
				m := &model[r]
				m.allRanksTokens += j.cost
				m.backlogAllRanksTokens += j.cost
				if r == j.rank {
					m.grantedTokens += j.cost
					m.backlogTokens += j.cost
				}
			}
			m := &model[j.rank]
			if m.waiting[0] != n {
				t.Fatalf("rank %d: job %d was granted before job %d, which was queued first", j.rank, n, m.waiting[0])
			}
			m.waiting = m.waiting[1:]
			m.running++
			running = append(running, n)
			higherRankWaits := false
			for r := range j.rank {
				higherRankWaits = higherRankWaits || len(model[r].waiting) > 0
			}
			floor := ranks[j.rank].Floor
			if higherRankWaits {
				m.aheadTokens += j.cost
				if limit := 1.1*floor*(m.allRanksTokens-m.grantedTokens) + 2*maxCost; floor == 0 || m.aheadTokens*(1-floor) > limit {
					t.Fatalf("rank %d was granted %.0f tokens ahead of higher ranks, beside %.0f of other ranks, floor %.2f",
						j.rank, m.aheadTokens, m.allRanksTokens-m.grantedTokens, floor)
				}
			}
		}
		enqueue := func(rank int, cost float64) {
			n := len(jobs)
			j := &job{rank: rank, cost: cost}
			jobs = append(jobs, j)
			m := &model[rank]
			if len(m.waiting) == 0 {
				m.backlogTokens, m.backlogAllRanksTokens = 0, 0
				if m.running == 0 {
					m.grantedTokens, m.allRanksTokens, m.aheadTokens = 0, 0, 0
				}
			}
			m.waiting = append(m.waiting, n)
			item := newItem(ranks[rank].Name, "account", cost, time.Time{})
			item.Resumable = false
			tk, err := a.Enqueue(item, func(tk *admitter.Ticket, err error) {
				if err != nil {
					t.Fatalf("refused: %v", err)
				}
				j.ticket = tk
				recordGrant(n)
			})
			if err != nil {
				t.Fatalf("refused: %v", err)
			}
			j.ticket = tk
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 || len(running) == 0 {
				enqueue(rapid.IntRange(0, len(ranks)-1).Draw(t, "rank"), float64(rapid.IntRange(1, maxCost).Draw(t, "cost")))
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
				if floor := ranks[r].Floor; len(m.waiting) > 0 && m.backlogTokens < floor*m.backlogAllRanksTokens-3*maxCost {
					t.Fatalf("rank %d was granted %.0f of %.0f tokens while it had work waiting, floor %.2f",
						r, m.backlogTokens, m.backlogAllRanksTokens, floor)
				}
			}
			l := a.Load()
			if l.Running != len(running) || waiting > 0 && len(running) < slots {
				t.Fatalf("Load reports %d running in %d slots, want %d, with %d waiting", l.Running, slots, len(running), waiting)
			}
			for r, m := range model {
				if l.Queued[r] != len(m.waiting) {
					t.Fatalf("rank %d: Load reports %d queued, want %d", r, l.Queued[r], len(m.waiting))
				}
			}
		}
	})
}
