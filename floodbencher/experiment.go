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
	// settling is left out at the beginning of a flood when shares are measured, since work from before still runs.
	settling = 5 * time.Second
	// recovery is the time after a flood within which service must be normal.
	recovery = 10 * time.Second
	// before is left out ahead of the second flood and of the end, which cut off the calls sent shortly before.
	before = 5 * time.Second
)

const (
	urgent = 0
	batch  = 2
)

func shape() batchfaker.SpeedProfile {
	return batchfaker.SpeedProfile{Knee: 32, Step: 25 * time.Millisecond, Slope: 0.05, PrefillChunk: 128}
}

// loads selects the calls of a run.
type loads int

const (
	baseLoadAndFloods loads = iota
	baseLoad
	urgentAlone
)

type variant struct {
	loads   loads
	naive   bool
	fleet   bool   // several engines behind entries
	bind    bool   // the entries bind late
	routing uint64 // selects the random choices of the entries
	options []admitter.Option
}

// result is what one variant measured.
type result struct {
	t      *traffic
	start  time.Time
	budget []*limiter.Budget
	fleet  *fleet
}

func simulate(seed uint64, v variant) *result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	loop := batchfaker.NewLoop(start)
	s := shape()
	engine := batchfaker.NewEngine(loop, s)
	t := &traffic{loop: loop, rng: rand.New(rand.NewPCG(seed, 1)), shape: s, start: start}
	r := &result{t: t, start: start}
	if v.naive {
		t.sink = &batchfaker.FIFO{Engine: engine, Slots: s.Knee}
	} else {
		for range kinds() {
			r.budget = append(r.budget, limiter.NewBudget(limiter.WithNow(loop.Now)))
		}
		t.budget = func(k int) *limiter.Budget { return r.budget[k] }
	}
	switch {
	case v.naive:
	case v.fleet:
		r.fleet = newFleet(loop, seed, v.routing, v.bind, v.options)
		t.sink = r.fleet
	default:
		opts := append([]admitter.Option{
			admitter.WithRanks(ranks()), admitter.WithSlots(s.Knee), admitter.WithNow(loop.Now),
		}, v.options...)
		t.sink = batchfaker.NewAgent(loop, engine, admitter.New(opts...))
	}
	if v.loads == urgentAlone {
		t.arrivals(urgent, kinds()[urgent].baseLoad, 0, end)
	} else {
		for k, kd := range kinds() {
			t.arrivals(k, kd.baseLoad, 0, end)
		}
	}
	if v.loads == baseLoadAndFloods {
		t.arrivals(batch, overflow, batchFrom, batchTo)
		t.arrivals(urgent, overflow, urgentFrom, urgentTo)
	}
	loop.Run(start.Add(end))
	return r
}

// inPhase lists the calls of a kind that were sent in an interval.
func (r *result) inPhase(k int, from, to time.Duration) []*call {
	var list []*call
	for _, c := range r.t.calls {
		if at := c.sentAt.Sub(r.start); c.kind == k && at >= from && at < to {
			list = append(list, c)
		}
	}
	return list
}

// latency returns the 95th percentiles of the time to the first token, from the last attempt, and between tokens.
func latency(calls []*call) (first, between float64) {
	var waits, gaps []float64
	for _, c := range calls {
		if !c.firstAt.IsZero() {
			waits = append(waits, c.wait)
		}
		if !c.doneAt.IsZero() {
			gaps = append(gaps, c.between)
		}
	}
	return batchfaker.Quantile(waits, 0.95), batchfaker.Quantile(gaps, 0.95)
}

func answered(calls []*call) float64 {
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

// share returns the part of the capacity in an interval that produced answers of a kind in time; k < 0 means all kinds.
// A call counts in proportion to the part of its run inside the interval.
func (r *result) share(k int, from, to time.Duration) float64 {
	steps := 0.0
	for _, c := range r.t.calls {
		if k >= 0 && c.kind != k || c.doneAt.IsZero() || c.doneAt.After(c.deadline) {
			continue
		}
		a, b := c.firstAt.Sub(r.start), c.doneAt.Sub(r.start)
		if inside := min(b, to) - max(a, from); inside > 0 {
			steps += c.steps * float64(inside) / float64(b-a)
		}
	}
	return steps / (shape().Capacity() * (to - from).Seconds())
}

// recovered returns the seconds from the end of a flood until the last sign of it: a call that was refused, or whose
// first token came later than any of its kind before the flood and later than in the runs of the same calls without
// floods. Without the second condition a chance burst of the base load half a minute later would count as overload.
func (r *result) recovered(alone reference, from, to, until time.Duration) float64 {
	last := to
	for k := range kinds() {
		worst := 0.0
		for _, c := range r.inPhase(k, 10*time.Second, batchFrom-10*time.Second) {
			worst = max(worst, c.firstAt.Sub(c.sentAt).Seconds())
		}
		for _, c := range r.inPhase(k, from, until) {
			sent := c.sentAt.Sub(r.start)
			if sent < to {
				continue
			}
			first := until.Seconds() // a call without a first token
			if !c.firstAt.IsZero() {
				first = c.firstAt.Sub(c.sentAt).Seconds()
			}
			if a, ok := alone[c.id]; ok && first > tolerance*max(worst, a) {
				last = max(last, sent)
			}
		}
	}
	return (last - to).Seconds()
}

// tolerance widens the times to the first token with which calls after a flood are compared.
const tolerance = 1.5

// maxSends bounds the orders that late binding sends for a call in an overload, like the 10% that bound retries.
const maxSends = 1.1

func run(_ context.Context, p bencher.Params) (bencher.Report, error) {
	unloaded := simulate(p.Seed, variant{loads: urgentAlone})
	calm := make(reference)
	calm.add(simulate(p.Seed, variant{loads: baseLoad}), 0)
	calmFleet := referenceOfFleet(p.Seed)
	routed := simulate(p.Seed, variant{})
	late := simulate(p.Seed, variant{fleet: true, bind: true})
	variants := []struct {
		name string
		r    *result
		calm reference
	}{
		{"routed", routed, calm},
		{"late binding, 4 engines", late, calmFleet},
		{"no late binding, 4 engines", simulate(p.Seed, variant{fleet: true}), calmFleet},
		{"without estimates", simulate(p.Seed, variant{options: []admitter.Option{admitter.WithoutEstimates()}}), calm},
		{"without shrinking timeouts", simulate(p.Seed, variant{options: []admitter.Option{admitter.WithQueueTimeoutFactor(1)}}), calm},
		{"first come first served", simulate(p.Seed, variant{naive: true}), calm},
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
		{"urgent", urgentFrom, urgentTo}, {"over", urgentTo + recovery, end - 5*time.Second},
	}
	baseFirst, baseBetween := latency(unloaded.inPhase(urgent, 0, end))
	report.Rows = append(report.Rows, []string{
		"urgent alone", "none", "urgent", strconv.Itoa(len(unloaded.t.calls)),
		fmt.Sprintf("%.3f", answered(unloaded.inPhase(urgent, 0, end-5*time.Second))),
		fmt.Sprintf("%.3f", baseFirst), fmt.Sprintf("%.4f", baseBetween), "",
	})
	for _, v := range variants {
		for _, ph := range phases {
			for k, kd := range kinds() {
				calls := v.r.inPhase(k, ph.from, ph.to)
				first, between := latency(calls)
				report.Rows = append(report.Rows, []string{
					v.name, ph.name, string(kd.rank.Name), strconv.Itoa(len(calls)), fmt.Sprintf("%.3f", answered(calls)),
					fmt.Sprintf("%.3f", first), fmt.Sprintf("%.4f", between),
					fmt.Sprintf("%.3f", v.r.share(k, ph.from+settling, ph.to)),
				})
			}
		}
		report.Rows = append(report.Rows, []string{
			v.name, "goodput", "batch / urgent flood", "", "", "", "", fmt.Sprintf("%.3f / %.3f",
				v.r.share(-1, batchFrom+settling, batchTo), v.r.share(-1, urgentFrom+settling, urgentTo)),
		}, []string{
			v.name, "recovery (s)", "batch / urgent flood", "", "", "", "", fmt.Sprintf("%.1f / %.1f",
				v.r.recovered(v.calm, batchFrom, batchTo, urgentFrom-before), v.r.recovered(v.calm, urgentFrom, urgentTo, end-before)),
		})
		report.Series = append(report.Series, v.r.series(v.name))
	}
	report.Bounds = append(bounds(routed, calm, baseFirst, baseBetween),
		bencher.Bound{
			Name: "late binding: orders sent / call in the batch flood", Measured: late.fleet.sends(batchFrom, batchTo),
			Limit: maxSends, AtMost: true,
		}, bencher.Bound{
			Name: "late binding: orders sent / call in the urgent flood", Measured: late.fleet.sends(urgentFrom, urgentTo),
			Limit: maxSends, AtMost: true,
		})
	for _, b := range bounds(late, calmFleet, baseFirst, baseBetween) {
		b.Name = "4 engines: " + b.Name
		report.Bounds = append(report.Bounds, b)
	}
	report.Rows = append(report.Rows, []string{
		"late binding, 4 engines", "orders sent / call", "no / batch / urgent flood", "", "", "", "", fmt.Sprintf("%.3f / %.3f / %.3f",
			late.fleet.sends(0, batchFrom), late.fleet.sends(batchFrom, batchTo), late.fleet.sends(urgentFrom, urgentTo)),
	})
	return report, nil
}

func bounds(r *result, calm reference, baseFirst, baseBetween float64) []bencher.Bound {
	atMost := func(name string, got, limit float64) bencher.Bound {
		return bencher.Bound{Name: name, Measured: got, Limit: limit, AtMost: true}
	}
	atLeast := func(name string, got, limit float64) bencher.Bound {
		return bencher.Bound{Name: name, Measured: got, Limit: limit}
	}
	bFirst, bBetween := latency(r.inPhase(urgent, batchFrom, batchTo))
	uFirst, uBetween := latency(r.inPhase(urgent, urgentFrom, urgentTo))
	target := kinds()[urgent].rank
	// A budget starts with one retry, and its floor adds 0.2 a second; the rest must come from successes.
	retries, earned := 0.0, 0.0
	for _, b := range r.budget {
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
		atLeast("goodput in the batch flood / capacity", r.share(-1, batchFrom+settling, batchTo), 0.95),
		atLeast("goodput in the urgent flood / capacity", r.share(-1, urgentFrom+settling, urgentTo), 0.95),
		atMost("recovery from the batch flood (s)", r.recovered(calm, batchFrom, batchTo, urgentFrom-before), recovery.Seconds()),
		atMost("recovery from the urgent flood (s)", r.recovered(calm, urgentFrom, urgentTo, end-before), recovery.Seconds()),
		atMost("retries / retries earned", retries/earned, 1),
	}
	list[len(list)-1].Invariant = true
	for k, kd := range kinds() {
		if kd.rank.Floor > 0 {
			list = append(list, atLeast(fmt.Sprintf("share of %s in the urgent flood / floor", kd.rank.Name),
				r.share(k, urgentFrom+settling, urgentTo)/kd.rank.Floor, 1))
		}
	}
	// In the batch flood the normal rank asks for more than its floor and goes first, so it keeps at least the floor.
	return append(list, atLeast("share of normal in the batch flood / floor",
		r.share(1, batchFrom+settling, batchTo)/kinds()[1].rank.Floor, 1))
}

// series is the mean time to the first token of urgent calls by the second in which they were sent.
func (r *result) series(name string) bencher.Series {
	s := bencher.Series{Name: name}
	sum, n := make([]float64, int(end.Seconds())), make([]float64, int(end.Seconds()))
	for _, c := range r.t.calls {
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
