package entryserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	now := s.Now()
	id := identifier.NewRequest()
	w.Header().Set(decoder.HeaderRequestID, string(id))
	if err := s.complete(w, r, id, now); err != nil {
		s.writeError(w, err)
	}
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	var e *decoder.Error
	if !errors.As(err, &e) {
		e = &decoder.Error{
			Status: http.StatusBadGateway, Code: "internal", Type: decoder.TypeServer,
			Message: "the request failed", Outcome: streamer.OutcomeUnknown, Cause: err,
		}
	}
	e.Write(w, s.Now())
}

// complete answers one request; after the first byte of an answer it returns nil and reports errors in the stream.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, id identifier.Request, now time.Time) error {
	cfg := s.Configuration()
	account, err := s.authenticate(cfg, r)
	if err != nil {
		return err
	}
	req, err := decoder.Decode(r, now)
	if err != nil {
		return err
	}
	kind, err := workKind(cfg, account, req.WorkKind)
	if err != nil {
		return err
	}
	rank := cfg.Ranks[cfg.RankIndex(kind.Rank)]
	q := selector.Query{
		ClientAccount: account, WorkKind: kind, Model: req.Model, Session: req.Session,
		PromptTokens: req.PromptTokens, MaxTokens: kind.MaxTokens,
	}
	if req.MaxTokens > 0 {
		q.MaxTokens = min(q.MaxTokens, req.MaxTokens)
	}
	target, err := s.Select(cfg, q)
	if err != nil {
		return selectionError(err)
	}
	w.Header().Set(decoder.HeaderModel, string(target.Model))
	w.Header().Set(decoder.HeaderVersion, string(target.Version))
	upstream, err := s.Choose(r.Context(), target, q)
	if err != nil {
		return &decoder.Error{
			Status: http.StatusServiceUnavailable, Code: "no-upstream", Type: decoder.TypeServer,
			Message: "no upstream serves the model", Cause: err, RetryAt: now.Add(time.Second),
		}
	}
	order := streamer.Order{
		Request: id, Attempt: 1, ClientAccount: account.Name, WorkKind: kind.Name, Rank: kind.Rank, Target: target,
		Session: req.Session, Deadline: req.Deadline, NonIdempotent: req.NonIdempotent || kind.NonIdempotent,
		PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens, Revision: cfg.Revision,
	}
	if order.Deadline.IsZero() {
		order.Deadline = now.Add(rank.Deadline)
	}
	usage, err := s.forward(r.Context(), w, upstream, order, req)
	if err != nil {
		return err
	}
	if usage != nil {
		s.Record(Bill{
			Request: id, ClientAccount: account.Name, WorkKind: kind.Name, Rank: kind.Rank, Target: target,
			Usage: *usage, At: s.Now(),
		})
	}
	return nil
}

func workKind(
	cfg *configurer.Configuration, account *configurer.ClientAccount, name identifier.WorkKind,
) (*configurer.WorkKind, error) {
	if name == "" {
		name = account.WorkKinds[0]
	}
	kind := cfg.WorkKind(name)
	if kind == nil || !slices.Contains(account.WorkKinds, name) {
		return nil, decoder.Invalid("unknown-work-kind", "the kind of work is not known for this client account")
	}
	return kind, nil
}

func selectionError(err error) error {
	e := &decoder.Error{Type: decoder.TypeInvalidRequest, Cause: err}
	switch {
	case errors.Is(err, selector.ErrUnknownModel):
		e.Status, e.Code, e.Message = http.StatusNotFound, "unknown-model", "the model does not exist"
	case errors.Is(err, selector.ErrNotAllowed):
		e.Status, e.Code, e.Message = http.StatusForbidden, "model-not-allowed", "the client account may not use the model"
		e.Type = decoder.TypePermission
	default:
		e.Status, e.Code, e.Message = http.StatusServiceUnavailable, "no-version", "no version receives new work"
		e.Type = decoder.TypeServer
	}
	return e
}

// forward sends the order to the agent of u and copies the answer to w; it returns the usage of a whole answer.
func (s *Server) forward(
	ctx context.Context, w http.ResponseWriter, u Upstream, order streamer.Order, req *decoder.Request,
) (*streamer.Usage, error) {
	ctx, cancel := context.WithDeadline(ctx, order.Deadline)
	defer cancel()
	header, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("entryserver: encode order for %s: %w", u.Name, err)
	}
	body := append(append(header, '\n'), req.Body...)
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Agent.String()+"/run", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("entryserver: build request to %s: %w", u.Name, err)
	}
	resp, err := s.client.Do(hr)
	if err != nil {
		return nil, fmt.Errorf("entryserver: send order to %s: %w", u.Name, err)
	}
	defer resp.Body.Close()
	answer := newAnswer(w, req.Stream)
	frames := streamer.NewReader(resp.Body, order.Request, 0)
	for {
		f, err := frames.Next()
		if err != nil {
			return nil, answer.fail(fmt.Errorf("entryserver: read answer of %s: %w", u.Name, err))
		}
		switch f.Kind {
		case streamer.KindToken:
			err = answer.token(f.Data)
		case streamer.KindRefused, streamer.KindFailed:
			return nil, answer.fail(frameError(&f))
		case streamer.KindDone:
			return f.Usage, answer.finish(f.Usage)
		}
		if err != nil {
			return nil, answer.fail(err)
		}
	}
}

func frameError(f *streamer.Frame) error {
	e := &decoder.Error{
		Status: http.StatusBadGateway, Code: f.Code, Type: decoder.TypeServer, Message: "the upstream failed",
		Outcome: f.Outcome, RetryAt: f.RetryAt,
	}
	if f.Kind == streamer.KindRefused {
		e.Status, e.Type = http.StatusTooManyRequests, decoder.TypeRateLimit
		e.Message = "the upstream refused the request under load"
	}
	return e
}
