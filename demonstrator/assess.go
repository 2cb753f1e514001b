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

// assessment checks the callers' results against the trace, the bills and the executions of the engines and services.
type assessment struct {
	deployment *deployment
	trace      *replayer.Trace
	report     *Report
	// bills holds the final bills by request; a correct run has at most one each.
	bills map[identifier.Request][]biller.Bill
	// spent is the sum of the amounts of all bills, also of runs without a final bill.
	spent float64
}

func assess(d *deployment, trace *replayer.Trace, results []replayer.Result) (*Report, error) {
	bills, err := d.bills()
	if err != nil {
		return nil, err
	}
	a := &assessment{deployment: d, trace: trace, report: newReport(d.cfg), bills: map[identifier.Request][]biller.Bill{}}
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
		a.addResult(&results[i])
	}
	for i := range trace.Entries {
		e := &trace.Entries[i]
		if n := d.executions.executions(replayer.Nonce(i)); n > 1 && e.NonIdempotent(d.cfg) && e.Expect.SameAnswerAs == 0 {
			a.violate(i, "at-most-once", fmt.Sprintf("ran %d times", n))
		}
	}
	a.report.Spend = []Spend{{
		Deployment: d.spec.name, Currency: d.cfg.Spend.Currency, Used: a.spent, Committed: d.cfg.Spend.Committed,
	}}
	return a.report, nil
}

func (a *assessment) violate(entry int, rule, detail string) {
	a.report.Violations = append(a.report.Violations, Violation{
		Deployment: a.deployment.spec.name, Entry: entry + 1, Rule: rule, Detail: detail,
	})
}

// addResult counts one result in the row of its rank and checks its bills and its outcome.
func (a *assessment) addResult(result *replayer.Result) {
	e := &a.trace.Entries[result.Entry]
	row := a.report.row(e.Rank(a.deployment.cfg))
	row.Sent++
	if n := len(a.bills[result.Request]); n > 1 {
		a.violate(result.Entry, "billed-once", fmt.Sprintf("has %d final bills", n))
	}
	if result.Status != 200 {
		row.Refused++
		// A repeated entry carries the nonce of the first one, so executions of the nonce don't contradict its outcome.
		ran := a.deployment.executions.executions(replayer.Nonce(result.Entry))
		if result.Outcome == string(streamer.OutcomeNotRun) && e.Expect.SameAnswerAs == 0 && ran > 0 {
			a.violate(result.Entry, "truthful-not-run", fmt.Sprintf("ran %d times", ran))
		}
		return
	}
	row.Answered++
	if !result.FirstToken.IsZero() && e.Stream {
		row.firstToken.record(result.FirstToken.Sub(result.Sent))
	}
	for _, gap := range result.Gaps {
		row.betweenTokens.record(gap)
	}
	bills := a.bills[result.Request]
	switch {
	case e.Expect.SameAnswerAs > 0:
		// The stored result was billed under the first request with its idempotency key.
		row.Repeated++
	case len(bills) == 0:
		a.violate(result.Entry, "billed-once", "answered without a final bill")
	default:
		row.Billed++
		row.Cost += bills[0].Amount
		if e.Call == nil {
			row.Cheapest += a.cheapest(e, &bills[0])
		}
	}
}

// cheapest returns the list price of the bill's tokens on the cheapest version that the client account may use.
func (a *assessment) cheapest(e *replayer.Entry, b *biller.Bill) float64 {
	account := a.deployment.cfg.ClientAccount(e.ClientAccount)
	best := math.Inf(1)
	for _, t := range targets(a.deployment.cfg) {
		if account.Allows(t) {
			best = min(best, selector.ListPrice(a.deployment.cfg.Version(t), b.Usage.PromptTokens, b.Usage.CompletionTokens))
		}
	}
	return best
}
