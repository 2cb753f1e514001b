package slopesbencher

import (
	"context"
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/bencher"
)

// Experiment returns the experiment slopes. Its bounds are the limits of the target for the control of one node. The resident
// sizes are those of processes of binary, the file of the program; they are not measured if it is empty.
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
	slopes := map[string]*LinearFit{}
	for _, measure := range []func() []LinearFit{balancing, selecting, distributing, keeping, observing, detecting, serving} {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		for _, s := range measure() {
			slopes[s.Name] = &s
			addSlope(&report, &s)
		}
	}
	processes, err := resident(ctx, binary)
	if err != nil {
		return report, err
	}
	for i := range processes {
		addSlope(&report, &processes[i])
	}
	report.Bounds = append(report.Bounds, residentBounds(processes, slopes)...)
	for _, role := range roles(slopes) {
		for _, item := range role.items {
			kind := "control"
			if item.perRequest {
				kind = "with requests"
			}
			report.Rows = append(report.Rows, []string{
				role.name + ": " + item.name, kind, "", "", fmt.Sprintf("%.3f%% of a core", 100*item.core),
				fmt.Sprintf("%.2f MB", item.memory/1e6), fmt.Sprintf("%.0f B/s", item.traffic),
			})
		}
		core, memory, traffic := role.total()
		report.Bounds = append(report.Bounds,
			bencher.Bound{Name: role.name + " control, share of a core", Measured: core, Limit: maxCore, AtMost: true},
			bencher.Bound{Name: role.name + " control, MB", Measured: memory / 1e6, Limit: maxMemory / 1e6, AtMost: true},
			bencher.Bound{Name: role.name + " control, B/s", Measured: traffic, Limit: maxTraffic, AtMost: true},
		)
	}
	for _, row := range table() {
		report.Rows = append(report.Rows, []string{
			"table: " + row.name, "", "", row.mechanism, fmt.Sprintf("%.1f reads/s", row.reads), fmt.Sprintf("%.1f writes/s", row.writes), "",
		})
	}
	report.Bounds = append(report.Bounds,
		bencher.Bound{Name: "membership, B/s", Measured: slopes["heartbeats"].At(perDataCentre), Limit: maxMembership, AtMost: true})
	reads, writes := tableTotal()
	report.Bounds = append(report.Bounds,
		bencher.Bound{Name: "table reads/s", Measured: reads, Limit: tableReads, AtMost: true},
		bencher.Bound{Name: "table writes/s", Measured: writes, Limit: tableWrites, AtMost: true},
	)
	return report, nil
}

func addSlope(report *bencher.Report, s *LinearFit) {
	report.Rows = append(report.Rows, []string{
		s.Name, s.Unit, fmt.Sprint(s.Sizes), values(s.Values), fmt.Sprintf("%.4g", s.Intercept),
		fmt.Sprintf("%.4g", s.PerUnit), fmt.Sprintf("%.1f%%", 100*s.Residual),
	})
	report.Series = append(report.Series, series(s))
}

func values(list []float64) string {
	texts := make([]string, len(list))
	for i, v := range list {
		texts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(texts, " ")
}

func series(s *LinearFit) bencher.Series {
	out := bencher.Series{Name: s.Name}
	last := len(s.Sizes) - 1
	largest := max(s.Values[last], 1)
	for i := range s.Sizes {
		out.Points = append(out.Points, bencher.Point{X: s.Sizes[i] / s.Sizes[last], Y: s.Values[i] / largest})
	}
	return out
}
