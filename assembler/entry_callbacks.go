package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/claimer"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/explainer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/spender"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

// sweepInterval is how often expired claims are looked for; one holder of a lease does it for the deployment.
const sweepInterval = 10 * time.Minute

func (e *Entry) choose(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
	u, startBy, err := e.balancer.ChooseWithStartDeadline(balancer.Query{
		Target: c.Target, Service: c.Service, Prefix: c.Prefix, Session: c.Session, Rank: c.Rank, Exclude: c.Exclude,
		BusyRefusals: c.BusyRefusals,
	})
	if err != nil {
		return entryserver.Upstream{}, fmt.Errorf("%w: %w", entryserver.ErrNoUpstream, err)
	}
	return entryserver.Upstream{Name: u.Name, DataCentre: u.DataCentre, Agent: u.Agent, StartDeadline: startBy}, nil
}

func (e *Entry) claim(
	ctx context.Context, acc identifier.ClientAccount, key string, fingerprint [32]byte, r identifier.Request,
) (entryserver.Claim, error) {
	cl, err := e.claimer.Claim(ctx, acc, key, fingerprint, r)
	switch {
	case errors.Is(err, claimer.ErrMismatch):
		return entryserver.Claim{}, fmt.Errorf("%w: %w", entryserver.ErrClaimMismatch, err)
	case err != nil:
		return entryserver.Claim{}, fmt.Errorf("%w: %w", entryserver.ErrClaimUnavailable, err)
	}
	out := entryserver.Claim{
		MarkStarted: func(ctx context.Context) error { return e.claimer.MarkStarted(ctx, cl) },
		Finish: func(ctx context.Context, r entryserver.Result) error {
			return e.claimer.Finish(ctx, cl, claimer.Result{
				Outcome: r.Outcome, Status: r.Status, ContentType: r.ContentType, Headers: r.Headers, Body: r.Body,
			})
		},
		Release: func(ctx context.Context) error { return e.claimer.Release(ctx, cl) },
	}
	if p := cl.Previous; p != nil {
		out.Previous = &entryserver.Result{
			Outcome: p.Outcome, Status: p.Status, ContentType: p.ContentType, Headers: p.Headers, Body: p.Body,
		}
		if p.Running {
			out.Previous.Outcome = ""
		}
		if p.Truncated {
			out.Previous.Status = 0
		}
	}
	return out, nil
}

// record takes the bill of a request that runs.
func (e *Entry) record(b biller.Bill) {
	b.Amount = e.price(b.Target, b.Usage)
	// A bill that does not fit stays with its agent, which writes it; the biller counts the refusal.
	_ = e.biller.Record(b)
	if b.Final && b.Service == "" {
		e.use.Add(b.Target, b.Usage.PromptTokens+b.Usage.CompletionTokens)
	}
}

// answered offers a complete answer for rating.
func (e *Entry) answered(x entryserver.RatingInput) {
	e.quality.offer(storer.Rating{Request: x.Request, WorkKind: x.WorkKind, Target: x.Target, At: x.At}, x.Requested)
}

// rate submits the answer of a cascade step and waits for its rating. answered may have submitted it too, which the rating
// service recognises by the request.
func (e *Entry) rate(ctx context.Context, x entryserver.RatingInput) (float64, error) {
	err := e.rater.Submit(ctx, storer.Rating{Request: x.Request, WorkKind: x.WorkKind, Target: x.Target, At: x.At})
	if err != nil {
		return 0, err
	}
	r, err := e.rater.Wait(ctx, x.Request)
	return r.Value, err
}

// price returns the list price of a run.
func (e *Entry) price(t identifier.Target, u streamer.Usage) float64 {
	if v := e.distributor.Current().Version(t); v != nil {
		return selector.ListPrice(v, u.PromptTokens, u.CompletionTokens)
	}
	return 0
}

// reserve sets aside an amount of the spend at list price, times the overflow factor once the commitment is used. The
// price factor does not tell that: it is also 1 while the pace of the period merely projects that the commitment will
// be used.
func (e *Entry) reserve(amount float64) (func(actual float64), error) {
	spend := &e.distributor.Current().Spend
	factor := 1.0
	snapshot, _ := e.spender.State().(spender.State)
	if snapshot.Granted >= snapshot.Committed && snapshot.Granted > 0 && spend.OverflowFactor > 0 {
		factor = spend.OverflowFactor
	}
	r, err := e.spender.Reserve(amount * factor)
	switch {
	case err == nil:
		return func(actual float64) { r.Settle(actual * factor) }, nil
	case snapshot.Granted >= spend.HardLimit:
		return nil, fmt.Errorf("%w: %w", &entryserver.SpendLimitError{RetryAt: spend.End}, err)
	}
	// The refusal has asked for the next lease, which arrives within a step of the spender.
	return nil, fmt.Errorf("%w: %w", &entryserver.SpendLimitError{}, err)
}

func (e *Entry) explain(x entryserver.DecisionRecord) {
	steps := make([]explainer.Step, 0, len(x.Steps))
	for _, s := range x.Steps {
		steps = append(steps, explainer.Step{At: x.At, Component: "entry", Decision: s.Decision, Reason: s.Reason})
	}
	e.explainer.Add(explainer.DecisionRecord{Request: x.Request, At: x.At, Target: x.Target, Upstream: x.Upstream, Steps: steps})
}

// loadReported takes the load in a frame of an answer.
func (e *Entry) loadReported(u identifier.Upstream, l streamer.Load) {
	e.balancer.Report(u, l)
	e.directory.Observe(u, l)
}

// attemptEnded tells the parts that learn from attempts.
func (e *Entry) attemptEnded(a entryserver.Attempt) {
	e.balancer.End(a.Upstream, resultOf(&a))
	if a.Code == "" {
		e.observeLatency(&a)
	}
	if a.Outcome != streamer.OutcomeNotRun {
		e.holders.add(string(a.Request), a.Upstream)
	}
	if a.Service != "" || a.Outcome == streamer.OutcomeNotRun || resultOf(&a) == balancer.ResultCanceled {
		return
	}
	o := promoter.Observation{Target: a.Target, Ended: true, Failed: a.Code != "", At: a.EndedAt}
	if !a.FirstTokenAt.IsZero() {
		o.Latency = a.FirstTokenAt.Sub(a.BeganAt)
	}
	e.rollouts.observer.Observe(o)
}

// resultOf tells the balancer what an attempt says about its upstream.
func resultOf(a *entryserver.Attempt) balancer.Result {
	switch a.Code {
	case "":
		return balancer.ResultSuccess
	case "caller-left", "cancelled", "deadline-exceeded", "deadline-passed", "malformed-body", "invalid-call",
		"version-withdrawn", "version-not-allowed", "response-invalid":
		return balancer.ResultCanceled
	case "upstream-unreachable", "upstream-lost", codeEngineSilent:
		return balancer.ResultFailure
	case streamer.CodeBusy:
		return balancer.ResultBusy
	}
	if a.Outcome == streamer.OutcomeNotRun {
		return balancer.ResultRefused
	}
	return balancer.ResultFailure
}

// spendTable gives the ledger its rows of the table service.
func (e *Entry) spendTable() spender.Table {
	return spender.Table{
		Read: func(ctx context.Context, key string) (json.RawMessage, uint64, error) {
			row, err := e.table.Get(ctx, key)
			if errors.Is(err, storer.ErrNotFound) {
				return nil, 0, nil
			}
			return row.Value, row.Version, err
		},
		Write: func(ctx context.Context, rows []spender.Write) error {
			tx := storer.Transaction{ID: storer.NewID()}
			for _, r := range rows {
				tx.Conditions = append(tx.Conditions, storer.Condition{Key: r.Key, Version: r.Version})
				tx.Writes = append(tx.Writes, storer.Write{Key: r.Key, Value: r.Value})
			}
			err := e.table.Transact(ctx, tx)
			if errors.Is(err, storer.ErrConflict) {
				return fmt.Errorf("%w: %w", spender.ErrConflict, err)
			}
			return err
		},
	}
}

// sweepClaims removes expired claims while this process holds the lease for it.
func (e *Entry) sweepClaims(ctx context.Context) error {
	return e.keepLease(ctx, "claims", sweepInterval, func(ctx context.Context, _ *leaser.Lease) {
		// What is left is removed by the next sweep.
		_, _ = e.claimer.Sweep(ctx)
	})
}

// holderOf returns the instance in a lease holder's name, which ends in the ID of the process run.
func holderOf(holder string) identifier.Instance {
	name, _, _ := strings.Cut(holder, "/")
	return identifier.Instance(name)
}
