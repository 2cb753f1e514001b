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

// maxTargets limits the versions that one request is sent to, including the selected one.
const maxTargets = 3

// dispatchToVersions sends the order to its version, and then to other versions that the request may run on: as long as
// upstreams refuse it without having run anything, and once after a run that failed before the caller received a part of the
// response. A version that recently refused or failed the account's work of this rank is skipped. If all did, the order goes
// to the selected version, whose agents decide on it, because only they know rank and fair share.
func (s *Server) dispatchToVersions(ctx context.Context, w http.ResponseWriter, j *job) *decoder.Error {
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
		err := s.dispatch(ctx, j)
		if err == nil {
			return nil
		}
		reason := "refuses work"
		switch {
		case refusedByPool(err):
		case failedByPool(err):
			reason = "fails"
		default:
			return err
		}
		s.RecordRefusal(j.pool())
		if len(tried) == maxTargets || ctx.Err() != nil || !j.resendable() || j.response.Begun() {
			return err
		}
		next, ok := s.alternative(j, tried)
		if !ok || failedByPool(err) && !s.mayRerun(j) {
			return err
		}
		s.redirect(w, j, next, reason)
		tried = append(tried, next)
	}
}

// mayRerun reports whether a run that failed may be followed by one on another version. A request has at most one such rerun,
// which draws on the retry budget.
func (s *Server) mayRerun(j *job) bool {
	if j.order.NonIdempotent || j.rerunStarted {
		return false
	}
	j.rerunStarted = true
	return s.AllowRetry()
}

// pool returns the pool of the job: the upstreams of its version, as seen by its client account and rank.
func (j *job) pool() redirector.Pool {
	return redirector.Pool{ClientAccount: j.order.ClientAccount, Target: j.order.Target, Rank: j.choice.Rank}
}

// alternative returns the cheapest untried version that the configuration in force allows and that requests may be redirected
// to.
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

// redirect moves the job to version t. It ends the cascade, because the answer of t meets the quality target by itself.
func (s *Server) redirect(w http.ResponseWriter, j *job, t identifier.Target, reason string) {
	s.counters.requestsRedirected.Add(1)
	j.explain("redirect", t.String()+" because "+j.order.Target.String()+" "+reason)
	j.order.Target = t
	j.choice.Target, j.choice.Exclude, j.choice.BusyRefusals = t, nil, 0
	j.busyUpstreams, j.needsRating = nil, false
	j.cascade.targets = nil
	j.response.Reset()
	w.Header().Set(decoder.HeaderModel, string(t.Model))
	w.Header().Set(decoder.HeaderVersion, string(t.Version))
}

// refusedByPool reports whether no upstream of the version accepted the request, so that nothing ran.
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

// failedByPool reports whether upstreams of the version ran the request, or may have, and failed.
func failedByPool(e *decoder.Error) bool {
	if e.OutcomeOrNotRun() == streamer.OutcomeNotRun {
		return false
	}
	switch e.Code {
	case "engine-refused", "engine-failed", "engine-ended-early", "engine-malformed", "upstream-broken", "upstream-lost", "upstream-unreachable":
		return true
	}
	return false
}
