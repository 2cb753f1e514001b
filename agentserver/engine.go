package agentserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/siskinfront/siskinfront/streamer"
)

// maxEvent bounds one event of the engine in bytes.
const maxEvent = 1 << 20

// engineAttempt runs an order at a model engine. After a preemption the engine resumes after the last token.
type engineAttempt struct {
	s       *Server
	r       *run
	started bool
	// wait is the number of the wait for the engine, 0 while the run waits for its reader.
	wait uint64
}

func (a *engineAttempt) run(ctx context.Context) (streamer.Frame, error) {
	body, err := a.s.engineBody(a.r)
	if err != nil {
		return streamer.Frame{Kind: streamer.KindFailed, Code: "malformed-body", Outcome: a.r.outcomeNow()}, nil
	}
	a.wait = a.s.progress.BeginWait(a.s.Now())
	defer a.endWait()
	resp, final, err := a.s.send(ctx, a.r, http.MethodPost, "/v1/chat/completions",
		map[string]string{"Content-Type": "application/json"}, body)
	if err != nil {
		return streamer.Frame{}, err
	}
	if final != nil {
		return *final, nil
	}
	defer resp.Body.Close()
	a.endWait()
	if resp.StatusCode != http.StatusOK {
		// The engine had the request, so it is not certain that nothing ran.
		return streamer.Frame{Kind: streamer.KindFailed, Code: "engine-refused", Outcome: streamer.OutcomeUnknown}, nil
	}
	a.r.respond()
	if !a.started {
		a.started = true
		a.s.addBill(a.r, nil, false)
		if err := a.r.replay.Append(ctx, streamer.Frame{Kind: streamer.KindStarted}); err != nil {
			return a.stopped(ctx)
		}
	}
	return a.copyEvents(ctx, resp)
}

func (a *engineAttempt) copyEvents(ctx context.Context, resp *http.Response) (streamer.Frame, error) {
	var usage *streamer.Usage
	lines := streamer.NewLineReader(resp.Body, maxEvent)
	for {
		if !lines.More() {
			// Tokens that arrived together leave together.
			a.r.replay.Flush()
			if a.wait == 0 {
				a.wait = a.s.progress.BeginWait(a.s.Now())
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
			a.s.addBill(a.r, usage, true)
			return streamer.Frame{Kind: streamer.KindDone, Usage: usage, Outcome: streamer.OutcomeRun}, nil
		}
		if u, ok := usageOf(data); ok {
			usage = u
			continue
		}
		if !json.Valid(data) {
			a.s.addBill(a.r, nil, false)
			return streamer.Frame{Kind: streamer.KindFailed, Code: "engine-malformed", Outcome: streamer.OutcomeRun}, nil
		}
		a.s.progress.RecordToken(a.wait, a.s.Now())
		a.wait = 0
		if err := a.r.replay.AppendBuffered(ctx, streamer.Frame{Kind: streamer.KindToken, Data: data}); err != nil {
			return a.stopped(ctx)
		}
		if a.r.tokens++; a.r.tokens == 1 && a.r.begun != nil {
			a.r.begun()
		}
	}
	if ctx.Err() != nil {
		return a.stopped(ctx)
	}
	a.s.addBill(a.r, nil, false)
	return streamer.Frame{Kind: streamer.KindFailed, Code: "engine-ended-early", Outcome: streamer.OutcomeRun}, nil
}

// endWait ends a wait that brought no token.
func (a *engineAttempt) endWait() {
	a.s.progress.EndWait(a.wait, a.s.Now())
	a.wait = 0
}

// stopped returns errPreempted, or the final frame of a run that was ended from outside.
func (a *engineAttempt) stopped(ctx context.Context) (streamer.Frame, error) {
	if errors.Is(context.Cause(ctx), errPreempted) {
		return streamer.Frame{}, errPreempted
	}
	a.s.addBill(a.r, nil, false)
	return a.s.interrupted(ctx, a.r), nil
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

// usageOf decodes the usage of a chunk without choices; engines that repeat usage in every chunk send it as null or
// along with choices, which callers need.
func usageOf(data []byte) (*streamer.Usage, bool) {
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
