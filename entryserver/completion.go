package entryserver

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/responder"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// transientRetryDelay is the delay after which a request that was rejected for a transient reason should be sent again.
const transientRetryDelay = time.Second

// maxTimeToDeadline limits how far ahead the deadline of a caller may be, because agents remember each run until its deadline.
const maxTimeToDeadline = time.Hour

// job is the state of one admitted request.
type job struct {
	order    streamer.Order
	body     []byte
	choice   ChoiceInput
	request  *decoder.Request
	account  *configurer.ClientAccount
	response responder.Response
	cascade  cascade
	// needsRating is set if the selection asked for a rating of the answer.
	needsRating bool
	steps       []DecisionStep
	// busyUpstreams lists the upstreams that refused the request as busy or whose agents did not accept it in time.
	busyUpstreams []identifier.Upstream
	// busyAttempts counts the attempts of the current run that were refused as busy; they do not count as retries.
	busyAttempts int
	// attempts counts the orders sent for the current run. It numbers them, so that an agent never mistakes one for another.
	attempts int
	// outcome is the combined outcome of all attempts of the current run.
	outcome streamer.Outcome
	// rerunStarted is set once a failed run has been followed by one on another version.
	rerunStarted bool
	// lastAttempt is set if no further attempt may follow the current one.
	lastAttempt bool
	// next is the upstream of the next attempt if it is already chosen, and reservation settles the reservation of that attempt.
	next        Upstream
	reservation func(*Attempt, bool)
	// upstream is the upstream of the latest attempt.
	upstream identifier.Upstream
}

// explain adds a step to the decision record.
func (j *job) explain(decision, reason string) {
	j.steps = append(j.steps, DecisionStep{decision, reason})
}

// serveCompletion answers one chat completion.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, id identifier.Request) error {
	now := s.Now()
	cfg := s.Configuration()
	account, err := s.authenticate(cfg, r)
	if err != nil {
		return err
	}
	req, err := decoder.Decode(r, now)
	if err != nil {
		return err
	}
	kind, err := findWorkKind(cfg, account, req.WorkKind)
	if err != nil {
		return err
	}
	q := selector.Query{
		ClientAccount: account, WorkKind: kind, Model: req.Model, Session: req.Session,
		PromptTokens: req.PromptTokens, MaxTokens: kind.MaxTokens,
	}
	if req.MaxTokens > 0 {
		q.MaxTokens = min(q.MaxTokens, req.MaxTokens)
	}
	rank := cfg.RankIndex(kind.Rank)
	deadline := requestDeadline(cfg, rank, req, now)
	nonIdempotent := req.NonIdempotent || kind.NonIdempotent
	// Without a deadline the selector plans no cascade. None is possible for a stream, whose tokens cannot be taken back, a
	// non-idempotent request, which runs only once, and a request that names a model or a session, which it must get.
	if s.WaitRating != nil && req.Model == identifier.ModelAuto && req.Session == "" && !req.Stream && !nonIdempotent {
		q.Deadline = deadline
	}
	decision, err := s.selectVersion(r.Context(), cfg, &q, now)
	if err != nil {
		return err
	}
	target := decision.Target
	w.Header().Set(decoder.HeaderModel, string(target.Model))
	w.Header().Set(decoder.HeaderVersion, string(target.Version))
	if retryAt, ok := s.AllowTokens(account, q.PromptTokens+q.MaxTokens, now); !ok {
		return rateLimitedError(retryAt)
	}
	j := &job{
		order: streamer.Order{
			Request: id, ClientAccount: account.Name, WorkKind: kind.Name, Rank: kind.Rank, Target: target,
			Session: req.Session, Deadline: deadline, NonIdempotent: nonIdempotent,
			PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens, Revision: cfg.Revision,
		},
		body: req.Body, request: req, account: account, response: responder.NewCompletion(w, req),
		choice:      ChoiceInput{Target: target, Prefix: req.Prefix, Session: req.Session, Rank: rank, Query: q},
		needsRating: decision.NeedsRating,
	}
	if !q.Deadline.IsZero() {
		j.cascade = cascade{targets: decision.Cascade, workKind: kind, stepDuration: targetDuration(&cfg.Ranks[rank], q.MaxTokens)}
	}
	j.explain("select", target.String()+" "+decision.Reason)
	return s.runJob(w, r, j)
}

func rateLimitedError(retryAt time.Time) error {
	return &decoder.Error{
		Status: http.StatusTooManyRequests, Code: "rate-limited", Type: decoder.TypeRateLimit,
		Message: "the client account is over its limit", RetryAt: retryAt,
	}
}

// requestDeadline returns the deadline of the caller, limited by maxTimeToDeadline, or else the default of the rank.
func requestDeadline(cfg *configurer.Configuration, rank int, req *decoder.Request, now time.Time) time.Time {
	if latest := now.Add(maxTimeToDeadline); req.Deadline.After(latest) {
		return latest
	}
	if !req.Deadline.IsZero() {
		return req.Deadline
	}
	return now.Add(cfg.Ranks[rank].Deadline)
}

// findWorkKind returns the kind of work that the request names, by default the first one of the client account.
func findWorkKind(
	cfg *configurer.Configuration, account *configurer.ClientAccount, name identifier.WorkKind,
) (*configurer.WorkKind, error) {
	if name == "" {
		name = account.WorkKinds[0]
	}
	kind := cfg.WorkKind(name)
	if kind == nil || !slices.Contains(account.WorkKinds, name) {
		return nil, decoder.NewInvalidRequest("unknown-work-kind", "the kind of work is not known for this client account")
	}
	return kind, nil
}

// selectVersion selects the version of a request; a session keeps the version that it started on.
func (s *Server) selectVersion(
	ctx context.Context, cfg *configurer.Configuration, q *selector.Query, now time.Time,
) (selector.Decision, error) {
	decision, err := s.Select(cfg, *q)
	if err != nil {
		return decision, selectionError(err, now)
	}
	if q.Session == "" {
		return decision, nil
	}
	proposed := decision.Target
	pinned, err := s.Pin(ctx, q.ClientAccount.Name, q.Session, proposed, cfg.Revision)
	if err != nil {
		return decision, &decoder.Error{
			Status: http.StatusServiceUnavailable, Code: "session-unavailable", Type: decoder.TypeServer,
			Message: "the version of the session is not known at present", Cause: err, RetryAt: now.Add(transientRetryDelay),
		}
	}
	if pinned == proposed {
		return decision, nil
	}
	switch v := cfg.Version(pinned); {
	case v == nil || v.State == configurer.VersionWithdrawn:
		return decision, &decoder.Error{
			Status: http.StatusConflict, Code: "session-version-withdrawn", Type: decoder.TypeInvalidRequest,
			Message: "the version of the session was withdrawn; start a new session",
		}
	case !q.ClientAccount.Allows(pinned):
		return decision, selectionError(selector.ErrNotAllowed, now)
	case q.Model != identifier.ModelAuto && q.Model != pinned.Model:
		return decision, &decoder.Error{
			Status: http.StatusConflict, Code: "session-model-differs", Type: decoder.TypeInvalidRequest,
			Message: "the session runs on another model; start a new session",
		}
	}
	return selector.Decision{Target: pinned, Reason: selector.ReasonPinned}, nil
}

func selectionError(err error, now time.Time) error {
	e := &decoder.Error{Type: decoder.TypeInvalidRequest, Cause: err}
	switch {
	case errors.Is(err, selector.ErrUnknownModel):
		e.Status, e.Code, e.Message = http.StatusNotFound, "unknown-model", "the model does not exist"
	case errors.Is(err, selector.ErrNotAllowed):
		e.Status, e.Code, e.Message = http.StatusForbidden, "model-not-allowed", "the client account may not use the model"
		e.Type = decoder.TypePermission
	default:
		e.Status, e.Code, e.Message = http.StatusServiceUnavailable, "no-version", "no version receives new work"
		e.Type, e.RetryAt = decoder.TypeServer, now.Add(transientRetryDelay)
	}
	return e
}
