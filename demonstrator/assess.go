package demonstrator

import (
	"fmt"
	"math"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/replayer"
	"github.com/siskinfront/siskinfront/selector"
)

// assess compares what callers saw with the trace, the bills and what the engines ran.
func assess(d *deployment, trace *replayer.Trace, results []replayer.Result) (*report, error) {
	bills, records, err := d.bills()
	if err != nil {
		return nil, err
	}
	r := newReport(d.cfg)
	r.records = records
	r.committed = d.cfg.Spend.Committed
	r.violations = replayer.Verify(trace, d.cfg, results)
	byRequest := make(map[identifier.Request]*biller.Bill, len(bills))
	for i := range bills {
		byRequest[bills[i].Request] = &bills[i]
	}
	for i := range results {
		r.add(d, trace, &results[i], byRequest)
	}
	for i := range trace.Entries {
		e := &trace.Entries[i]
		kind := d.cfg.WorkKind(e.WorkKind)
		nonce := replayer.Nonce(i)
		if kind.NonIdempotent && e.Expect.SameAnswerAs == 0 && d.starts.of(nonce) > 1 {
			r.violate(i, "at-most-once", fmt.Sprintf("ran %d times", d.starts.of(nonce)))
		}
	}
	return r, nil
}

// add counts one result.
func (r *report) add(d *deployment, trace *replayer.Trace, x *replayer.Result, bills map[identifier.Request]*biller.Bill) {
	e := &trace.Entries[x.Entry]
	row := r.row(d.cfg.WorkKind(e.WorkKind).Rank)
	row.sent++
	if x.Status != 200 {
		row.refused++
		return
	}
	row.answered++
	if !x.FirstToken.IsZero() && e.Stream {
		row.firstToken.record(x.FirstToken.Sub(x.Sent))
	}
	for _, gap := range x.Gaps {
		row.between.record(gap)
	}
	b := bills[x.Request]
	switch {
	case e.Expect.SameAnswerAs > 0:
		// A repeated result is billed under the request that ran.
		row.repeated++
	case b != nil && b.Final:
		row.billed++
		row.cost += b.Amount
		row.cheapest += cheapest(d, e, b)
	default:
		r.violate(x.Entry, "billed-once", "answered without a final bill")
	}
}

// cheapest returns the price of a run on the cheapest version that the client account allows.
func cheapest(d *deployment, e *replayer.Entry, b *biller.Bill) float64 {
	account := d.cfg.ClientAccount(e.ClientAccount)
	best := math.Inf(1)
	for _, t := range targets(d.cfg) {
		if account.Allows(t) {
			best = min(best, selector.ListPrice(d.cfg.Version(t), b.Usage.PromptTokens, b.Usage.CompletionTokens))
		}
	}
	return best
}
