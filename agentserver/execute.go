package agentserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/siskinfront/siskinfront/streamer"
)

// headerRequestID carries the request ID to the upstream.
const headerRequestID = "Siskinfront-Request-Id"

// execute admits and runs one order and appends its final frame.
func (s *Server) execute(r *run) {
	ctx, cancel := context.WithDeadlineCause(r.ctx, r.order.Deadline, context.DeadlineExceeded)
	defer cancel()
	load := s.CurrentLoad()
	if err := r.replay.Append(ctx, streamer.Frame{Kind: streamer.KindAccepted, Load: &load}); err != nil {
		s.finishRun(r, s.interruptedFrame(ctx, r))
		return
	}
	var e executor = &engineExecutor{s: s, r: r}
	if r.order.Call != nil {
		e = &serviceExecutor{s: s, r: r}
	}
	s.finishRun(r, s.admitAndRun(ctx, r, e))
}

// executor runs an order at the upstream. After run has returned errPreempted, it may be called again to continue.
type executor interface {
	run(ctx context.Context) (streamer.Frame, error)
}

// admitAndRun waits for a slot, runs the order in it, and waits for another slot after each preemption.
func (s *Server) admitAndRun(ctx context.Context, r *run, e executor) streamer.Frame {
	if !r.order.StartDeadline.IsZero() && s.progress.Stalled(s.Now()) {
		// The entry tries another upstream. It sends an order without a start deadline only when there is no other one.
		return refusedFrame(&RefusalError{Code: streamer.CodeBusy})
	}
	ticket, err := s.Admit(ctx, QueuedOrder{Order: r.order, Cost: float64(r.order.PromptTokens + r.order.MaxTokens)})
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		return refusedFrame(refusal)
	case err != nil:
		return s.interruptedFrame(ctx, r)
	}
	defer func() { ticket.Finish(r.tokens) }()
	r.onFirstToken = ticket.OnFirstToken
	if !s.Now().Before(r.order.Deadline) {
		return s.interruptedFrame(ctx, r)
	}
	// The configuration may have changed while the order waited.
	if err := s.validateOrder(r.order); errors.As(err, &refusal) {
		return refusedFrame(refusal)
	}
	for {
		final, err := s.runInSlot(ctx, e, &ticket)
		if !errors.Is(err, errPreempted) {
			return final
		}
		s.counters.preempted.Add(1)
		if err := ticket.Resume(ctx, r.tokens); err != nil {
			if r.tokens > 0 {
				s.addBill(r, nil, false)
			}
			return s.interruptedFrame(ctx, r)
		}
	}
}

// runInSlot runs the order in the current slot. It returns errPreempted if the slot is preempted before the run has ended.
func (s *Server) runInSlot(ctx context.Context, e executor, ticket *Ticket) (streamer.Frame, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if ticket.Preempted != nil {
		preempted := ticket.Preempted()
		go func() {
			select {
			case <-preempted:
				cancel(errPreempted)
			case <-ctx.Done():
			}
		}()
	}
	return e.run(ctx)
}

func refusedFrame(refusal *RefusalError) streamer.Frame {
	return streamer.Frame{
		Kind: streamer.KindRefused, Code: refusal.Code, Outcome: streamer.OutcomeNotRun, RetryAt: refusal.RetryAt,
	}
}

// interruptedFrame returns the final frame of a run whose context ended or whose deadline passed.
func (s *Server) interruptedFrame(ctx context.Context, r *run) streamer.Frame {
	f := streamer.Frame{Kind: streamer.KindFailed, Code: "deadline-passed", Outcome: r.currentOutcome()}
	switch {
	case errors.Is(context.Cause(r.ctx), errCancelled):
		f.Code = "cancelled"
	case errors.Is(context.Cause(r.ctx), errAbandoned):
		f.Code = "entry-gone"
	case ctx.Err() == nil && s.Now().Before(r.order.Deadline):
		f.Code = "interrupted"
	}
	if f.Outcome == streamer.OutcomeNotRun {
		f.Kind = streamer.KindRefused
	}
	return f
}

// send sends a request to the upstream. If there is no response to read, it returns the final frame of the run instead.
func (s *Server) send(ctx context.Context, r *run, method, path string, headers map[string]string, body []byte) (
	*http.Response, *streamer.Frame, error,
) {
	hr, err := http.NewRequestWithContext(ctx, method, "http://"+s.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, &streamer.Frame{ //nolint:nilerr // the final frame carries the failure
			Kind: streamer.KindFailed, Code: "invalid-call", Outcome: r.currentOutcome(),
		}, nil
	}
	for name, v := range headers {
		hr.Header.Set(name, v)
	}
	hr.Header.Set(headerRequestID, string(r.order.Request))
	hr.Header.Set("Siskinfront-Attempt", strconv.Itoa(r.order.Attempt))
	first, ok := r.markSent()
	if !ok {
		f := s.interruptedFrame(ctx, r)
		return nil, &f, nil
	}
	// http.Transport may retry a request on its own, but only after a reused connection has failed, and none is reused.
	resp, err := s.upstream.Do(hr)
	if err == nil {
		return resp, nil, nil
	}
	var op *net.OpError
	code := "upstream-broken"
	if errors.As(err, &op) && op.Op == "dial" && first {
		r.markNotSent()
		code = "upstream-unreachable"
	}
	if errors.Is(context.Cause(ctx), errPreempted) {
		return nil, nil, errPreempted
	}
	if ctx.Err() != nil {
		f := s.interruptedFrame(ctx, r)
		if f.Outcome == streamer.OutcomeUnknown {
			// The upstream may have started, so the run is billed, but only for the tokens that the agent has passed on.
			s.addBill(r, nil, false)
		}
		return nil, &f, nil //nolint:nilerr // the final frame carries the failure
	}
	return nil, &streamer.Frame{ //nolint:nilerr // the final frame carries the failure
		Kind: streamer.KindFailed, Code: code, Outcome: r.currentOutcome(),
	}, nil
}

// engineBody rewrites the caller's body for the engine: it sets the chosen version and priority, the token limit, streaming
// with usage, and the token to resume from.
func (s *Server) engineBody(r *run) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.payload, &fields); err != nil {
		return nil, fmt.Errorf("agentserver: decode body: %w", err)
	}
	priority := 0
	if cfg := s.Configuration(); cfg != nil {
		priority = max(0, cfg.RankIndex(r.order.Rank))
	}
	model, err := json.Marshal(r.order.Target.String())
	if err != nil {
		return nil, fmt.Errorf("agentserver: encode model: %w", err)
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = strconv.AppendInt(nil, int64(r.order.MaxTokens), 10)
	fields["priority"] = strconv.AppendInt(nil, int64(priority), 10)
	if r.tokens > 0 {
		fields["resume_from"] = strconv.AppendInt(nil, int64(r.tokens), 10)
	}
	delete(fields, "max_completion_tokens")
	return json.Marshal(fields)
}
