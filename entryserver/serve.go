package entryserver

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/responder"
	"github.com/siskinfront/siskinfront/streamer"
)

// runJob runs an admitted request. A returned error has not been written to the caller; once the response has begun, runJob
// writes the error into it and returns nil.
func (s *Server) runJob(w http.ResponseWriter, r *http.Request, j *job) error {
	request := j.order.Request
	defer func() {
		s.Explain(DecisionRecord{
			Request: request, At: s.Now(), Target: j.order.Target, Upstream: j.upstream, Steps: j.steps,
		})
	}()
	ctx := r.Context()
	var claim *Claim
	if j.order.NonIdempotent && j.request.IdempotencyKey != "" {
		c, err := s.claim(ctx, w, j)
		if err != nil || c == nil {
			return err
		}
		claim = c
		// A claimed run goes on after its caller disconnects, because the caller may ask for the result again with the same key.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.order.Deadline)
	defer cancel()
	runErr := s.runCascadeRecovered(ctx, w, r, j)
	if claim != nil {
		s.finishClaim(context.WithoutCancel(ctx), claim, j, runErr)
	}
	if runErr == nil {
		s.counters.answered.Add(1)
		s.RecordSuccess()
		// The caller may have disconnected; the run is complete and billed all the same.
		_ = j.response.Send()
		return nil
	}
	if j.response.Begun() {
		s.counters.streamsBroken.Add(1)
		j.response.Fail(runErr)
		return nil
	}
	return runErr
}

// runCascadeRecovered is runCascade, but returns an error for a panic, so that a begun response and the claim are ended.
func (s *Server) runCascadeRecovered(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) (err *decoder.Error) {
	defer func() {
		if v := recover(); v != nil {
			err = s.panicError(r, j.order.Request, v)
		}
	}()
	return s.runCascade(ctx, w, j)
}

// claim claims the idempotency key of the request before its run. It returns a nil claim if the response of an earlier
// request with this key has been written instead.
func (s *Server) claim(ctx context.Context, w http.ResponseWriter, j *job) (*Claim, error) {
	h := sha256.New()
	if c := j.order.Call; c != nil {
		// Writes to a hash never fail.
		_, _ = h.Write([]byte(string(j.order.Service) + "\x00" + c.Method + "\x00" + c.Path + "\x00"))
	}
	_, _ = h.Write(j.body)
	c, err := s.Claim(ctx, j.order.ClientAccount, j.request.IdempotencyKey, [32]byte(h.Sum(nil)), j.order.Request)
	switch {
	case errors.Is(err, ErrClaimMismatch):
		return nil, &decoder.Error{
			Status: http.StatusConflict, Code: "idempotency-key-reused", Type: decoder.TypeInvalidRequest,
			Message: "the idempotency key was used with another request", Cause: err,
		}
	case err != nil:
		return nil, s.claimUnavailableError(err)
	case c.Previous != nil:
		j.explain("claim", "held by an earlier request")
		return nil, s.replayResult(w, c.Previous)
	}
	if err := c.MarkStarted(ctx); err != nil {
		// The write may have taken effect although nothing has run. Without the release, the outcome would stay unknown to
		// repeats of the request.
		s.releaseClaim(context.WithoutCancel(ctx), &c)
		return nil, s.claimUnavailableError(err)
	}
	j.explain("claim", "written")
	return &c, nil
}

func (s *Server) claimUnavailableError(err error) error {
	return &decoder.Error{
		Status: http.StatusServiceUnavailable, Code: "claim-unavailable", Type: decoder.TypeServer,
		Message: "the request cannot be claimed at present", Cause: err, RetryAt: s.Now().Add(transientRetryDelay),
	}
}

// releaseClaim frees the key of a claim, and counts the claims for which that failed.
func (s *Server) releaseClaim(ctx context.Context, c *Claim) {
	if err := c.Release(ctx); err != nil {
		s.counters.claimsLeftOpen.Add(1)
	}
}

// replayResult writes the stored response of an earlier request, or returns an error with its outcome if there
// is none.
func (s *Server) replayResult(w http.ResponseWriter, p *StoredResponse) error {
	if p.Outcome != streamer.OutcomeRun || p.Status == 0 {
		e := &decoder.Error{
			Status: http.StatusConflict, Code: "request-in-progress", Type: decoder.TypeInvalidRequest,
			Message: "an earlier request with this key has no stored response", Outcome: p.Outcome,
			RetryAt: s.Now().Add(transientRetryDelay),
		}
		switch p.Outcome {
		case "":
			e.Outcome = streamer.OutcomeUnknown
		case streamer.OutcomeUnknown:
			e.Code = "outcome-unknown"
		case streamer.OutcomeRun:
			e.Code, e.RetryAt = "response-not-stored", s.Now()
		}
		return e
	}
	s.counters.resultsRepeated.Add(1)
	for name, v := range p.Headers {
		w.Header().Set(name, v)
	}
	w.Header().Set("Content-Type", p.ContentType)
	w.WriteHeader(p.Status)
	// The caller may have disconnected; it can repeat the request.
	_, _ = w.Write(p.Body)
	return nil
}

// finishClaim stores the result of a claimed request, or releases the claim if nothing ran. If the result cannot be stored,
// the claim stays open, and repeats of the request are told that the outcome is unknown.
func (s *Server) finishClaim(ctx context.Context, c *Claim, j *job, runErr *decoder.Error) {
	ctx, cancel := context.WithTimeout(ctx, streamer.SilenceTimeout)
	defer cancel()
	var result StoredResponse
	switch {
	case runErr == nil:
		r := j.response.Stored()
		result = StoredResponse{
			Outcome: streamer.OutcomeRun, Status: r.Status, ContentType: r.ContentType, Headers: r.Headers, Body: r.Body,
		}
	case runErr.OutcomeOrNotRun() == streamer.OutcomeNotRun:
		s.releaseClaim(ctx, c)
		return
	default:
		result.Outcome = runErr.OutcomeOrNotRun()
	}
	if len(result.Body) > responder.MaxStoredBytes {
		result = StoredResponse{Outcome: streamer.OutcomeRun}
	}
	if err := c.Finish(ctx, result); err != nil {
		s.counters.claimsLeftOpen.Add(1)
	}
}
