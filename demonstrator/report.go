package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/replayer"
)

// maxLatency and precision bound the histograms of the report.
const (
	maxLatency = time.Minute
	precision  = 3
	// shownViolations bounds the violations that are printed.
	shownViolations = 20
)

type latencies struct {
	*hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, int64(maxLatency/time.Microsecond), precision)}
}

func (l latencies) record(d time.Duration) {
	// A longer time is recorded as the longest.
	_ = l.RecordValue(int64(min(d, maxLatency) / time.Microsecond))
}

func (l latencies) quantile(q float64) time.Duration {
	return time.Duration(l.ValueAtQuantile(q)) * time.Microsecond
}

// row counts the requests of one rank.
type row struct {
	rank                                      identifier.Rank
	sent, answered, refused, billed, repeated int
	firstToken, between                       latencies
	cost, cheapest                            float64
}

// report is the outcome of one or more deployments.
type report struct {
	rows       []*row
	records    int
	committed  float64
	violations []replayer.Violation
}

func newReport(cfg *configurer.Configuration) *report {
	r := &report{}
	for _, rank := range cfg.Ranks {
		r.row(rank.Name)
	}
	return r
}

func (r *report) row(rank identifier.Rank) *row {
	for _, x := range r.rows {
		if x.rank == rank {
			return x
		}
	}
	x := &row{rank: rank, firstToken: newLatencies(), between: newLatencies()}
	r.rows = append(r.rows, x)
	return x
}

func (r *report) violate(entry int, rule, detail string) {
	r.violations = append(r.violations, replayer.Violation{Entry: entry, Rule: rule, Detail: detail})
}

func (r *report) merge(o *report) {
	for _, x := range o.rows {
		y := r.row(x.rank)
		y.sent += x.sent
		y.answered += x.answered
		y.refused += x.refused
		y.billed += x.billed
		y.repeated += x.repeated
		y.cost += x.cost
		y.cheapest += x.cheapest
		y.firstToken.Merge(x.firstToken.Histogram)
		y.between.Merge(x.between.Histogram)
	}
	r.records += o.records
	r.committed += o.committed
	r.violations = append(r.violations, o.violations...)
}

// write prints one row per rank, the spend and the violations.
func (r *report) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "rank\tsent\tanswered\trefused\tfirst p50\tfirst p95\tbetween p50\tbetween p95\tcost\tcheapest\tbilled once\trepeated")
	cost := 0.0
	for _, x := range r.rows {
		cost += x.cost
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%.4f\t%.4f\t%d\t%d\n", x.rank, x.sent, x.answered, x.refused,
			rounded(x.firstToken.quantile(50)), rounded(x.firstToken.quantile(95)),
			rounded(x.between.quantile(50)), rounded(x.between.quantile(95)), x.cost, x.cheapest, x.billed, x.repeated)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("demonstrator: write table: %w", err)
	}
	fmt.Fprintf(w, "committed spend used: %.4f of %.0f (%.6f%%)\n", cost, r.committed, 100*cost/r.committed)
	fmt.Fprintf(w, "wrong, lost, doubled or unbilled answers: %d\n", len(r.violations))
	for _, v := range r.violations[:min(len(r.violations), shownViolations)] {
		fmt.Fprintln(w, " ", v)
	}
	return nil
}

func rounded(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}
