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

// serve runs an admitted request. A returned error has not been written yet; a begun stream reports its own.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, j *job) error {
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
		// From here on the run belongs to the key rather than to this caller, who may leave and ask again.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.order.Deadline)
	defer cancel()
	failed := s.climb(ctx, w, j)
	if claim != nil {
		s.settle(context.WithoutCancel(ctx), claim, j, failed)
	}
	if failed == nil {
		s.counters.answered.Add(1)
		s.RecordSuccess()
		// The caller may have gone; the work is done and billed all the same.
		_ = j.response.Send()
		return nil
	}
	if j.response.Begun() {
		s.counters.broken.Add(1)
		j.response.Fail(failed)
		return nil
	}
	return failed
}

// claim claims the request before its run. It returns nil if the response of an earlier request was repeated.
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
		return nil, s.claimUnavailable(err)
	case c.Previous != nil:
		j.explain("claim", "held by an earlier request")
		return nil, s.repeat(w, c.Previous)
	}
	if err := c.MarkStarted(ctx); err != nil {
		// The write may have taken effect, but nothing has run; without the release the key stays unknown.
		s.release(context.WithoutCancel(ctx), &c)
		return nil, s.claimUnavailable(err)
	}
	j.explain("claim", "written")
	return &c, nil
}

func (s *Server) claimUnavailable(err error) error {
	return &decoder.Error{
		Status: http.StatusServiceUnavailable, Code: "claim-unavailable", Type: decoder.TypeServer,
		Message: "the request cannot be claimed at present", Cause: err, RetryAt: s.Now().Add(retryWait),
	}
}

func (s *Server) release(ctx context.Context, c *Claim) {
	if err := c.Release(ctx); err != nil {
		s.counters.claimsOpen.Add(1)
	}
}

// repeat writes the stored response of an earlier request, or tells its outcome if there is none.
func (s *Server) repeat(w http.ResponseWriter, p *Result) error {
	if p.Outcome != streamer.OutcomeRun || p.Status == 0 {
		e := &decoder.Error{
			Status: http.StatusConflict, Code: "request-in-progress", Type: decoder.TypeInvalidRequest,
			Message: "an earlier request with this key has no stored response", Outcome: p.Outcome,
			RetryAt: s.Now().Add(retryWait),
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
	s.counters.repeated.Add(1)
	for name, v := range p.Headers {
		w.Header().Set(name, v)
	}
	w.Header().Set("Content-Type", p.ContentType)
	w.WriteHeader(p.Status)
	// The caller may have gone; it can ask again.
	_, _ = w.Write(p.Body)
	return nil
}

// settle stores the end of a claimed request. A claim that cannot be stored stays open, and repeats learn that the
// outcome is unknown.
func (s *Server) settle(ctx context.Context, c *Claim, j *job, failed *decoder.Error) {
	ctx, cancel := context.WithTimeout(ctx, streamer.SilenceTimeout)
	defer cancel()
	var result Result
	switch {
	case failed == nil:
		r := j.response.Stored()
		result = Result{
			Outcome: streamer.OutcomeRun, Status: r.Status, ContentType: r.ContentType, Headers: r.Headers, Body: r.Body,
		}
	case failed.OutcomeOrNotRun() == streamer.OutcomeNotRun:
		s.release(ctx, c)
		return
	default:
		result.Outcome = failed.OutcomeOrNotRun()
	}
	if len(result.Body) > responder.MaxStoredBytes {
		result = Result{Outcome: streamer.OutcomeRun}
	}
	if err := c.Finish(ctx, result); err != nil {
		s.counters.claimsOpen.Add(1)
	}
}
