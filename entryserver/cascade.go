package entryserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/responder"
	"github.com/siskinfront/siskinfront/streamer"
)

// answerMargin is the time before the deadline that stays free to deliver an earlier answer after a later step failed,
// including the wait for the outcome of that step.
const answerMargin = 2 * cancelWait

// cascade is what the later steps of a job depend on.
type cascade struct {
	// targets are the steps still to come.
	targets []identifier.Target
	kind    *configurer.WorkKind
	// run is the time that one step takes at the target speed of its rank.
	run time.Duration
}

// runTime returns the time of an answer of maxTokens at the target speed of the rank.
func runTime(r *configurer.Rank, maxTokens int) time.Duration {
	return r.FirstToken + time.Duration(maxTokens)*r.BetweenTokens
}

// StepID returns the name of the run of a cascade step, which is also the ID of its bill: the request itself for the
// first step, and the request followed by "/2", "/3" and so on for later ones. Each run is thereby billed exactly once.
func StepID(request identifier.Request, step int) identifier.Request {
	if step <= 1 {
		return request
	}
	return request + identifier.Request("/"+strconv.Itoa(step))
}

// climb runs the order and, while its answer is rated below the quality target, the next step of the cascade. It leaves
// the job at the step whose answer is delivered; a later step that fails never costs the answer of an earlier one.
func (s *Server) climb(ctx context.Context, w http.ResponseWriter, j *job) *decoder.Error {
	request, end := j.order.Request, j.order.Deadline
	if failed := s.place(ctx, w, j); failed != nil {
		return failed
	}
	for i, target := range j.cascade.targets {
		if !s.short(ctx, j, end) {
			return nil
		}
		o := &j.order
		if _, ok := s.AllowTokens(j.account, o.PromptTokens+o.MaxTokens, s.Now()); !ok {
			j.explain("cascade", "the client account is over its limit")
			return nil
		}
		next := *j
		next.order.Request, next.order.Target = StepID(request, i+2), target
		next.order.Deadline = end.Add(-answerMargin)
		next.choice.Target, next.choice.Exclude = target, nil
		next.attempts, next.outcome = 0, streamer.OutcomeNotRun
		next.response = responder.NewCompletion(w, j.request)
		next.explain("cascade", target.String())
		s.counters.escalated.Add(1)
		stepCtx, cancel := context.WithDeadline(ctx, next.order.Deadline)
		failed := s.dispatch(stepCtx, &next)
		cancel()
		if failed != nil {
			j.steps = next.steps
			return nil //nolint:nilerr // the answer of the earlier step is delivered
		}
		*j = next
		w.Header().Set(decoder.HeaderModel, string(target.Model))
		w.Header().Set(decoder.HeaderVersion, string(target.Version))
	}
	return nil
}

// short reports whether the answer of j was rated below the quality target, in time for another step before end.
func (s *Server) short(ctx context.Context, j *job, end time.Time) bool {
	until := end.Add(-answerMargin - j.cascade.run)
	if !s.Now().Before(until) {
		j.explain("rating", "no time left for another step")
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	o := &j.order
	rating, err := s.WaitRating(ctx, RatingInput{Request: o.Request, WorkKind: o.WorkKind, Target: o.Target, At: s.Now()})
	if err != nil || !s.Now().Before(until) {
		s.counters.unrated.Add(1)
		j.explain("rating", "none in time")
		return false
	}
	j.explain("rating", strconv.FormatFloat(rating, 'f', 3, 64))
	return rating < j.cascade.kind.QualityTarget
}
