package entryserver

import (
	"errors"
	"net/http"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// codeSpendLimit is the error code of a request that could exceed the hard limit of the period's spend.
const codeSpendLimit = "spend-limit"

// reserveAttempt reserves the most that the next attempt of j can cost, and returns the function that settles the
// reservation. Calls of plain services cost nothing of the committed spend.
func (s *Server) reserveAttempt(j *job) (func(record *Attempt, usageKnown bool), *decoder.Error) {
	o := &j.order
	if o.Service != "" {
		return func(*Attempt, bool) {}, nil
	}
	version := s.Configuration().Version(o.Target)
	if version == nil {
		// The agent refuses a version that the configuration no longer has, so nothing is spent.
		return func(*Attempt, bool) {}, nil
	}
	amount := selector.ListPrice(version, o.PromptTokens, o.MaxTokens)
	settle, err := s.Reserve(amount)
	if err != nil {
		s.counters.spendLimited.Add(1)
		j.explain("reserve", "refused by the spend limit")
		return nil, s.spendLimitedError(err)
	}
	return func(r *Attempt, usageKnown bool) {
		switch {
		case r.Outcome == streamer.OutcomeNotRun:
			settle(0)
		case usageKnown:
			if r.Usage.PromptTokens == 0 {
				r.Usage.PromptTokens = o.PromptTokens
			}
			settle(selector.ListPrice(version, r.Usage.PromptTokens, r.Usage.CompletionTokens))
		default:
			// A run whose end the entry did not see may have produced its maximum; settling less could exceed the
			// hard limit.
			settle(amount)
		}
	}, nil
}

func (s *Server) spendLimitedError(err error) *decoder.Error {
	e := &decoder.Error{
		Status: http.StatusTooManyRequests, Code: codeSpendLimit, Type: decoder.TypeRateLimit,
		Message: "the spend of the period has reached its hard limit", Cause: err, RetryAt: s.Now().Add(transientRetryDelay),
	}
	var limit *SpendLimitError
	if errors.As(err, &limit) && !limit.RetryAt.IsZero() {
		e.RetryAt = limit.RetryAt
	}
	return e
}
