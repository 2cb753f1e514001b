package poolsbencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/bencher"
)

// The limits of the stated target: goodput as a share of the capacity, cost relative to the optimum, time until the service is
// normal again, and orders per request. The orders beyond the first may reach the share of successes that bounds retries, 10%.
const (
	minGoodput          = 0.95
	maxCostRatio        = 1.05
	maxRecovery         = 10 * time.Second
	maxOrdersPerRequest = 1.1
)

const (
	// phaseDuration is the length of each phase. settlingTime at its start is not measured, because queues fill and entries
	// adapt.
	phaseDuration = 60 * time.Second
	settlingTime  = 5 * time.Second
	// maxWait is the waiting time above which a pool refuses a request.
	maxWait = 300 * time.Millisecond
	// recoveryInterval is the length of the intervals by which the time until the service is normal is measured.
	recoveryInterval = time.Second
	// minNormalShare is the share of the requests of an interval that the cheapest pool must answer for the service to count as
	// normal.
	minNormalShare = 0.95
)

func poolNames() []string { return []string{"cheap", "middle", "dear"} }

// phase is a period of constant demand and capacity.
type phase struct {
	name string
	// demand is in requests per second, and so is the capacity of each pool.
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

// optimum returns the answers per second and their cost if the requests that arrived fill each pool before the next more
// expensive one.
func (p *phase) optimum(t *phaseCounts) (answers, cost float64) {
	left := t.requests / measuredSeconds()
	for i, c := range p.capacity {
		n := min(left, c)
		answers, cost, left = answers+n, cost+n*prices()[i], left-n
	}
	return answers, cost
}

// pool is the queue of one version, in requests; it refuses a request that would wait longer than maxWait.
type pool struct {
	backlog   float64
	updatedAt time.Time
}

// accept reports whether the pool accepts a request, and queues it if so.
func (p *pool) accept(capacity float64, now time.Time) bool {
	p.backlog = max(0, p.backlog-capacity*now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
	if p.backlog+1 > capacity*maxWait.Seconds() {
		return false
	}
	p.backlog++
	return true
}

// phaseCounts counts the requests of one phase after settlingTime.
type phaseCounts struct {
	requests, answered, orders, cost float64
	// normalAfter is the time from the start of the phase to the end of the last interval in which the cheapest pool answered
	// fewer than minNormalShare of the requests.
	normalAfter time.Duration
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
				line.Points = append(line.Points, bencher.Point{X: float64(i), Y: t.answered / (answers * measuredSeconds())})
			}
			if entries == 330 {
				report.Series = append(report.Series, line)
			}
		}
	}
	return report, nil
}

// measuredSeconds returns the measured time of a phase in seconds.
func measuredSeconds() float64 { return (phaseDuration - settlingTime).Seconds() }

func addRow(report *bencher.Report, entries int, name string, p *phase, t *phaseCounts) {
	answers, cost := p.optimum(t)
	answered := t.answered / (answers * measuredSeconds())
	// The cost per answer is compared, because a refusal must not count as a saving.
	relative, price := t.cost/t.answered/(cost/answers), "-"
	if t.answered > 0 {
		price = fmt.Sprintf("%.3f", relative)
	}
	orders := t.orders / t.requests
	report.Rows = append(report.Rows, []string{
		strconv.Itoa(entries), name, p.name, fmt.Sprintf("%.3f", answered), price,
		fmt.Sprintf("%.3f", orders), t.normalAfter.String(),
	})
	if name != redirectorName {
		return
	}
	bound := func(what string, got, limit float64, atMost bool) {
		report.Bounds = append(report.Bounds, bencher.Bound{
			Name: fmt.Sprintf("%s, %s, %d entries", what, p.name, entries), Measured: got, Limit: limit, AtMost: atMost,
		})
	}
	bound("goodput", answered, minGoodput, false)
	bound("cost of the optimum", relative, maxCostRatio, true)
	if t.requests/measuredSeconds() > answers {
		bound("orders per request", orders, maxOrdersPerRequest, true)
	}
	if p.demand <= p.capacity[0] {
		bound("seconds to normal", t.normalAfter.Seconds(), maxRecovery.Seconds(), true)
	}
}

// simulation is the state of one run of all phases, with entries that share no state.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	entries []entryPolicy
	pools   [3]pool
}

// simulate runs all phases and returns the counts of each.
func simulate(seed uint64, entries int, c policy) []phaseCounts {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, uint64(entries))), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		entries: make([]entryPolicy, entries),
	}
	for i := range s.entries {
		s.entries[i] = c.newEntryPolicy(func() time.Time { return s.now }, s.rng.Float64)
	}
	start := s.now
	tallies := make([]phaseCounts, 0, len(phases()))
	for i, p := range phases() {
		tallies = append(tallies, s.run(&p, start.Add(time.Duration(i)*phaseDuration)))
	}
	return tallies
}

// run sends the requests of one phase and returns its counts.
func (s *simulation) run(p *phase, from time.Time) phaseCounts {
	t, intervalEnd, requests, atCheapest := phaseCounts{}, from.Add(recoveryInterval), 0.0, 0.0
	for s.now = from; ; {
		s.now = s.now.Add(time.Duration(s.rng.ExpFloat64() / p.demand * float64(time.Second)))
		if !s.now.Before(from.Add(phaseDuration)) {
			return t
		}
		if s.now.After(intervalEnd) {
			if requests > 0 && atCheapest/requests < minNormalShare {
				t.normalAfter = intervalEnd.Sub(from)
			}
			requests, atCheapest = 0, 0
			for !s.now.Before(intervalEnd) {
				intervalEnd = intervalEnd.Add(recoveryInterval)
			}
		}
		at, orders := offerToPools(&s.entries[s.rng.IntN(len(s.entries))], &s.pools, p, s.now)
		requests++
		if at == 0 {
			atCheapest++
		}
		if s.now.Sub(from) >= settlingTime {
			t.add(at, orders)
		}
	}
}

// add counts a request that the pool with index at answered, or that all pools refused if at is negative.
func (t *phaseCounts) add(at, orders int) {
	t.requests++
	t.orders += float64(orders)
	if at >= 0 {
		t.answered++
		t.cost += prices()[at]
	}
}

// offerToPools offers one request to the pools, the cheapest first, and returns the index of the one that accepted it, or -1. If
// the entry would offer it to no pool, the cheapest pool is asked and decides, as an agent does by rank and client account.
func offerToPools(entry *entryPolicy, pools *[3]pool, p *phase, now time.Time) (at, orders int) {
	try := func(i int) bool {
		orders++
		taken := pools[i].accept(p.capacity[i], now)
		entry.recordOutcome(i, !taken)
		return taken
	}
	for i := range pools {
		if orders == entry.maxOrders {
			break
		}
		if entry.mayOffer(i) && try(i) {
			return i, orders
		}
	}
	if orders == 0 && try(0) {
		return 0, orders
	}
	return -1, orders
}
