package slopesbencher

import (
	"context"
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/bencher"
)

// Experiment returns the experiment slopes. Its bounds are the limits of the target for the control cost of one instance.
// Resident sizes are measured on processes that run binary, the path of the program; they are left out if it is empty.
func Experiment(binary string) bencher.Experiment {
	return bencher.Experiment{
		Name:  "slopes",
		Short: "Measure how the cost of each part grows and extrapolate it to the target size",
		Run: func(ctx context.Context, _ bencher.Params) (bencher.Report, error) {
			return run(ctx, binary)
		},
	}
}

func run(ctx context.Context, binary string) (bencher.Report, error) {
	report := bencher.Report{
		Columns: []string{"part", "unit", "sizes", "values", "intercept", "per unit", "residual"},
		XLabel:  "size relative to the largest measured", YLabel: "value relative to the largest measured",
	}
	fits := map[string]*LinearFit{}
	for _, measure := range []func() []LinearFit{measureBalancing, measureSelecting, measureDistributing, measureBillsAndPins, measureObservations, measureMembership, measureServing} {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		for _, s := range measure() {
			fits[s.Name] = &s
			addFit(&report, &s)
		}
	}
	processes, err := measureResidentSizes(ctx, binary)
	if err != nil {
		return report, err
	}
	for i := range processes {
		addFit(&report, &processes[i])
	}
	report.Bounds = append(report.Bounds, residentBounds(processes, fits)...)
	for _, role := range roleCosts(fits) {
		for _, item := range role.items {
			trafficKind := "control"
			if item.perRequest {
				trafficKind = "with requests"
			}
			report.Rows = append(report.Rows, []string{
				role.name + ": " + item.name, trafficKind, "", "", fmt.Sprintf("%.3f%% of a core", 100*item.coreShare),
				fmt.Sprintf("%.2f MB", item.memory/1e6), fmt.Sprintf("%.0f B/s", item.traffic),
			})
		}
		core, memory, traffic := role.total()
		report.Bounds = append(report.Bounds,
			bencher.Bound{Name: role.name + " control, share of a core", Measured: core, Limit: maxCoreShare, AtMost: true},
			bencher.Bound{Name: role.name + " control, MB", Measured: memory / 1e6, Limit: maxMemoryBytes / 1e6, AtMost: true},
			bencher.Bound{Name: role.name + " control, B/s", Measured: traffic, Limit: maxControlBytesPerSecond, AtMost: true},
		)
	}
	for _, row := range tableLoad() {
		report.Rows = append(report.Rows, []string{
			"table: " + row.name, "", "", row.mechanism, fmt.Sprintf("%.1f reads/s", row.reads), fmt.Sprintf("%.1f writes/s", row.writes), "",
		})
	}
	report.Bounds = append(report.Bounds,
		bencher.Bound{Name: "membership, B/s", Measured: fits["heartbeats"].At(membersPerDataCentre), Limit: maxMembershipBytesPerSecond, AtMost: true})
	reads, writes := tableLoadTotal()
	report.Bounds = append(report.Bounds,
		bencher.Bound{Name: "table reads/s", Measured: reads, Limit: maxTableReadsPerSecond, AtMost: true},
		bencher.Bound{Name: "table writes/s", Measured: writes, Limit: maxTableWritesPerSecond, AtMost: true},
	)
	return report, nil
}

func addFit(report *bencher.Report, s *LinearFit) {
	report.Rows = append(report.Rows, []string{
		s.Name, s.Unit, fmt.Sprint(s.Sizes), formatValues(s.Values), fmt.Sprintf("%.4g", s.Intercept),
		fmt.Sprintf("%.4g", s.PerUnit), fmt.Sprintf("%.1f%%", 100*s.Residual),
	})
	report.Series = append(report.Series, fitSeries(s))
}

func formatValues(list []float64) string {
	texts := make([]string, len(list))
	for i, v := range list {
		texts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(texts, " ")
}

func fitSeries(s *LinearFit) bencher.Series {
	out := bencher.Series{Name: s.Name}
	last := len(s.Sizes) - 1
	largest := max(s.Values[last], 1)
	for i := range s.Sizes {
		out.Points = append(out.Points, bencher.Point{X: s.Sizes[i] / s.Sizes[last], Y: s.Values[i] / largest})
	}
	return out
}
