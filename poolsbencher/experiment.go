package poolsbencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/bencher"
)

// The limits of the stated target: goodput of the capacity, cost of the optimum, time back to normal, and orders per request
// beyond the first, which are the share of successes that retries may reach.
const (
	goodputLimit  = 0.95
	costLimit     = 1.05
	recoveryLimit = 10 * time.Second
	ordersLimit   = 1.1
)

const (
	// phaseTime is the time of each phase, and settling is left out at its beginning, while queues fill and entries learn.
	phaseTime = 60 * time.Second
	settling  = 5 * time.Second
	// waitLimit is the wait at which a pool refuses.
	waitLimit = 300 * time.Millisecond
	// interval is the length of the intervals in which the return to normal is looked for.
	interval = time.Second
	// normalShare is the part of the requests of an interval at the cheapest pool that counts as normal.
	normalShare = 0.95
)

func poolNames() []string { return []string{"cheap", "middle", "dear"} }

// phase is a time of constant demand.
type phase struct {
	name string
	// demand is in requests per second, capacity in requests per second of each pool.
	demand   float64
	capacity [3]float64
}

func phases() []phase {
	whole := [3]float64{100, 60, 40}
	return []phase{
		{"base", 70, whole},
		{"surge beyond one pool", 150, whole},
		{"base after the surge", 70, whole},
		{"cheapest pool out", 70, [3]float64{0, 60, 40}},
		{"base after the outage", 70, whole},
		{"flood", 2000, whole},
		{"base after the flood", 70, whole},
	}
}

func prices() [3]float64 { return [3]float64{1, 3, 10} }

// optimum returns the answers per second and their cost if each pool is filled before the next dearer one, for the requests
// that did arrive.
func (p *phase) optimum(t *tally) (answers, cost float64) {
	left := t.requests / measured()
	for i, c := range p.capacity {
		n := min(left, c)
		answers, cost, left = answers+n, cost+n*prices()[i], left-n
	}
	return answers, cost
}

// pool refuses a request that would wait longer than waitLimit.
type pool struct {
	backlog float64
	at      time.Time
}

func (p *pool) take(capacity float64, now time.Time) bool {
	p.backlog = max(0, p.backlog-capacity*now.Sub(p.at).Seconds())
	p.at = now
	if p.backlog+1 > capacity*waitLimit.Seconds() {
		return false
	}
	p.backlog++
	return true
}

// tally counts one phase.
type tally struct {
	requests, answered, orders, cost float64
	// abnormal is the end of the last interval in which too few requests ran at the cheapest pool.
	abnormal time.Duration
}

// Experiment returns the experiment pools.
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name: "pools", Short: "Use of other versions while the upstreams of one refuse work", Run: run,
	}
}

func run(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	report := bencher.Report{
		Columns: []string{"entries", "policy", "phase", "answered", "cost", "orders", "normal-after"},
		XLabel:  "phase", YLabel: "answers as a share of the optimum",
	}
	for _, entries := range []int{3, 30, 330} {
		for _, c := range policies() {
			if err := ctx.Err(); err != nil {
				return report, fmt.Errorf("poolsbencher: %w", err)
			}
			line := bencher.Series{Name: c.name}
			for i, t := range simulate(p.Seed, entries, c) {
				addRow(&report, entries, c.name, &phases()[i], &t)
				answers, _ := phases()[i].optimum(&t)
				line.Points = append(line.Points, bencher.Point{X: float64(i), Y: t.answered / (answers * measured())})
			}
			if entries == 330 {
				report.Series = append(report.Series, line)
			}
		}
	}
	return report, nil
}

// measured is the time of a phase in seconds that is counted.
func measured() float64 { return (phaseTime - settling).Seconds() }

func addRow(report *bencher.Report, entries int, name string, p *phase, t *tally) {
	answers, cost := p.optimum(t)
	answered := t.answered / (answers * measured())
	// The cost of an answer is compared, because a refusal must not count as a saving.
	relative, price := t.cost/t.answered/(cost/answers), "-"
	if t.answered > 0 {
		price = fmt.Sprintf("%.3f", relative)
	}
	orders := t.orders / t.requests
	report.Rows = append(report.Rows, []string{
		strconv.Itoa(entries), name, p.name, fmt.Sprintf("%.3f", answered), price,
		fmt.Sprintf("%.3f", orders), t.abnormal.String(),
	})
	if name != chosen {
		return
	}
	bound := func(what string, got, limit float64, atMost bool) {
		report.Bounds = append(report.Bounds, bencher.Bound{
			Name: fmt.Sprintf("%s, %s, %d entries", what, p.name, entries), Measured: got, Limit: limit, AtMost: atMost,
		})
	}
	bound("goodput", answered, goodputLimit, false)
	bound("cost of the optimum", relative, costLimit, true)
	if t.requests/measured() > answers {
		bound("orders per request", orders, ordersLimit, true)
	}
	if p.demand <= p.capacity[0] {
		bound("seconds to normal", t.abnormal.Seconds(), recoveryLimit.Seconds(), true)
	}
}

// simulation is one run of all phases with independent entries.
type simulation struct {
	rng   *rand.Rand
	now   time.Time
	gates []gate
	pools [3]pool
}

// simulate returns the counts of each phase.
func simulate(seed uint64, entries int, c policy) []tally {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, uint64(entries))), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		gates: make([]gate, entries),
	}
	for i := range s.gates {
		s.gates[i] = c.make(func() time.Time { return s.now }, s.rng.Float64)
	}
	start := s.now
	tallies := make([]tally, 0, len(phases()))
	for i, p := range phases() {
		tallies = append(tallies, s.run(&p, start.Add(time.Duration(i)*phaseTime)))
	}
	return tallies
}

// run sends the requests of one phase.
func (s *simulation) run(p *phase, from time.Time) tally {
	t, intervalEnd, seen, cheap := tally{}, from.Add(interval), 0.0, 0.0
	for s.now = from; ; {
		s.now = s.now.Add(time.Duration(s.rng.ExpFloat64() / p.demand * float64(time.Second)))
		if !s.now.Before(from.Add(phaseTime)) {
			return t
		}
		if s.now.After(intervalEnd) {
			if seen > 0 && cheap/seen < normalShare {
				t.abnormal = intervalEnd.Sub(from)
			}
			seen, cheap = 0, 0
			for !s.now.Before(intervalEnd) {
				intervalEnd = intervalEnd.Add(interval)
			}
		}
		at, orders := place(&s.gates[s.rng.IntN(len(s.gates))], &s.pools, p, s.now)
		seen++
		if at == 0 {
			cheap++
		}
		if s.now.Sub(from) >= settling {
			t.add(at, orders)
		}
	}
}

// add counts a request that ran at the pool at, or nowhere if it is negative.
func (t *tally) add(at, orders int) {
	t.requests++
	t.orders += float64(orders)
	if at >= 0 {
		t.answered++
		t.cost += prices()[at]
	}
}

// place offers one request to the pools, the cheapest first, and returns the one that took it, or -1. If no pool is to be
// offered anything, the cheapest one decides, as an agent does by rank and account.
func place(g *gate, pools *[3]pool, p *phase, now time.Time) (at, orders int) {
	try := func(i int) bool {
		orders++
		taken := pools[i].take(p.capacity[i], now)
		g.ended(i, !taken)
		return taken
	}
	for i := range pools {
		if orders == g.targets {
			break
		}
		if g.offer(i) && try(i) {
			return i, orders
		}
	}
	if orders == 0 && try(0) {
		return 0, orders
	}
	return -1, orders
}
