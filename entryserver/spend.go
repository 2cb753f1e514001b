package entryserver

import (
	"errors"
	"net/http"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// codeSpendLimit is the code of a request that the spend of the period leaves no room for.
const codeSpendLimit = "spend-limit"

// reserve sets aside the most that the next attempt of j can cost, and returns the function that settles it. Plain
// services cost the committed spend nothing.
func (s *Server) reserve(j *job) (func(record *Attempt, final bool), *decoder.Error) {
	o := &j.order
	if o.Service != "" {
		return func(*Attempt, bool) {}, nil
	}
	v := s.Configuration().Version(o.Target)
	if v == nil {
		// The agent refuses a version that the configuration no longer has, so nothing is spent.
		return func(*Attempt, bool) {}, nil
	}
	amount := selector.ListPrice(v, o.PromptTokens, o.MaxTokens)
	settle, err := s.Reserve(amount)
	if err != nil {
		s.counters.spendLimited.Add(1)
		j.explain("reserve", "refused by the spend limit")
		return nil, s.spendLimited(err)
	}
	return func(r *Attempt, final bool) {
		switch {
		case r.Outcome == streamer.OutcomeNotRun:
			settle(0)
		case final:
			if r.Usage.PromptTokens == 0 {
				r.Usage.PromptTokens = o.PromptTokens
			}
			settle(selector.ListPrice(v, r.Usage.PromptTokens, r.Usage.CompletionTokens))
		default:
			// A run whose end the entry did not see may have produced its maximum; settling less could pass the hard limit.
			settle(amount)
		}
	}, nil
}

func (s *Server) spendLimited(err error) *decoder.Error {
	e := &decoder.Error{
		Status: http.StatusTooManyRequests, Code: codeSpendLimit, Type: decoder.TypeRateLimit,
		Message: "the spend of the period has reached its hard limit", Cause: err, RetryAt: s.Now().Add(retryWait),
	}
	var limit *SpendLimitError
	if errors.As(err, &limit) && !limit.RetryAt.IsZero() {
		e.RetryAt = limit.RetryAt
	}
	return e
}
