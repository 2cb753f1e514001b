package demonstrator

import (
	"fmt"
	"math"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/replayer"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// assessment compares what callers saw with the trace, the bills, and what the engines and services ran.
type assessment struct {
	d      *deployment
	trace  *replayer.Trace
	report *Report
	// bills lists the final bills of each request.
	bills map[identifier.Request][]biller.Bill
	spent float64
}

func assess(d *deployment, trace *replayer.Trace, results []replayer.Result) (*Report, error) {
	bills, err := d.bills()
	if err != nil {
		return nil, err
	}
	a := &assessment{d: d, trace: trace, report: newReport(d.cfg), bills: map[identifier.Request][]biller.Bill{}}
	for i := range bills {
		a.spent += bills[i].Amount
		if bills[i].Final {
			a.bills[bills[i].Request] = append(a.bills[bills[i].Request], bills[i])
		}
	}
	for _, v := range replayer.Verify(trace, d.cfg, results) {
		a.violate(v.Entry, v.Rule, v.Detail)
	}
	for i := range results {
		a.add(&results[i])
	}
	for i := range trace.Entries {
		e := &trace.Entries[i]
		if n := d.starts.of(replayer.Nonce(i)); n > 1 && e.NonIdempotent(d.cfg) && e.Expect.SameAnswerAs == 0 {
			a.violate(i, "at-most-once", fmt.Sprintf("ran %d times", n))
		}
	}
	a.report.Spend = []Spend{{
		Deployment: d.shape.name, Currency: d.cfg.Spend.Currency, Used: a.spent, Committed: d.cfg.Spend.Committed,
	}}
	return a.report, nil
}

func (a *assessment) violate(entry int, rule, detail string) {
	a.report.Violations = append(a.report.Violations, Violation{
		Deployment: a.d.shape.name, Entry: entry + 1, Rule: rule, Detail: detail,
	})
}

// add counts one result.
func (a *assessment) add(x *replayer.Result) {
	e := &a.trace.Entries[x.Entry]
	row := a.report.row(e.Rank(a.d.cfg))
	row.Sent++
	if n := len(a.bills[x.Request]); n > 1 {
		a.violate(x.Entry, "billed-once", fmt.Sprintf("has %d final bills", n))
	}
	if x.Status != 200 {
		row.Refused++
		// A repeat shares the nonce of the request that ran, so it says nothing about its own outcome.
		ran := a.d.starts.of(replayer.Nonce(x.Entry))
		if x.Outcome == string(streamer.OutcomeNotRun) && e.Expect.SameAnswerAs == 0 && ran > 0 {
			a.violate(x.Entry, "truthful-not-run", fmt.Sprintf("ran %d times", ran))
		}
		return
	}
	row.Answered++
	if !x.FirstToken.IsZero() && e.Stream {
		row.firstToken.record(x.FirstToken.Sub(x.Sent))
	}
	for _, gap := range x.Gaps {
		row.between.record(gap)
	}
	bills := a.bills[x.Request]
	switch {
	case e.Expect.SameAnswerAs > 0:
		// A repeated result is billed under the request that ran.
		row.Repeated++
	case len(bills) == 0:
		a.violate(x.Entry, "billed-once", "answered without a final bill")
	default:
		row.Billed++
		row.Cost += bills[0].Amount
		if e.Call == nil {
			row.Cheapest += a.cheapest(e, &bills[0])
		}
	}
}

// cheapest returns the price of a run on the cheapest version that the client account allows.
func (a *assessment) cheapest(e *replayer.Entry, b *biller.Bill) float64 {
	account := a.d.cfg.ClientAccount(e.ClientAccount)
	best := math.Inf(1)
	for _, t := range targets(a.d.cfg) {
		if account.Allows(t) {
			best = min(best, selector.ListPrice(a.d.cfg.Version(t), b.Usage.PromptTokens, b.Usage.CompletionTokens))
		}
	}
	return best
}
