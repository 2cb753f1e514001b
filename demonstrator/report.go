package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// maxLatency is the largest value of a latency histogram.
	maxLatency = time.Minute
	// significantDigits is the decimal precision of a latency histogram.
	significantDigits = 3
	// maxPrintedViolations bounds the violations that Write prints.
	maxPrintedViolations = 20
)

// latencyHistogram counts latencies in microseconds.
type latencyHistogram struct {
	*hdrhistogram.Histogram
}

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits)}
}

func (l latencyHistogram) record(d time.Duration) {
	// RecordValue fails only above the range of the histogram, so longer times are recorded as maxLatency.
	_ = l.RecordValue(int64(min(d, maxLatency) / time.Microsecond))
}

func (l latencyHistogram) quantile(q float64) time.Duration {
	return time.Duration(l.ValueAtQuantile(q)) * time.Microsecond
}

func (l latencyHistogram) milliseconds(q float64) float64 {
	return float64(l.quantile(q)) / float64(time.Millisecond)
}

// RankRow counts the requests of one rank.
type RankRow struct {
	Rank     identifier.Rank `json:"rank"`
	Sent     int             `json:"sent"`
	Answered int             `json:"answered"`
	Refused  int             `json:"refused"`
	// Billed is the number of answers with exactly one final bill.
	Billed int `json:"billed-once"`
	// Repeated is the number of answers that repeat an earlier result under the same idempotency key.
	Repeated int `json:"repeated"`
	// Cost is the sum of the final bills, at list prices; Cheapest is the price of the same tokens on the cheapest allowed
	// version and leaves out calls to plain services.
	Cost     float64 `json:"cost"`
	Cheapest float64 `json:"cheapest"`

	firstToken, betweenTokens latencyHistogram
}

// MarshalJSON adds quantiles of the latencies in milliseconds.
func (r *RankRow) MarshalJSON() ([]byte, error) {
	type plain RankRow
	return json.Marshal(struct {
		*plain
		FirstP50   float64 `json:"first-token-p50-ms"`
		FirstP95   float64 `json:"first-token-p95-ms"`
		BetweenP50 float64 `json:"between-tokens-p50-ms"`
		BetweenP95 float64 `json:"between-tokens-p95-ms"`
	}{
		(*plain)(r), r.firstToken.milliseconds(50), r.firstToken.milliseconds(95), r.betweenTokens.milliseconds(50),
		r.betweenTokens.milliseconds(95),
	})
}

// Spend is the spend of one deployment, plain services included, and its commitment.
type Spend struct {
	Deployment string  `json:"deployment"`
	Currency   string  `json:"currency"`
	Used       float64 `json:"used"`
	Committed  float64 `json:"committed"`
}

// Violation is a broken rule, found for one entry of a trace.
type Violation struct {
	Deployment string `json:"deployment"`
	// Entry is the position in the trace, counted from 1.
	Entry  int    `json:"entry"`
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: entry %d: %s: %s", v.Deployment, v.Entry, v.Rule, v.Detail)
}

// Report is the result of the demo for one or more deployments.
type Report struct {
	Rows       []*RankRow  `json:"ranks"`
	Spend      []Spend     `json:"spend"`
	Violations []Violation `json:"violations"`
}

func newReport(cfg *configurer.Configuration) *Report {
	r := &Report{Violations: []Violation{}}
	for _, rank := range cfg.Ranks {
		r.row(rank.Name)
	}
	return r
}

func (r *Report) row(rank identifier.Rank) *RankRow {
	for _, x := range r.Rows {
		if x.Rank == rank {
			return x
		}
	}
	x := &RankRow{Rank: rank, firstToken: newLatencyHistogram(), betweenTokens: newLatencyHistogram()}
	r.Rows = append(r.Rows, x)
	return x
}

func (r *Report) merge(o *Report) {
	for _, x := range o.Rows {
		y := r.row(x.Rank)
		y.Sent += x.Sent
		y.Answered += x.Answered
		y.Refused += x.Refused
		y.Billed += x.Billed
		y.Repeated += x.Repeated
		y.Cost += x.Cost
		y.Cheapest += x.Cheapest
		y.firstToken.Merge(x.firstToken.Histogram)
		y.betweenTokens.Merge(x.betweenTokens.Histogram)
	}
	r.Spend = append(r.Spend, o.Spend...)
	r.Violations = append(r.Violations, o.Violations...)
}

// Write prints one row per rank, the spend of each deployment and the violations.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "rank\tsent\tanswered\trefused\tfirst p50\tfirst p95\tbetween p50\tbetween p95\tcost\tcheapest\tbilled once\trepeated")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%.4f\t%.4f\t%d\t%d\n", x.Rank, x.Sent, x.Answered, x.Refused,
			rounded(x.firstToken.quantile(50)), rounded(x.firstToken.quantile(95)),
			rounded(x.betweenTokens.quantile(50)), rounded(x.betweenTokens.quantile(95)), x.Cost, x.Cheapest, x.Billed, x.Repeated)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("demonstrator: write table: %w", err)
	}
	for _, s := range r.Spend {
		fmt.Fprintf(w, "%s: committed spend used: %.4f of %.0f %s\n", s.Deployment, s.Used, s.Committed, s.Currency)
	}
	fmt.Fprintf(w, "violations of the invariants: %d\n", len(r.Violations))
	for _, v := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		fmt.Fprintln(w, " ", v)
	}
	return nil
}

func rounded(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}
