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
	// maxAttempts bounds the upstreams that one request is sent to.
	maxAttempts = 3
	// maxBusy bounds the refusals as busy of one request; the upstream after them lets it wait.
	maxBusy = 2
	// cancelWait is the time for which the response to an abandoned request waits for its outcome.
	cancelWait = 250 * time.Millisecond
	// acceptLimit is the time in which an agent answers an order. With cancelWait and the answer of another upstream it stays
	// within the 1.4 s of the first token.
	acceptLimit = 500 * time.Millisecond
	// codeUnreachable is the code of an order that no connection to the agent was found for.
	codeUnreachable = "upstream-unreachable"
	// statusCallerLeft is the status of a request whose caller left; nobody receives it.
	statusCallerLeft = 499
)

// failure is the end of an attempt without a complete response.
type failure struct {
	err *decoder.Error
	// elsewhere is set when another upstream may do better.
	elsewhere bool
	// budgeted is set when the retry budget has allowed the next attempt already.
	budgeted bool
	// final is set when the agent ended a run whose output it knows, so that the usage is known.
	final bool
}

// dispatch sends the order to one upstream after another until there is a complete response, and returns the error for
// the caller otherwise. Its outcome covers all attempts of the job: a later refusal does not make an earlier run undone.
func (s *Server) dispatch(ctx context.Context, j *job) *decoder.Error {
	var last *decoder.Error
	j.refused = 0
	for n := 1; ; n++ {
		u, settle, err := s.prepare(ctx, j)
		if err != nil {
			if last != nil {
				err = last
			}
			err.Outcome = worse(j.outcome, streamer.OutcomeNotRun)
			return err
		}
		j.attempts++
		j.order.Attempt = j.attempts
		j.upstream = u.Name
		j.explain("attempt-"+strconv.Itoa(j.attempts), string(u.Name))
		j.last = n-j.refused == maxAttempts
		f := s.attempt(ctx, u, j, settle)
		if f == nil {
			return nil
		}
		last = f.err
		j.outcome = worse(j.outcome, last.OutcomeOrNotRun())
		j.explain("failed-"+strconv.Itoa(j.attempts), last.Code+" "+string(last.OutcomeOrNotRun()))
		switch {
		case busy(j, f) && ctx.Err() == nil:
			// Nothing ran and the number of such attempts is bounded, so they draw on no retry budget.
			s.counters.busy.Add(1)
			j.choice.BusyRefusals++
			j.refused++
			j.busy = append(j.busy, u.Name)
		case s.repeatable(ctx, j, f, n-j.refused):
			s.counters.retried.Add(1)
			if f.budgeted {
				// The agent may only be slow, and without another upstream it is still the best one.
				j.busy = append(j.busy, u.Name)
			}
		default:
			last.Outcome = j.outcome
			return last
		}
		j.choice.Exclude = append(j.choice.Exclude, u.Name)
		j.response.Reset()
	}
}

// prepare chooses the upstream of the next attempt and sets aside what it can cost.
func (s *Server) prepare(ctx context.Context, j *job) (Upstream, func(*Attempt, bool), *decoder.Error) {
	u, err := s.Choose(ctx, j.choice)
	if err != nil && j.waitAnywhere() {
		u, err = s.Choose(ctx, j.choice)
	}
	if err != nil {
		return u, nil, &decoder.Error{
			Status: http.StatusServiceUnavailable, Code: "no-upstream", Type: decoder.TypeServer,
			Message: "no upstream can take the request", Cause: err, RetryAt: s.Now().Add(retryWait),
		}
	}
	// Every attempt may cost its maximum, so each has a reservation of its own.
	settle, limited := s.reserve(j)
	if limited != nil {
		return u, nil, limited
	}
	j.order.StartDeadline = u.StartDeadline
	if j.choice.BusyRefusals >= maxBusy || !j.resendable() {
		j.order.StartDeadline = time.Time{}
	}
	return u, settle, nil
}

// resendable reports whether the request may be sent again after a truthful not-run. A non-idempotent one without a key
// has one attempt.
func (j *job) resendable() bool {
	return !j.order.NonIdempotent || j.request.IdempotencyKey != ""
}

// waitAnywhere makes the upstreams that were busy or slow candidates again, where the request may then wait, and reports whether
// there are any.
func (j *job) waitAnywhere() bool {
	if len(j.busy) == 0 {
		return false
	}
	j.choice.BusyRefusals = max(j.choice.BusyRefusals, maxBusy)
	j.choice.Exclude = slices.DeleteFunc(j.choice.Exclude, func(u identifier.Upstream) bool {
		return slices.Contains(j.busy, u)
	})
	j.busy = nil
	return true
}

// busy reports whether an upstream refused an order because it would have waited there.
func busy(j *job, f *failure) bool {
	return !j.order.StartDeadline.IsZero() && f.err.Code == streamer.CodeBusy && f.err.OutcomeOrNotRun() == streamer.OutcomeNotRun
}

// repeatable reports whether a failed attempt may be followed by one at another upstream.
func (s *Server) repeatable(ctx context.Context, j *job, f *failure, n int) bool {
	switch {
	case n == maxAttempts || !f.elsewhere || ctx.Err() != nil || j.response.Begun():
		return false
	case !j.resendable() || j.order.NonIdempotent && f.err.OutcomeOrNotRun() != streamer.OutcomeNotRun:
		return false
	}
	return f.budgeted || costless(f) || s.AllowRetry()
}

// costless reports whether an attempt that truthfully did not run cost its upstream nothing: the agent is leaving, or no
// connection to it came about. Such attempts draw on no retry budget, because they cannot amplify an overload, and a planned stop
// or a dead agent would else spend what the runs lost with it need.
func costless(f *failure) bool {
	if f.err.OutcomeOrNotRun() != streamer.OutcomeNotRun {
		return false
	}
	return f.err.Code == streamer.CodeDraining || f.err.Code == codeUnreachable
}

// worse returns the outcome that claims less: work that may have run is never reported as not run.
func worse(a, b streamer.Outcome) streamer.Outcome {
	switch {
	case a == streamer.OutcomeRun || b == streamer.OutcomeRun:
		return streamer.OutcomeRun
	case a == streamer.OutcomeUnknown || b == streamer.OutcomeUnknown:
		return streamer.OutcomeUnknown
	}
	return streamer.OutcomeNotRun
}

// attempt sends the order to u, copies the response to the response and settles the reservation.
func (s *Server) attempt(ctx context.Context, u Upstream, j *job, settle func(*Attempt, bool)) *failure {
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
	settle(&record, f == nil || f.final)
	return f
}

func (s *Server) exchange(ctx context.Context, u Upstream, j *job, record *Attempt) *failure {
	stream, err := s.streams.Open(ctx, u.Agent, &j.order, j.body, s.openOptions(j)...)
	if errors.Is(err, streamer.ErrNotSent) {
		return &failure{elsewhere: true, err: &decoder.Error{
			Status: http.StatusServiceUnavailable, Code: codeUnreachable, Type: decoder.TypeServer,
			Message: "the upstream cannot be reached", Cause: err, RetryAt: s.Now().Add(retryWait),
		}}
	}
	defer stream.Close()
	if err != nil {
		f := s.lost(ctx, stream, err)
		f.budgeted = errors.Is(err, streamer.ErrNotAccepted)
		return f
	}
	for {
		if !stream.More() {
			j.response.Flush()
		}
		f, err := stream.Next(ctx)
		if err != nil {
			return s.lost(ctx, stream, err)
		}
		if f.Load != nil {
			s.ReportLoad(u.Name, *f.Load)
		}
		switch f.Kind {
		case streamer.KindStarted:
			s.begun(j, record)
			err = j.response.Started(&f)
		case streamer.KindToken:
			if record.FirstTokenAt.IsZero() {
				record.FirstTokenAt = s.Now()
			}
			if j.order.Service == "" {
				record.Usage.CompletionTokens++
			}
			err = j.response.Token(&f)
		case streamer.KindRefused, streamer.KindFailed:
			if f.Usage != nil {
				record.Usage = *f.Usage
			}
			return frameFailure(&f)
		case streamer.KindDone:
			return s.done(j, &f, record)
		}
		if err != nil {
			return s.responseFailed(ctx, stream, err)
		}
	}
}

// openOptions lets an idempotent order go elsewhere when its agent gives no sign of it and the retry budget allows it. A
// non-idempotent one keeps its agent, because a run that is given up leaves its outcome unknown.
func (s *Server) openOptions(j *job) []streamer.OpenOption {
	if j.order.NonIdempotent || j.last {
		return nil
	}
	return []streamer.OpenOption{streamer.WithAcceptDeadline(s.Now().Add(acceptLimit), s.AllowEarlyRetry)}
}

// begun takes the bill of a run that has started, so that it has two holders while it runs.
func (s *Server) begun(j *job, record *Attempt) {
	record.started = true
	if j.order.Service == "" {
		record.Usage.PromptTokens = j.order.PromptTokens
	}
	s.bill(j, record, false)
}

func (s *Server) bill(j *job, record *Attempt, final bool) {
	o := &j.order
	s.RecordBill(biller.Bill{
		ID: string(o.Request), Request: o.Request, ClientAccount: o.ClientAccount, WorkKind: o.WorkKind, Rank: o.Rank,
		Target: o.Target, Service: o.Service, Usage: record.Usage, Final: final, At: s.Now(),
	})
}

// done bills and finishes a complete response.
func (s *Server) done(j *job, f *streamer.Frame, record *Attempt) *failure {
	if f.Usage != nil {
		record.Usage = *f.Usage
	}
	record.billed = true
	s.bill(j, record, true)
	if o := &j.order; o.Service == "" {
		s.OnAnswer(RatingInput{Request: o.Request, WorkKind: o.WorkKind, Target: o.Target, At: s.Now(), Requested: j.asked})
	}
	if err := j.response.Finish(record.Usage); err != nil {
		return &failure{err: &decoder.Error{
			Status: http.StatusBadGateway, Code: "response-invalid", Type: decoder.TypeServer,
			Message: "the response of the upstream is not valid", Outcome: streamer.OutcomeRun, Cause: err,
		}}
	}
	return nil
}

// responseFailed ends a run whose response cannot be passed on.
func (s *Server) responseFailed(ctx context.Context, stream *streamer.Stream, err error) *failure {
	outcome := s.cancel(ctx, stream)
	if outcome == streamer.OutcomeNotRun {
		// Frames of this run have been read, so it was given to the upstream.
		outcome = streamer.OutcomeUnknown
	}
	return &failure{err: &decoder.Error{
		Status: http.StatusBadGateway, Code: "response-invalid", Type: decoder.TypeServer,
		Message: "the response could not be passed on", Outcome: outcome, Cause: err,
	}}
}

// lost ends an attempt without a final frame: the deadline passed, the caller left, or the agent is gone.
func (s *Server) lost(ctx context.Context, stream *streamer.Stream, err error) *failure {
	outcome := s.cancel(ctx, stream)
	e := &decoder.Error{
		Status: http.StatusBadGateway, Code: "upstream-lost", Type: decoder.TypeServer,
		Message: "the upstream was lost", Outcome: outcome, Cause: err,
	}
	switch {
	case ctx.Err() == nil:
		return &failure{err: e, elsewhere: true}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		e.Status, e.Code, e.Message = http.StatusGatewayTimeout, "deadline-exceeded", "the deadline passed"
		e.RetryAt = s.Now().Add(retryWait)
	default:
		s.counters.left.Add(1)
		e.Status, e.Code, e.Message = statusCallerLeft, "caller-left", "the caller left"
	}
	return &failure{err: e}
}

// cancel ends the run at the agent, also after ctx has ended, and waits a moment for its outcome.
func (s *Server) cancel(ctx context.Context, stream *streamer.Stream) streamer.Outcome {
	outcome := make(chan streamer.Outcome, 1)
	go func() { outcome <- stream.Cancel(context.WithoutCancel(ctx)) }()
	select {
	case o := <-outcome:
		return o
	case <-time.After(cancelWait):
		return streamer.OutcomeUnknown
	}
}

// frameFailure turns a final frame of the agent into an error for the caller.
func frameFailure(f *streamer.Frame) *failure {
	e := &decoder.Error{
		Status: http.StatusBadGateway, Code: f.Code, Type: decoder.TypeServer, Message: "the upstream failed",
		Outcome: f.Outcome, RetryAt: f.RetryAt,
	}
	if e.Outcome == "" {
		e.Outcome = streamer.OutcomeUnknown
	}
	elsewhere := true
	switch f.Code {
	case "deadline-passed":
		e.Status, e.Message, elsewhere = http.StatusGatewayTimeout, "the deadline passed", false
	case "cancelled", "malformed-body", "invalid-call":
		elsewhere = false
	case "version-withdrawn", "version-not-allowed":
		e.Status, e.Message, elsewhere = http.StatusServiceUnavailable, "a newer configuration forbids the version", false
	default:
		if f.Kind == streamer.KindRefused {
			e.Status, e.Type = http.StatusTooManyRequests, decoder.TypeRateLimit
			e.Message = "the upstream refused the request under load"
		}
	}
	return &failure{err: e, elsewhere: elsewhere, final: f.Outcome == streamer.OutcomeRun}
}
