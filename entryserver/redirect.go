package entryserver

import (
	"context"
	"net/http"
	"slices"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
	"github.com/siskinfront/siskinfront/streamer"
)

// maxTargets bounds the versions that one request is sent to after refusals.
const maxTargets = 3

// place sends the order to its version, and to other versions that the request may run on: while upstreams refuse it without
// having run anything, and once after runs that failed before the caller had a part of the response. A version that refused
// or failed the account's work of this rank lately is passed over; if all did, the selected one decides, because only its
// agents know rank and fair share.
func (s *Server) place(ctx context.Context, w http.ResponseWriter, j *job) *decoder.Error {
	if j.order.Service != "" {
		return s.dispatch(ctx, j)
	}
	tried := []identifier.Target{j.order.Target}
	if !s.AllowRedirect(j.pool()) {
		if next, ok := s.alternative(j, tried); ok {
			s.redirect(w, j, next, "refuses work")
			tried = append(tried, next)
		}
	}
	for {
		failed := s.dispatch(ctx, j)
		if failed == nil {
			return nil
		}
		reason := "refuses work"
		switch {
		case refusedByPool(failed):
		case brokenByPool(failed):
			reason = "fails"
		default:
			return failed
		}
		s.RecordRefusal(j.pool())
		if len(tried) == maxTargets || ctx.Err() != nil || !j.resendable() || j.response.Begun() {
			return failed
		}
		next, ok := s.alternative(j, tried)
		if !ok || brokenByPool(failed) && !s.mayRunAgain(j) {
			return failed
		}
		s.redirect(w, j, next, reason)
		tried = append(tried, next)
	}
}

// mayRunAgain reports whether a run that failed may be followed by one of another version, which draws on the retry budget.
func (s *Server) mayRunAgain(j *job) bool {
	if j.order.NonIdempotent || j.rerun {
		return false
	}
	j.rerun = true
	return s.AllowRetry()
}

// pool names the upstreams of the job's version as its account and rank find them.
func (j *job) pool() redirector.Pool {
	return redirector.Pool{ClientAccount: j.order.ClientAccount, Target: j.order.Target, Rank: j.choice.Rank}
}

// alternative returns the cheapest other version that the configuration in force allows and that may be offered the request.
func (s *Server) alternative(j *job, tried []identifier.Target) (identifier.Target, bool) {
	cfg, q := s.Configuration(), j.choice.Query
	q.ClientAccount, q.WorkKind = cfg.ClientAccount(j.order.ClientAccount), cfg.WorkKind(j.order.WorkKind)
	if q.ClientAccount == nil || q.WorkKind == nil {
		return identifier.Target{}, false
	}
	for _, t := range s.Alternatives(cfg, q) {
		if slices.Contains(tried, t) {
			continue
		}
		if s.AllowRedirect(redirector.Pool{ClientAccount: j.order.ClientAccount, Target: t, Rank: j.choice.Rank}) {
			j.order.Revision = cfg.Revision
			return t, true
		}
	}
	return identifier.Target{}, false
}

// redirect moves the job to another version, whose answer meets the quality target by itself and so ends the cascade.
func (s *Server) redirect(w http.ResponseWriter, j *job, t identifier.Target, reason string) {
	s.counters.redirected.Add(1)
	j.explain("redirect", t.String()+" because "+j.order.Target.String()+" "+reason)
	j.order.Target = t
	j.choice.Target, j.choice.Exclude, j.choice.BusyRefusals = t, nil, 0
	j.busy, j.asked = nil, false
	j.cascade.targets = nil
	j.response.Reset()
	w.Header().Set(decoder.HeaderModel, string(t.Model))
	w.Header().Set(decoder.HeaderVersion, string(t.Version))
}

// refusedByPool reports whether no upstream of the version took the request and nothing ran.
func refusedByPool(e *decoder.Error) bool {
	if e.OutcomeOrNotRun() != streamer.OutcomeNotRun {
		return false
	}
	switch e.Code {
	case "deadline-passed", "deadline-exceeded", "caller-left", "cancelled", "malformed-body", "invalid-call", codeSpendLimit:
		return false
	}
	return true
}

// brokenByPool reports whether upstreams of the version ran the request, or may have, and failed.
func brokenByPool(e *decoder.Error) bool {
	if e.OutcomeOrNotRun() == streamer.OutcomeNotRun {
		return false
	}
	switch e.Code {
	case "engine-refused", "engine-ended-early", "engine-malformed", "upstream-broken", "upstream-lost", "upstream-unreachable":
		return true
	}
	return false
}
