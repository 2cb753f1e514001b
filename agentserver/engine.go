package agentserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/siskinfront/siskinfront/streamer"
)

// maxEventBytes limits one line of the engine's event stream.
const maxEventBytes = 1 << 20

// engineExecutor runs an order at a model engine. After a preemption, the engine resumes after the last token.
type engineExecutor struct {
	s       *Server
	r       *run
	started bool // the started frame was appended
	// waitID is the current wait for a token in Progress, or 0 while the run does not wait for the engine.
	waitID uint64
}

func (e *engineExecutor) run(ctx context.Context) (streamer.Frame, error) {
	body, err := e.s.engineBody(e.r)
	if err != nil {
		return streamer.Frame{Kind: streamer.KindFailed, Code: "malformed-body", Outcome: e.r.currentOutcome()}, nil
	}
	e.waitID = e.s.progress.BeginWait(e.s.Now())
	defer e.endWait()
	resp, final, err := e.s.send(ctx, e.r, http.MethodPost, "/v1/chat/completions",
		map[string]string{"Content-Type": "application/json"}, body)
	if err != nil {
		return streamer.Frame{}, err
	}
	if final != nil {
		return *final, nil
	}
	defer resp.Body.Close()
	e.endWait()
	if resp.StatusCode != http.StatusOK {
		// The engine received the request, so it may have run it.
		return streamer.Frame{Kind: streamer.KindFailed, Code: "engine-refused", Outcome: streamer.OutcomeUnknown}, nil
	}
	e.r.markResponded()
	if !e.started {
		e.started = true
		e.s.addBill(e.r, nil, false)
		if err := e.r.replay.Append(ctx, streamer.Frame{Kind: streamer.KindStarted}); err != nil {
			return e.stopResult(ctx)
		}
	}
	return e.copyEvents(ctx, resp)
}

func (e *engineExecutor) copyEvents(ctx context.Context, resp *http.Response) (streamer.Frame, error) {
	var usage *streamer.Usage
	lines := streamer.NewLineReader(resp.Body, maxEventBytes)
	for {
		if !lines.More() {
			// Tokens that arrived together are written together.
			e.r.replay.Flush()
			if e.waitID == 0 {
				e.waitID = e.s.progress.BeginWait(e.s.Now())
			}
		}
		line, err := lines.Next()
		if err != nil {
			break
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			e.s.addBill(e.r, usage, true)
			return streamer.Frame{Kind: streamer.KindDone, Usage: usage, Outcome: streamer.OutcomeRun}, nil
		}
		if u, ok := decodeUsage(data); ok {
			usage = u
			continue
		}
		if isError(data) {
			// An engine may end its stream as usual after it.
			e.s.addBill(e.r, nil, false)
			return streamer.Frame{Kind: streamer.KindFailed, Code: "engine-failed", Outcome: streamer.OutcomeRun}, nil
		}
		if !json.Valid(data) {
			e.s.addBill(e.r, nil, false)
			return streamer.Frame{Kind: streamer.KindFailed, Code: "engine-malformed", Outcome: streamer.OutcomeRun}, nil
		}
		e.s.progress.RecordToken(e.waitID, e.s.Now())
		e.waitID = 0
		if err := e.r.replay.AppendBuffered(ctx, streamer.Frame{Kind: streamer.KindToken, Data: data}); err != nil {
			return e.stopResult(ctx)
		}
		if e.r.tokens++; e.r.tokens == 1 && e.r.onFirstToken != nil {
			e.r.onFirstToken()
		}
	}
	if ctx.Err() != nil {
		return e.stopResult(ctx)
	}
	e.s.addBill(e.r, nil, false)
	return streamer.Frame{Kind: streamer.KindFailed, Code: "engine-ended-early", Outcome: streamer.OutcomeRun}, nil
}

// endWait ends the current wait if no token has ended it.
func (e *engineExecutor) endWait() {
	e.s.progress.EndWait(e.waitID, e.s.Now())
	e.waitID = 0
}

// stopResult returns errPreempted after a preemption, or else the final frame of a run that was cancelled or has passed its
// deadline.
func (e *engineExecutor) stopResult(ctx context.Context) (streamer.Frame, error) {
	if errors.Is(context.Cause(ctx), errPreempted) {
		return streamer.Frame{}, errPreempted
	}
	e.s.addBill(e.r, nil, false)
	return e.s.interruptedFrame(ctx, e.r), nil
}

type engineChunk struct {
	Usage *engineUsage `json:"usage"`
}

type engineUsage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// isError reports whether data is an error object instead of a chunk.
func isError(data []byte) bool {
	if !bytes.Contains(data, []byte(`"error"`)) {
		return false
	}
	var c struct {
		Error   json.RawMessage `json:"error"`
		Choices json.RawMessage `json:"choices"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Error) > 0 && string(c.Error) != "null" && c.Choices == nil
}

// decodeUsage decodes a chunk that has usage and no choices, and reports whether data is one. A chunk with null usage, or
// with usage and choices, is passed on to the caller, who needs the choices; some engines send usage in every chunk.
func decodeUsage(data []byte) (*streamer.Usage, bool) {
	if !bytes.Contains(data, []byte(`"usage":{`)) || !bytes.Contains(data, []byte(`"choices":[]`)) {
		return nil, false
	}
	var c engineChunk
	if err := json.Unmarshal(data, &c); err != nil || c.Usage == nil {
		return nil, false
	}
	return &streamer.Usage{
		PromptTokens: c.Usage.PromptTokens, CompletionTokens: c.Usage.CompletionTokens,
		CachedTokens: c.Usage.PromptTokensDetails.CachedTokens,
	}, true
}
