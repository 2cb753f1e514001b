package floodbencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/limiter"
)

// Experiment returns the experiment flood.
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name:  "flood",
		Short: "Overload by batch work and then by urgent work at ten times the capacity",
		Run:   run,
	}
}

// The phases of a run: base load, a flood of batch work, base load, a flood of urgent work, base load.
const (
	batchFrom  = 60 * time.Second
	batchTo    = 120 * time.Second
	urgentFrom = 160 * time.Second
	urgentTo   = 220 * time.Second
	end        = 280 * time.Second
	// settlingTime is the start of a flood that is excluded from shares of the capacity, because earlier calls still run.
	settlingTime = 5 * time.Second
	// maxRecovery is the stated limit of the time after a flood until the service is normal.
	maxRecovery = 10 * time.Second
	// cutOffMargin is the time before the second flood and before the end of the run that is excluded from recovery times,
	// because both cut off calls that were sent shortly before.
	cutOffMargin = 5 * time.Second
)

// Indices in kinds of the ranks that flood the engine.
const (
	urgent = 0
	batch  = 2
)

func speedProfile() batchfaker.SpeedProfile {
	return batchfaker.SpeedProfile{Knee: 32, Step: 25 * time.Millisecond, Slope: 0.05, PrefillChunk: 128}
}

// callSelection selects which calls a run simulates.
type callSelection int

const (
	baseLoadAndFloods callSelection = iota
	baseLoad
	urgentOnly
)

// variant selects the calls and the router of a run.
type variant struct {
	calls       callSelection
	fifo        bool   // a FIFO queue and fixed retries instead of admission
	fleet       bool   // several engines behind entries
	lateBinding bool   // the entries give orders a start deadline
	routingSeed uint64 // selects the random choices of the entries
	options     []admitter.Option
}

// result holds the records of one run.
type result struct {
	traffic *traffic
	start   time.Time
	budgets []*limiter.Budget
	fleet   *fleet
}

func simulate(seed uint64, v variant) *result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	loop := batchfaker.NewLoop(start)
	s := speedProfile()
	engine := batchfaker.NewEngine(loop, s)
	t := &traffic{loop: loop, rng: rand.New(rand.NewPCG(seed, 1)), shape: s, start: start}
	r := &result{traffic: t, start: start}
	if v.fifo {
		t.sink = &batchfaker.FIFO{Engine: engine, Slots: s.Knee}
	} else {
		for range kinds() {
			r.budgets = append(r.budgets, limiter.NewBudget(limiter.WithNow(loop.Now)))
		}
		t.budget = func(k int) *limiter.Budget { return r.budgets[k] }
	}
	switch {
	case v.fifo:
	case v.fleet:
		r.fleet = newFleet(loop, seed, v.routingSeed, v.lateBinding, v.options)
		t.sink = r.fleet
	default:
		opts := append([]admitter.Option{
			admitter.WithRanks(ranks()), admitter.WithSlots(s.Knee), admitter.WithNow(loop.Now),
		}, v.options...)
		t.sink = batchfaker.NewAgent(loop, engine, admitter.New(opts...))
	}
	if v.calls == urgentOnly {
		t.scheduleCalls(urgent, kinds()[urgent].baseLoad, 0, end)
	} else {
		for k, kd := range kinds() {
			t.scheduleCalls(k, kd.baseLoad, 0, end)
		}
	}
	if v.calls == baseLoadAndFloods {
		t.scheduleCalls(batch, floodLoad, batchFrom, batchTo)
		t.scheduleCalls(urgent, floodLoad, urgentFrom, urgentTo)
	}
	loop.Run(start.Add(end))
	return r
}

// callsSent lists the calls of a kind that were sent in an interval.
func (r *result) callsSent(k int, from, to time.Duration) []*call {
	var list []*call
	for _, c := range r.traffic.calls {
		if at := c.sentAt.Sub(r.start); c.kind == k && at >= from && at < to {
			list = append(list, c)
		}
	}
	return list
}

// latencyP95 returns the 95th percentiles of the time to the first token, counted from the last attempt before it, and of the
// time between tokens.
func latencyP95(calls []*call) (first, between float64) {
	var firstTokenTimes, tokenIntervals []float64
	for _, c := range calls {
		if !c.firstAt.IsZero() {
			firstTokenTimes = append(firstTokenTimes, c.firstTokenSeconds)
		}
		if !c.doneAt.IsZero() {
			tokenIntervals = append(tokenIntervals, c.tokenIntervalSeconds)
		}
	}
	return batchfaker.Quantile(firstTokenTimes, 0.95), batchfaker.Quantile(tokenIntervals, 0.95)
}

func answeredShare(calls []*call) float64 {
	if len(calls) == 0 {
		return 0
	}
	n := 0
	for _, c := range calls {
		if !c.doneAt.IsZero() && !c.doneAt.After(c.deadline) {
			n++
		}
	}
	return float64(n) / float64(len(calls))
}

// capacityShare returns the share of the capacity in an interval that went into answers of a kind that met their deadline; k < 0
// means all kinds. A call counts in proportion to the part of its run inside the interval.
func (r *result) capacityShare(k int, from, to time.Duration) float64 {
	usefulSteps := 0.0
	for _, c := range r.traffic.calls {
		if k >= 0 && c.kind != k || c.doneAt.IsZero() || c.doneAt.After(c.deadline) {
			continue
		}
		a, b := c.firstAt.Sub(r.start), c.doneAt.Sub(r.start)
		if inside := min(b, to) - max(a, from); inside > 0 {
			usefulSteps += c.steps * float64(inside) / float64(b-a)
		}
	}
	return usefulSteps / (speedProfile().Capacity() * (to - from).Seconds())
}

// recoveryTime returns the seconds from the end of a flood until the last call that shows overload: one without a first token,
// or whose first token took longer than any of its kind before the first flood and longer than in the runs of the same calls
// without floods, each with firstTokenTolerance. Without the second condition a chance burst of the base load half a minute
// after the flood would count as overload.
func (r *result) recoveryTime(withoutFloods reference, from, to, until time.Duration) float64 {
	last := to
	for k := range kinds() {
		worstBefore := 0.0
		for _, c := range r.callsSent(k, 10*time.Second, batchFrom-10*time.Second) {
			worstBefore = max(worstBefore, c.firstAt.Sub(c.sentAt).Seconds())
		}
		for _, c := range r.callsSent(k, from, until) {
			sent := c.sentAt.Sub(r.start)
			if sent < to {
				continue
			}
			first := until.Seconds() // a call without a first token
			if !c.firstAt.IsZero() {
				first = c.firstAt.Sub(c.sentAt).Seconds()
			}
			if without, ok := withoutFloods[c.id]; ok && first > firstTokenTolerance*max(worstBefore, without) {
				last = max(last, sent)
			}
		}
	}
	return (last - to).Seconds()
}

// firstTokenTolerance is the factor on the times to the first token with which calls after a flood are compared.
const firstTokenTolerance = 1.5

// maxOrdersPerCall bounds the orders that late binding sends per call in an overload. It equals the bound of retries, 10%.
const maxOrdersPerCall = 1.1

func run(_ context.Context, p bencher.Params) (bencher.Report, error) {
	unloaded := simulate(p.Seed, variant{calls: urgentOnly})
	withoutFloods := make(reference)
	withoutFloods.add(simulate(p.Seed, variant{calls: baseLoad}), 0)
	fleetWithoutFloods := referenceOfFleet(p.Seed)
	routed := simulate(p.Seed, variant{})
	lateBound := simulate(p.Seed, variant{fleet: true, lateBinding: true})
	variants := []struct {
		name string
		r    *result
		calm reference
	}{
		{"routed", routed, withoutFloods},
		{"late binding, 4 engines", lateBound, fleetWithoutFloods},
		{"no late binding, 4 engines", simulate(p.Seed, variant{fleet: true}), fleetWithoutFloods},
		{"without estimates", simulate(p.Seed, variant{options: []admitter.Option{admitter.WithoutEstimates()}}), withoutFloods},
		{"without shrinking timeouts", simulate(p.Seed, variant{options: []admitter.Option{admitter.WithQueueTimeoutFactor(1)}}), withoutFloods},
		{"first come first served", simulate(p.Seed, variant{fifo: true}), withoutFloods},
	}
	report := bencher.Report{
		Columns: []string{"policy", "flood", "rank", "calls", "answered", "first token p95 (s)", "between tokens p95 (s)", "share"},
		XLabel:  "time (s)", YLabel: "time to first token (s)",
	}
	phases := []struct {
		name     string
		from, to time.Duration
	}{
		{"none", 10 * time.Second, batchFrom - 10*time.Second}, {"batch", batchFrom, batchTo},
		{"urgent", urgentFrom, urgentTo}, {"over", urgentTo + maxRecovery, end - 5*time.Second},
	}
	baseFirst, baseBetween := latencyP95(unloaded.callsSent(urgent, 0, end))
	report.Rows = append(report.Rows, []string{
		"urgent alone", "none", "urgent", strconv.Itoa(len(unloaded.traffic.calls)),
		fmt.Sprintf("%.3f", answeredShare(unloaded.callsSent(urgent, 0, end-5*time.Second))),
		fmt.Sprintf("%.3f", baseFirst), fmt.Sprintf("%.4f", baseBetween), "",
	})
	for _, v := range variants {
		for _, ph := range phases {
			for k, kd := range kinds() {
				calls := v.r.callsSent(k, ph.from, ph.to)
				first, between := latencyP95(calls)
				report.Rows = append(report.Rows, []string{
					v.name, ph.name, string(kd.rank.Name), strconv.Itoa(len(calls)), fmt.Sprintf("%.3f", answeredShare(calls)),
					fmt.Sprintf("%.3f", first), fmt.Sprintf("%.4f", between),
					fmt.Sprintf("%.3f", v.r.capacityShare(k, ph.from+settlingTime, ph.to)),
				})
			}
		}
		report.Rows = append(report.Rows, []string{
			v.name, "goodput", "batch / urgent flood", "", "", "", "", fmt.Sprintf("%.3f / %.3f",
				v.r.capacityShare(-1, batchFrom+settlingTime, batchTo), v.r.capacityShare(-1, urgentFrom+settlingTime, urgentTo)),
		}, []string{
			v.name, "recovery (s)", "batch / urgent flood", "", "", "", "", fmt.Sprintf("%.1f / %.1f",
				v.r.recoveryTime(v.calm, batchFrom, batchTo, urgentFrom-cutOffMargin), v.r.recoveryTime(v.calm, urgentFrom, urgentTo, end-cutOffMargin)),
		})
		report.Series = append(report.Series, v.r.series(v.name))
	}
	report.Bounds = append(bounds(routed, withoutFloods, baseFirst, baseBetween),
		bencher.Bound{
			Name: "late binding: orders sent / call in the batch flood", Measured: lateBound.fleet.ordersPerCall(batchFrom, batchTo),
			Limit: maxOrdersPerCall, AtMost: true,
		}, bencher.Bound{
			Name: "late binding: orders sent / call in the urgent flood", Measured: lateBound.fleet.ordersPerCall(urgentFrom, urgentTo),
			Limit: maxOrdersPerCall, AtMost: true,
		})
	for _, b := range bounds(lateBound, fleetWithoutFloods, baseFirst, baseBetween) {
		b.Name = "4 engines: " + b.Name
		report.Bounds = append(report.Bounds, b)
	}
	report.Rows = append(report.Rows, []string{
		"late binding, 4 engines", "orders sent / call", "no / batch / urgent flood", "", "", "", "", fmt.Sprintf("%.3f / %.3f / %.3f",
			lateBound.fleet.ordersPerCall(0, batchFrom), lateBound.fleet.ordersPerCall(batchFrom, batchTo), lateBound.fleet.ordersPerCall(urgentFrom, urgentTo)),
	})
	return report, nil
}

func bounds(r *result, withoutFloods reference, baseFirst, baseBetween float64) []bencher.Bound {
	atMost := func(name string, got, limit float64) bencher.Bound {
		return bencher.Bound{Name: name, Measured: got, Limit: limit, AtMost: true}
	}
	atLeast := func(name string, got, limit float64) bencher.Bound {
		return bencher.Bound{Name: name, Measured: got, Limit: limit}
	}
	bFirst, bBetween := latencyP95(r.callsSent(urgent, batchFrom, batchTo))
	uFirst, uBetween := latencyP95(r.callsSent(urgent, urgentFrom, urgentTo))
	target := kinds()[urgent].rank
	// A retry budget starts with one retry and gains 0.2 retries per second; all others must be earned by successes, at 0.1 each.
	retries, earned := 0.0, 0.0
	for _, b := range r.budgets {
		c := b.Counters()
		retries += float64(c["retries-allowed"])
		earned += 1 + 0.1*float64(c["successes"]) + 0.2*end.Seconds()
	}
	list := []bencher.Bound{
		atMost("urgent first token p95 in the batch flood (s)", bFirst, target.FirstToken.Seconds()),
		atMost("urgent between tokens p95 in the batch flood (s)", bBetween, target.BetweenTokens.Seconds()),
		atMost("urgent first token p95 in the batch flood / unloaded", bFirst/baseFirst, 1.1),
		atMost("urgent between tokens p95 in the batch flood / unloaded", bBetween/baseBetween, 1.1),
		atMost("urgent first token p95 in the urgent flood (s)", uFirst, target.FirstToken.Seconds()),
		atMost("urgent between tokens p95 in the urgent flood (s)", uBetween, target.BetweenTokens.Seconds()),
		atLeast("goodput in the batch flood / capacity", r.capacityShare(-1, batchFrom+settlingTime, batchTo), 0.95),
		atLeast("goodput in the urgent flood / capacity", r.capacityShare(-1, urgentFrom+settlingTime, urgentTo), 0.95),
		atMost("recovery from the batch flood (s)", r.recoveryTime(withoutFloods, batchFrom, batchTo, urgentFrom-cutOffMargin), maxRecovery.Seconds()),
		atMost("recovery from the urgent flood (s)", r.recoveryTime(withoutFloods, urgentFrom, urgentTo, end-cutOffMargin), maxRecovery.Seconds()),
		atMost("retries / retries earned", retries/earned, 1),
	}
	list[len(list)-1].Invariant = true
	for k, kd := range kinds() {
		if kd.rank.Floor > 0 {
			list = append(list, atLeast(fmt.Sprintf("share of %s in the urgent flood / floor", kd.rank.Name),
				r.capacityShare(k, urgentFrom+settlingTime, urgentTo)/kd.rank.Floor, 1))
		}
	}
	// In the batch flood the normal rank demands more than its floor and precedes batch, so it must get at least the floor.
	return append(list, atLeast("share of normal in the batch flood / floor",
		r.capacityShare(1, batchFrom+settlingTime, batchTo)/kinds()[1].rank.Floor, 1))
}

// series returns the mean time to the first token of urgent calls by the second in which they were sent.
func (r *result) series(name string) bencher.Series {
	s := bencher.Series{Name: name}
	sum, n := make([]float64, int(end.Seconds())), make([]float64, int(end.Seconds()))
	for _, c := range r.traffic.calls {
		if i := int(c.sentAt.Sub(r.start).Seconds()); c.kind == urgent && !c.firstAt.IsZero() {
			sum[i] += c.firstAt.Sub(c.sentAt).Seconds()
			n[i]++
		}
	}
	for i := range sum {
		if n[i] > 0 {
			s.Points = append(s.Points, bencher.Point{X: float64(i), Y: sum[i] / n[i]})
		}
	}
	return s
}
