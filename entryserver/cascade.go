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

// deliveryMargin is the time kept free before the deadline to deliver the answer of an earlier step after a later step
// failed, including the wait for the outcome of the failed step.
const deliveryMargin = 2 * cancelTimeout

// cascade holds the later steps of a job and what decides whether they are run.
type cascade struct {
	// targets are the versions of the remaining steps, in the order in which they run.
	targets  []identifier.Target
	workKind *configurer.WorkKind
	// stepDuration is how long one step takes at the target speed of its rank.
	stepDuration time.Duration
}

// targetDuration returns how long an answer of maxTokens takes at the target speed of the rank.
func targetDuration(r *configurer.Rank, maxTokens int) time.Duration {
	return r.FirstToken + time.Duration(maxTokens)*r.BetweenTokens
}

// StepID returns the ID of the run of a cascade step, which is also the ID of its bill: the request ID for the first step,
// and the request ID followed by "/2", "/3" and so on for later ones. Each run is thereby billed exactly once.
func StepID(request identifier.Request, step int) identifier.Request {
	if step <= 1 {
		return request
	}
	return request + identifier.Request("/"+strconv.Itoa(step))
}

// runCascade runs the order and, as long as its answer is rated below the quality target, the next step of the cascade. On
// return, j is the step whose answer is delivered; if a later step fails, that is the step before it.
func (s *Server) runCascade(ctx context.Context, w http.ResponseWriter, j *job) *decoder.Error {
	request, deadline := j.order.Request, j.order.Deadline
	if err := s.dispatchToVersions(ctx, w, j); err != nil {
		return err
	}
	for i, target := range j.cascade.targets {
		if !s.needsNextStep(ctx, j, deadline) {
			return nil
		}
		o := &j.order
		if _, ok := s.AllowTokens(j.account, o.PromptTokens+o.MaxTokens, s.Now()); !ok {
			j.explain("cascade", "the client account is over its limit")
			return nil
		}
		next := *j
		next.order.Request, next.order.Target = StepID(request, i+2), target
		next.order.Deadline = deadline.Add(-deliveryMargin)
		next.choice.Target, next.choice.Exclude = target, nil
		next.attempts, next.outcome = 0, streamer.OutcomeNotRun
		next.response = responder.NewCompletion(w, j.request)
		next.explain("cascade", target.String())
		s.counters.cascadeSteps.Add(1)
		stepCtx, cancel := context.WithDeadline(ctx, next.order.Deadline)
		err := s.dispatch(stepCtx, &next)
		cancel()
		if err != nil {
			j.steps = next.steps
			return nil //nolint:nilerr // the answer of the earlier step is delivered
		}
		*j = next
		w.Header().Set(decoder.HeaderModel, string(target.Model))
		w.Header().Set(decoder.HeaderVersion, string(target.Version))
	}
	return nil
}

// needsNextStep reports whether the answer of j was rated below the quality target early enough for another step before the
// deadline.
func (s *Server) needsNextStep(ctx context.Context, j *job, deadline time.Time) bool {
	ratingDeadline := deadline.Add(-deliveryMargin - j.cascade.stepDuration)
	if !s.Now().Before(ratingDeadline) {
		j.explain("rating", "no time left for another step")
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, ratingDeadline)
	defer cancel()
	o := &j.order
	rating, err := s.WaitRating(ctx, RatingInput{Request: o.Request, WorkKind: o.WorkKind, Target: o.Target, At: s.Now()})
	if err != nil || !s.Now().Before(ratingDeadline) {
		s.counters.ratingsMissed.Add(1)
		j.explain("rating", "none in time")
		return false
	}
	j.explain("rating", strconv.FormatFloat(rating, 'f', 3, 64))
	return rating < j.cascade.workKind.QualityTarget
}
