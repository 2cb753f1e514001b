package entryserver

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// maxAttempts limits the attempts of a request on one version; refusals as busy are not counted.
	maxAttempts = 3
	// maxBusyRefusals limits how many upstreams may refuse a request as busy; the next one queues it.
	maxBusyRefusals = 2
	// cancelTimeout limits how long the response to an abandoned request waits for the outcome of the cancelled run.
	cancelTimeout = 250 * time.Millisecond
	// acceptTimeout limits how long an agent may take to accept an order. Together with cancelTimeout and the response of
	// another upstream it keeps the first token within its target of 1.4 s.
	acceptTimeout = 500 * time.Millisecond
	// codeUnreachable is the error code if no connection to the agent could be opened.
	codeUnreachable = "upstream-unreachable"
	// statusClientClosedRequest is the status of a request whose caller disconnected; nobody receives it.
	statusClientClosedRequest = 499
)

// failure describes an attempt that ended without a complete response.
type failure struct {
	err *decoder.Error
	// tryOtherUpstream is set if another upstream may succeed.
	tryOtherUpstream bool
	// retryAllowed is set if the retry budget has already allowed the next attempt.
	retryAllowed bool
	// usageKnown is set if the agent ended the run and knows its output, so that the reported usage is exact.
	usageKnown bool
}

// dispatch sends the order to one upstream after another until one gives a complete response, and otherwise returns the
// error for the caller. Its outcome covers all attempts of the job: a refusal after a run is not reported as not run.
func (s *Server) dispatch(ctx context.Context, j *job) *decoder.Error {
	var lastErr *decoder.Error
	j.busyAttempts = 0
	defer j.releaseReservation()
	for n := 1; ; n++ {
		u, settleReservation, err := s.prepareAttempt(ctx, j)
		if err != nil {
			if lastErr != nil {
				err = lastErr
			}
			err.Outcome = combineOutcomes(j.outcome, streamer.OutcomeNotRun)
			return err
		}
		j.attempts++
		j.order.Attempt = j.attempts
		j.upstream = u.Name
		j.explain("attempt-"+strconv.Itoa(j.attempts), string(u.Name))
		j.lastAttempt = n-j.busyAttempts == maxAttempts
		f := s.attempt(ctx, u, j, settleReservation)
		if f == nil {
			return nil
		}
		lastErr = f.err
		j.outcome = combineOutcomes(j.outcome, lastErr.OutcomeOrNotRun())
		j.explain("failed-"+strconv.Itoa(j.attempts), lastErr.Code+" "+string(lastErr.OutcomeOrNotRun()))
		switch {
		case refusedAsBusy(j, f) && ctx.Err() == nil:
			// Nothing ran and the number of such attempts is limited, so they do not draw on the retry budget.
			s.counters.attemptsBusy.Add(1)
			j.choice.BusyRefusals++
			j.busyAttempts++
			j.busyUpstreams = append(j.busyUpstreams, u.Name)
		case s.mayRetry(ctx, j, f, n-j.busyAttempts):
			s.counters.attemptsRepeated.Add(1)
			if f.retryAllowed {
				// The agent may only be slow, so it becomes a candidate again if there is no other upstream.
				j.busyUpstreams = append(j.busyUpstreams, u.Name)
			}
		default:
			lastErr.Outcome = j.outcome
			return lastErr
		}
		j.choice.Exclude = append(j.choice.Exclude, u.Name)
		j.response.Reset()
	}
}

// prepareAttempt chooses the upstream of the next attempt and reserves the most that it can cost.
func (s *Server) prepareAttempt(ctx context.Context, j *job) (Upstream, func(*Attempt, bool), *decoder.Error) {
	u, err := j.next, error(nil)
	if j.next = (Upstream{}); u.Name == "" {
		u, err = s.Choose(ctx, j.choice)
	}
	if err != nil && j.readmitBusyUpstreams() {
		u, err = s.Choose(ctx, j.choice)
	}
	if err != nil {
		return u, nil, &decoder.Error{
			Status: http.StatusServiceUnavailable, Code: "no-upstream", Type: decoder.TypeServer,
			Message: "no upstream can take the request", Cause: err, RetryAt: s.Now().Add(transientRetryDelay),
		}
	}
	// Every attempt may cost its maximum, so each has a reservation of its own.
	settleReservation := j.reservation
	j.reservation = nil
	if settleReservation == nil {
		var limitErr *decoder.Error
		if settleReservation, limitErr = s.reserveAttempt(j); limitErr != nil {
			return u, nil, limitErr
		}
	}
	j.order.StartDeadline = u.StartDeadline
	if j.choice.BusyRefusals >= maxBusyRefusals || !j.resendable() {
		j.order.StartDeadline = time.Time{}
	}
	return u, settleReservation, nil
}

// resendable reports whether the request may be sent again after an attempt that certainly did not run. A non-idempotent
// request without an idempotency key has only one attempt.
func (j *job) resendable() bool {
	return !j.order.NonIdempotent || j.request.IdempotencyKey != ""
}

// readmitBusyUpstreams makes the upstreams that were busy or slow candidates again, this time allowed to queue the request,
// and reports whether there are any.
func (j *job) readmitBusyUpstreams() bool {
	if len(j.busyUpstreams) == 0 {
		return false
	}
	j.choice.BusyRefusals = max(j.choice.BusyRefusals, maxBusyRefusals)
	j.choice.Exclude = slices.DeleteFunc(j.choice.Exclude, func(u identifier.Upstream) bool {
		return slices.Contains(j.busyUpstreams, u)
	})
	j.busyUpstreams = nil
	return true
}

// refusedAsBusy reports whether an upstream refused an order because the order could not start by its start deadline.
func refusedAsBusy(j *job, f *failure) bool {
	return !j.order.StartDeadline.IsZero() && f.err.Code == streamer.CodeBusy && f.err.OutcomeOrNotRun() == streamer.OutcomeNotRun
}

// mayRetry reports whether a failed attempt may be followed by one at another upstream.
func (s *Server) mayRetry(ctx context.Context, j *job, f *failure, countedAttempts int) bool {
	switch {
	case countedAttempts == maxAttempts || !f.tryOtherUpstream || ctx.Err() != nil || j.response.Begun():
		return false
	case !j.resendable() || j.order.NonIdempotent && f.err.OutcomeOrNotRun() != streamer.OutcomeNotRun:
		return false
	}
	return f.retryAllowed || exemptFromRetryBudget(f) || s.AllowRetry()
}

// exemptFromRetryBudget reports whether an attempt certainly did not run and cost its upstream nothing: the agent is
// leaving, or no connection to it could be opened. Retries of such attempts do not draw on the retry budget, because they
// cannot amplify an overload. Otherwise a planned stop or a dead agent would use up the budget that the runs lost with it
// need for their retries.
func exemptFromRetryBudget(f *failure) bool {
	if f.err.OutcomeOrNotRun() != streamer.OutcomeNotRun {
		return false
	}
	return f.err.Code == streamer.CodeDraining || f.err.Code == codeUnreachable
}

// combineOutcomes returns the outcome of two attempts together: run if either ran, else unknown if either is unknown. Work
// that may have run is never reported as not run.
func combineOutcomes(a, b streamer.Outcome) streamer.Outcome {
	switch {
	case a == streamer.OutcomeRun || b == streamer.OutcomeRun:
		return streamer.OutcomeRun
	case a == streamer.OutcomeUnknown || b == streamer.OutcomeUnknown:
		return streamer.OutcomeUnknown
	}
	return streamer.OutcomeNotRun
}

// attempt sends the order to u, copies the output of the run to the response of the job, and settles the reservation.
func (s *Server) attempt(ctx context.Context, u Upstream, j *job, settleReservation func(*Attempt, bool)) *failure {
	record := Attempt{
		Request: j.order.Request, Upstream: u.Name, Target: j.order.Target, Service: j.order.Service,
		Rank: j.order.Rank, BeganAt: s.Now(),
	}
	s.BeginAttempt(u.Name)
	f := s.exchange(ctx, u, j, &record)
	record.EndedAt, record.Outcome = s.Now(), streamer.OutcomeRun
	if f != nil {
		record.Code, record.Outcome = f.err.Code, f.err.OutcomeOrNotRun()
		if record.started && !record.billed {
			s.bill(j, &record, false)
		}
	}
	s.EndAttempt(record)
	settleReservation(&record, f == nil || f.usageKnown)
	return f
}

// exchange opens a stream at the agent of u and copies its frames to the response until the run ends.
func (s *Server) exchange(ctx context.Context, u Upstream, j *job, record *Attempt) *failure {
	stream, err := s.streams.Open(ctx, u.Agent, &j.order, j.body, s.openOptions(ctx, j)...)
	if errors.Is(err, streamer.ErrNotSent) {
		return &failure{tryOtherUpstream: true, err: &decoder.Error{
			Status: http.StatusServiceUnavailable, Code: codeUnreachable, Type: decoder.TypeServer,
			Message: "the upstream cannot be reached", Cause: err, RetryAt: s.Now().Add(transientRetryDelay),
		}}
	}
	defer stream.Close()
	if err != nil {
		f := s.endLostAttempt(ctx, stream, err)
		f.retryAllowed = errors.Is(err, streamer.ErrNotAccepted)
		return f
	}
	for {
		if !stream.More() {
			j.response.Flush()
		}
		frame, err := stream.Next(ctx)
		if err != nil {
			return s.endLostAttempt(ctx, stream, err)
		}
		if frame.Load != nil {
			s.ReportLoad(u.Name, *frame.Load)
		}
		switch frame.Kind {
		case streamer.KindStarted:
			s.recordStart(j, record)
			err = j.response.Started(&frame)
		case streamer.KindToken:
			if record.FirstTokenAt.IsZero() {
				record.FirstTokenAt = s.Now()
			}
			if j.order.Service == "" {
				record.Usage.CompletionTokens++
			}
			err = j.response.Token(&frame)
		case streamer.KindRefused, streamer.KindFailed:
			if frame.Usage != nil {
				record.Usage = *frame.Usage
			}
			return frameFailure(&frame)
		case streamer.KindDone:
			return s.finishAttempt(j, &frame, record)
		}
		if err != nil {
			return s.abortRun(ctx, stream, err)
		}
	}
}

// openOptions lets an idempotent order be retried at another upstream if its agent does not accept it in time and both the limit
// of the spend and the retry budget allow it. A non-idempotent order stays with its agent, because giving up a run leaves its
// outcome unknown.
func (s *Server) openOptions(ctx context.Context, j *job) []streamer.OpenOption {
	if j.order.NonIdempotent || j.lastAttempt {
		return nil
	}
	return []streamer.OpenOption{streamer.WithAcceptDeadline(s.Now().Add(acceptTimeout), func() bool { return s.reserveRetry(ctx, j) })}
}

// reserveRetry chooses the upstream of the next attempt, reserves its cost and takes it from the retry budget, and reports whether
// all of that was possible.
func (s *Server) reserveRetry(ctx context.Context, j *job) bool {
	choice := j.choice
	choice.Exclude = append(slices.Clone(choice.Exclude), j.upstream)
	next, err := s.Choose(ctx, choice)
	if err != nil {
		return false
	}
	settle, limitErr := s.reserveAttempt(j)
	if limitErr != nil {
		return false
	}
	j.next, j.reservation = next, settle
	if !s.AllowEarlyRetry() {
		j.releaseReservation()
		return false
	}
	return true
}

// releaseReservation frees the reservation of an attempt that does not follow.
func (j *job) releaseReservation() {
	j.next = Upstream{}
	if j.reservation != nil {
		j.reservation(&Attempt{Outcome: streamer.OutcomeNotRun}, false)
		j.reservation = nil
	}
}

// recordStart records the bill of a run that has started. While the run is in progress, both the entry and the agent then
// hold a bill for it, so that the loss of one of them does not lose the bill.
func (s *Server) recordStart(j *job, record *Attempt) {
	record.started = true
	if j.order.Service == "" {
		record.Usage.PromptTokens = j.order.PromptTokens
	}
	s.bill(j, record, false)
}

// bill records a bill for the usage of the attempt so far; final marks it as that of the complete response.
func (s *Server) bill(j *job, record *Attempt, final bool) {
	o := &j.order
	s.RecordBill(biller.Bill{
		ID: string(o.Request), Request: o.Request, ClientAccount: o.ClientAccount, WorkKind: o.WorkKind, Rank: o.Rank,
		Target: o.Target, Service: o.Service, Usage: record.Usage, Final: final, At: s.Now(),
	})
}

// finishAttempt records the final bill and finishes the complete response.
func (s *Server) finishAttempt(j *job, frame *streamer.Frame, record *Attempt) *failure {
	if frame.Usage != nil {
		record.Usage = *frame.Usage
	}
	record.billed = true
	s.bill(j, record, true)
	if o := &j.order; o.Service == "" {
		s.OnAnswer(RatingInput{Request: o.Request, WorkKind: o.WorkKind, Target: o.Target, At: s.Now(), Requested: j.needsRating})
	}
	if err := j.response.Finish(record.Usage); err != nil {
		return &failure{err: &decoder.Error{
			Status: http.StatusBadGateway, Code: "response-invalid", Type: decoder.TypeServer,
			Message: "the response of the upstream is not valid", Outcome: streamer.OutcomeRun, Cause: err,
		}}
	}
	return nil
}

// abortRun cancels a run whose response cannot be passed on.
func (s *Server) abortRun(ctx context.Context, stream *streamer.Stream, err error) *failure {
	outcome := s.cancelRun(ctx, stream)
	if outcome == streamer.OutcomeNotRun {
		// Frames of this run have been read, so the upstream had received it.
		outcome = streamer.OutcomeUnknown
	}
	return &failure{err: &decoder.Error{
		Status: http.StatusBadGateway, Code: "response-invalid", Type: decoder.TypeServer,
		Message: "the response could not be passed on", Outcome: outcome, Cause: err,
	}}
}

// endLostAttempt ends an attempt that has no final frame: the deadline passed, the caller disconnected, or the agent was lost.
func (s *Server) endLostAttempt(ctx context.Context, stream *streamer.Stream, err error) *failure {
	outcome := s.cancelRun(ctx, stream)
	e := &decoder.Error{
		Status: http.StatusBadGateway, Code: "upstream-lost", Type: decoder.TypeServer,
		Message: "the upstream was lost", Outcome: outcome, Cause: err,
	}
	switch {
	case ctx.Err() == nil:
		return &failure{err: e, tryOtherUpstream: true}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		e.Status, e.Code, e.Message = http.StatusGatewayTimeout, "deadline-exceeded", "the deadline passed"
		e.RetryAt = s.Now().Add(transientRetryDelay)
	default:
		s.counters.callersLeft.Add(1)
		e.Status, e.Code, e.Message = statusClientClosedRequest, "caller-left", "the caller left"
	}
	return &failure{err: e}
}

// cancelRun cancels the run at the agent, even after ctx has ended, and waits up to cancelTimeout for its outcome.
func (s *Server) cancelRun(ctx context.Context, stream *streamer.Stream) streamer.Outcome {
	outcome := make(chan streamer.Outcome, 1)
	go func() { outcome <- stream.Cancel(context.WithoutCancel(ctx)) }()
	select {
	case o := <-outcome:
		return o
	case <-time.After(cancelTimeout):
		return streamer.OutcomeUnknown
	}
}

// frameFailure converts the final frame of a refused or failed run into the error for the caller.
func frameFailure(frame *streamer.Frame) *failure {
	e := &decoder.Error{
		Status: http.StatusBadGateway, Code: frame.Code, Type: decoder.TypeServer, Message: "the upstream failed",
		Outcome: frame.Outcome, RetryAt: frame.RetryAt,
	}
	if e.Outcome == "" {
		e.Outcome = streamer.OutcomeUnknown
	}
	tryOtherUpstream := true
	switch frame.Code {
	case "deadline-passed":
		e.Status, e.Message, tryOtherUpstream = http.StatusGatewayTimeout, "the deadline passed", false
	case "cancelled", "malformed-body", "invalid-call":
		tryOtherUpstream = false
	case "version-withdrawn", "version-not-allowed":
		e.Status, e.Message, tryOtherUpstream = http.StatusServiceUnavailable, "a newer configuration forbids the version", false
	default:
		if frame.Kind == streamer.KindRefused {
			e.Status, e.Type = http.StatusTooManyRequests, decoder.TypeRateLimit
			e.Message = "the upstream refused the request under load"
		}
	}
	return &failure{err: e, tryOtherUpstream: tryOtherUpstream, usageKnown: frame.Outcome == streamer.OutcomeRun}
}
