package bencher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ErrInvariant is returned by Check when a bound that is an invariant does not hold.
var ErrInvariant = errors.New("bencher: invariant violated")

// Params are the parameters of one run.
type Params struct {
	// Seed determines every random choice of the run.
	Seed uint64
	// Duration is the time limit of experiments that run random schedules; zero means their default.
	Duration time.Duration
}

// Experiment is one named experiment; runs with the same parameters make the same decisions.
type Experiment struct {
	Name  string
	Short string
	Run   func(ctx context.Context, p Params) (Report, error)
}

// Bound compares a measured value with the limit that a stated target sets.
type Bound struct {
	Name     string  `json:"name"`
	Measured float64 `json:"got"`
	Limit    float64 `json:"limit"`
	// AtMost is set when Measured may not exceed Limit; otherwise Measured may not fall below it.
	AtMost bool `json:"at-most"`
	// Invariant is set when the bound must hold in every run; otherwise it is a target that a run may miss.
	Invariant bool `json:"invariant"`
}

// Held reports whether the bound holds.
func (b Bound) Held() bool {
	if b.AtMost {
		return b.Measured <= b.Limit
	}
	return b.Measured >= b.Limit
}

// Point is one point of a series.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one line of a plot.
type Series struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Report is the result of one run of an experiment.
type Report struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Bounds  []Bound    `json:"bounds"`
	Series  []Series   `json:"series,omitempty"`
	// XLabel and YLabel name the axes of the plot with their units.
	XLabel string `json:"x-label,omitempty"`
	YLabel string `json:"y-label,omitempty"`
}

// Check returns ErrInvariant with the names of the violated invariants, or nil.
func (r *Report) Check() error {
	var violated []string
	for _, b := range r.Bounds {
		if b.Invariant && !b.Held() {
			violated = append(violated, b.Name)
		}
	}
	if len(violated) > 0 {
		return fmt.Errorf("%w: %s", ErrInvariant, strings.Join(violated, ", "))
	}
	return nil
}

// WriteTable writes the rows and the bounds as aligned text.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(r.Columns, "\t"))
	for _, row := range r.Rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "bound\tgot\tlimit\tverdict")
	for _, b := range r.Bounds {
		relation, verdict := ">=", "held"
		if b.AtMost {
			relation = "<="
		}
		if !b.Held() {
			verdict = "missed"
			if b.Invariant {
				verdict = "BROKEN"
			}
		}
		fmt.Fprintf(t, "%s\t%.4g\t%s %.4g\t%s\n", b.Name, b.Measured, relation, b.Limit, verdict)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("bencher: write table: %w", err)
	}
	return nil
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("bencher: write report: %w", err)
	}
	return nil
}

// WritePlot draws the series into a file whose extension (.png or .svg) determines the format.
func (r *Report) WritePlot(title, path string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = r.XLabel
	p.Y.Label.Text = r.YLabel
	lines := make([]any, 0, 2*len(r.Series))
	for _, s := range r.Series {
		xy := make(plotter.XYs, len(s.Points))
		for i, point := range s.Points {
			xy[i] = plotter.XY{X: point.X, Y: point.Y}
		}
		lines = append(lines, s.Name, xy)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("bencher: plot %s: %w", path, err)
	}
	if err := p.Save(20*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("bencher: plot %s: %w", path, err)
	}
	return nil
}
