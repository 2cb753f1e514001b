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

// claimSweepInterval is the time between two removals of expired claims, which one lease holder does for the whole deployment.
const claimSweepInterval = 10 * time.Minute

func (e *Entry) choose(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
	u, startDeadline, err := e.balancer.ChooseWithStartDeadline(balancer.Query{
		Target: c.Target, Service: c.Service, Prefix: c.Prefix, Session: c.Session, Rank: c.Rank, Exclude: c.Exclude,
		BusyRefusals: c.BusyRefusals,
	})
	if err != nil {
		return entryserver.Upstream{}, fmt.Errorf("%w: %w", entryserver.ErrNoUpstream, err)
	}
	return entryserver.Upstream{Name: u.Name, DataCentre: u.DataCentre, Agent: u.Agent, StartDeadline: startDeadline}, nil
}

func (e *Entry) claim(
	ctx context.Context, account identifier.ClientAccount, key string, fingerprint [32]byte, r identifier.Request,
) (entryserver.Claim, error) {
	claimed, err := e.claimer.Claim(ctx, account, key, fingerprint, r)
	switch {
	case errors.Is(err, claimer.ErrMismatch):
		return entryserver.Claim{}, fmt.Errorf("%w: %w", entryserver.ErrClaimMismatch, err)
	case err != nil:
		return entryserver.Claim{}, fmt.Errorf("%w: %w", entryserver.ErrClaimUnavailable, err)
	}
	claim := entryserver.Claim{
		MarkStarted: func(ctx context.Context) error { return e.claimer.MarkStarted(ctx, claimed) },
		Finish: func(ctx context.Context, r entryserver.StoredResponse) error {
			return e.claimer.Finish(ctx, claimed, claimer.Result{
				Outcome: r.Outcome, Status: r.Status, ContentType: r.ContentType, Headers: r.Headers, Body: r.Body,
			})
		},
		Release: func(ctx context.Context) error { return e.claimer.Release(ctx, claimed) },
	}
	if previous := claimed.Previous; previous != nil {
		claim.Previous = &entryserver.StoredResponse{
			Outcome: previous.Outcome, Status: previous.Status, ContentType: previous.ContentType,
			Headers: previous.Headers, Body: previous.Body,
		}
		if previous.Running {
			claim.Previous.Outcome = ""
		}
		if previous.Truncated {
			claim.Previous.Status = 0
		}
	}
	return claim, nil
}

// recordBill prices a bill, hands it to the biller and adds a final one to the token usage of its version.
func (e *Entry) recordBill(b biller.Bill) {
	b.Amount = e.price(b.Target, b.Usage)
	// The biller refuses and counts a bill for which it has no room; the agent then writes its own copy.
	_ = e.biller.Record(b)
	if b.Final && b.Service == "" {
		e.usage.Add(b.Target, b.Usage.PromptTokens+b.Usage.CompletionTokens)
	}
}

// offerRating offers a complete answer to the rating sample.
func (e *Entry) offerRating(x entryserver.RatingInput) {
	e.quality.offer(storer.Rating{Request: x.Request, WorkKind: x.WorkKind, Target: x.Target, At: x.At}, x.Requested)
}

// waitRating submits the answer of a cascade step and waits for its rating. offerRating may have submitted the answer too; the
// rating service recognises the duplicate by the request ID.
func (e *Entry) waitRating(ctx context.Context, x entryserver.RatingInput) (float64, error) {
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

// reserve reserves spend: an amount at list price, multiplied by the overflow factor once the commitment is used up. The
// spender's price factor can't show that, because it is also 1 while the commitment is only projected to be used up at the
// current rate of spend.
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
	// RetryAt stays zero: the refused reservation has made the spender request its next lease, which arrives within one step.
	return nil, fmt.Errorf("%w: %w", &entryserver.SpendLimitError{}, err)
}

func (e *Entry) addDecisionRecord(x entryserver.DecisionRecord) {
	steps := make([]explainer.Step, 0, len(x.Steps))
	for _, s := range x.Steps {
		steps = append(steps, explainer.Step{At: x.At, Component: "entry", Decision: s.Decision, Reason: s.Reason})
	}
	e.explainer.Add(explainer.DecisionRecord{Request: x.Request, At: x.At, Target: x.Target, Upstream: x.Upstream, Steps: steps})
}

// loadReported passes the load from a response frame to the balancer and the directory.
func (e *Entry) loadReported(u identifier.Upstream, l streamer.Load) {
	e.balancer.Report(u, l)
	e.directory.Observe(u, l)
}

// attemptEnded reports an ended attempt to the balancer, the latency metrics, the bill holders and the roll-outs.
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

// resultOf returns how the balancer counts an attempt for its upstream.
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

// spendTable returns the spender's access to its rows in the table.
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

// sweepClaims removes expired claims while this process holds the claims lease.
func (e *Entry) sweepClaims(ctx context.Context) error {
	return e.runWithLease(ctx, "claims", claimSweepInterval, func(ctx context.Context, _ *leaser.Lease) {
		// The next sweep removes the claims that remain after an error.
		_, _ = e.claimer.Sweep(ctx)
	})
}

// holderInstance returns the instance in a lease holder's name, which has the form instance/ID with an ID per process start.
func holderInstance(holder string) identifier.Instance {
	name, _, _ := strings.Cut(holder, "/")
	return identifier.Instance(name)
}
