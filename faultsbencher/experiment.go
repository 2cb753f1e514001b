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
	// inForceP99Target is the target for the 99th percentile of the times until a commit is in force, with one data centre slow.
	inForceP99Target = 2 * time.Second
	gcPercent        = 400
)

// Experiment returns the experiment "faults".
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name: "faults", Short: "Run random fault schedules and count broken invariants", Run: run,
	}
}

// total is the sum of the outcomes of many schedules.
type total struct {
	schedules      int
	checked        map[Invariant]int
	broken         map[Invariant]int
	firstViolation map[Invariant]string
	kinds          map[Kind]*kindTotal
}

type kindTotal struct {
	schedules, unknown, billsLostWithHolders                            int
	maxLeaseGap                                                         time.Duration
	answerTimes, inForceTimes, crashDetectionTimes, leaveDetectionTimes []time.Duration
}

func run(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	t := &total{
		checked: map[Invariant]int{}, broken: map[Invariant]int{}, firstViolation: map[Invariant]string{}, kinds: map[Kind]*kindTotal{},
	}
	// The live heap of a schedule is small, so a higher GC percentage saves most collections.
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	// Real time limits only how many schedules run; each of them depends on its seed alone.
	deadline := time.Now().Add(p.Duration)
	for first := uint64(0); ctx.Err() == nil; first += defaultSchedules {
		t.batch(ctx, p.Seed<<32+first)
		if !time.Now().Before(deadline) {
			break
		}
	}
	if err := ctx.Err(); err != nil {
		return bencher.Report{}, fmt.Errorf("faultsbencher: %w", err)
	}
	return t.report(), nil
}

// batch runs defaultSchedules schedules, GOMAXPROCS at a time, and adds their outcomes in the order of their seeds.
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
		if len(o.Broken[i]) > 0 && t.firstViolation[i] == "" {
			t.firstViolation[i] = fmt.Sprintf("seed %d (%s), %s", seed, o.Kind, o.Broken[i][0])
		}
	}
	k, ok := t.kinds[o.Kind]
	if !ok {
		k = &kindTotal{}
		t.kinds[o.Kind] = k
	}
	k.schedules++
	k.unknown += o.Unknown
	k.billsLostWithHolders += o.BillsLostWithHolders
	k.maxLeaseGap = max(k.maxLeaseGap, o.LeaseGap)
	k.answerTimes = append(k.answerTimes, o.AnswerTimes...)
	k.inForceTimes = append(k.inForceTimes, o.InForceTimes...)
	k.crashDetectionTimes = append(k.crashDetectionTimes, o.CrashDetectionTimes...)
	k.leaveDetectionTimes = append(k.leaveDetectionTimes, o.LeaveDetectionTimes...)
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
		row[4] = t.firstViolation[i]
		r.Rows = append(r.Rows, row)
		r.Bounds = append(r.Bounds, bencher.Bound{
			Name: string(i), Measured: float64(t.broken[i]), Limit: 0, AtMost: true, Invariant: true,
		}, bencher.Bound{
			// An invariant that was never checked would pass without evidence.
			Name: string(i) + " checks", Measured: float64(t.checked[i]), Limit: 1, Invariant: true,
		})
	}
	for _, name := range append(Kinds(), KindSeveral) {
		k, ok := t.kinds[name]
		if !ok {
			continue
		}
		r.Rows = append(r.Rows, []string{
			string(name), strconv.Itoa(k.schedules), "", "", seconds(k.maxLeaseGap), seconds(quantile(k.answerTimes, 0.99)),
			strconv.Itoa(k.unknown), seconds(quantile(k.inForceTimes, 0.99)), seconds(quantile(k.inForceTimes, 1)),
			seconds(quantile(k.crashDetectionTimes, 1)), seconds(quantile(k.leaveDetectionTimes, 1)), strconv.Itoa(k.billsLostWithHolders),
		})
		r.Series = append(r.Series, inForceSeries(name, k.inForceTimes))
		if name == KindSlowDataCentre {
			r.Bounds = append(r.Bounds,
				bencher.Bound{Name: "config in force p99 s, one data centre slow", Measured: quantile(k.inForceTimes, 0.99).Seconds(),
					Limit: inForceP99Target.Seconds(), AtMost: true},
				bencher.Bound{Name: "config in force max s, one data centre slow", Measured: quantile(k.inForceTimes, 1).Seconds(),
					Limit: inForceLimit.Seconds(), AtMost: true, Invariant: true},
			)
		}
	}
	r.Bounds = append(r.Bounds, bencher.Bound{Name: "schedules", Measured: float64(t.schedules), Limit: defaultSchedules})
	return r
}

// inForceSeries returns the quantiles of the times until a revision is in force.
func inForceSeries(name Kind, times []time.Duration) bencher.Series {
	s := bencher.Series{Name: string(name)}
	for q := 0.0; q <= 1; q += 1.0 / 64 {
		s.Points = append(s.Points, bencher.Point{X: q, Y: quantile(times, q).Seconds()})
	}
	return s
}

// quantile sorts list and returns its q-quantile, or 0 if it is empty.
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
