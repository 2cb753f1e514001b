package faultsbencher

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/bencher"
)

const (
	defaultSchedules = 1000
	inForceAim       = 2 * time.Second
	gcPercent        = 400
)

// Experiment returns the experiment "faults".
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name: "faults", Short: "Run random fault schedules and count broken invariants", Run: run,
	}
}

// total sums up the outcomes of many schedules.
type total struct {
	schedules int
	checked   map[Invariant]int
	broken    map[Invariant]int
	first     map[Invariant]string
	kinds     map[Kind]*kindTotal
}

type kindTotal struct {
	schedules, unknown, bothDied      int
	lease                             time.Duration
	answers, force, detected, leaving []time.Duration
}

func run(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	t := &total{
		checked: map[Invariant]int{}, broken: map[Invariant]int{}, first: map[Invariant]string{}, kinds: map[Kind]*kindTotal{},
	}
	// Each schedule has a small live heap of its own, so a larger target saves most of the collections.
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	// The clock bounds only how many schedules run; each one is determined by its seed.
	stop := time.Now().Add(p.Duration)
	for first := uint64(0); ctx.Err() == nil; first += defaultSchedules {
		t.batch(ctx, p.Seed<<32+first)
		if !time.Now().Before(stop) {
			break
		}
	}
	if err := ctx.Err(); err != nil {
		return bencher.Report{}, fmt.Errorf("faultsbencher: %w", err)
	}
	return t.report(), nil
}

// batch runs the default number of schedules, one per processor at a time, and adds them in the order of their seeds.
func (t *total) batch(ctx context.Context, seed uint64) {
	outcomes := make([]Outcome, defaultSchedules)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < defaultSchedules && ctx.Err() == nil; i = next.Add(1) - 1 {
				outcomes[i] = Run(seed+uint64(i), Kinds(), Overrides{})
			}
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		return
	}
	for i, o := range outcomes {
		t.add(seed+uint64(i), o)
	}
}

func (t *total) add(seed uint64, o Outcome) {
	t.schedules++
	for _, i := range Invariants() {
		t.checked[i] += o.Checked[i]
		t.broken[i] += len(o.Broken[i])
		if len(o.Broken[i]) > 0 && t.first[i] == "" {
			t.first[i] = fmt.Sprintf("seed %d (%s), %s", seed, o.Kind, o.Broken[i][0])
		}
	}
	k, ok := t.kinds[o.Kind]
	if !ok {
		k = &kindTotal{}
		t.kinds[o.Kind] = k
	}
	k.schedules++
	k.unknown += o.Unknown
	k.bothDied += o.BillsLostWithHolders
	k.lease = max(k.lease, o.LeaseGap)
	k.answers = append(k.answers, o.AnswerTimes...)
	k.force = append(k.force, o.InForceTimes...)
	k.detected = append(k.detected, o.CrashDetectionTimes...)
	k.leaving = append(k.leaving, o.LeaveDetectionTimes...)
}

func (t *total) report() bencher.Report {
	r := bencher.Report{XLabel: "quantile", YLabel: "time until a revision is in force, s", Columns: []string{
		"fault", "schedules", "checked", "broken", "lease gap max", "answer p99", "unknown", "in force p99", "in force max",
		"crash known max", "leaving known max", "bills lost, all holders dead",
	}}
	for _, i := range Invariants() {
		row := make([]string, len(r.Columns))
		row[0], row[1] = string(i), strconv.Itoa(t.schedules)
		row[2], row[3] = strconv.Itoa(t.checked[i]), strconv.Itoa(t.broken[i])
		row[4] = t.first[i]
		r.Rows = append(r.Rows, row)
		r.Bounds = append(r.Bounds, bencher.Bound{
			Name: string(i), Measured: float64(t.broken[i]), Limit: 0, AtMost: true, Invariant: true,
		}, bencher.Bound{
			// An invariant that was never checked would hold without meaning.
			Name: string(i) + " checks", Measured: float64(t.checked[i]), Limit: 1, Invariant: true,
		})
	}
	for _, name := range append(Kinds(), KindSeveral) {
		k, ok := t.kinds[name]
		if !ok {
			continue
		}
		r.Rows = append(r.Rows, []string{
			string(name), strconv.Itoa(k.schedules), "", "", seconds(k.lease), seconds(quantile(k.answers, 0.99)),
			strconv.Itoa(k.unknown), seconds(quantile(k.force, 0.99)), seconds(quantile(k.force, 1)),
			seconds(quantile(k.detected, 1)), seconds(quantile(k.leaving, 1)), strconv.Itoa(k.bothDied),
		})
		r.Series = append(r.Series, inForceSeries(name, k.force))
		if name == KindSlowDataCentre {
			r.Bounds = append(r.Bounds,
				bencher.Bound{Name: "config in force p99 s, one data centre slow", Measured: quantile(k.force, 0.99).Seconds(),
					Limit: inForceAim.Seconds(), AtMost: true},
				bencher.Bound{Name: "config in force max s, one data centre slow", Measured: quantile(k.force, 1).Seconds(),
					Limit: inForceLimit.Seconds(), AtMost: true, Invariant: true},
			)
		}
	}
	r.Bounds = append(r.Bounds, bencher.Bound{Name: "schedules", Measured: float64(t.schedules), Limit: defaultSchedules})
	return r
}

// inForceSeries returns the quantiles of the times until a revision is in force.
func inForceSeries(name Kind, force []time.Duration) bencher.Series {
	s := bencher.Series{Name: string(name)}
	for q := 0.0; q <= 1; q += 1.0 / 64 {
		s.Points = append(s.Points, bencher.Point{X: q, Y: quantile(force, q).Seconds()})
	}
	return s
}

// quantile returns the q-quantile, or 0 of no values.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, cmp.Compare)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.2f s", d.Seconds())
}
