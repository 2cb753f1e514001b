package entryserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

var errNoFinish = errors.New("entryserver: response has no finish reason")

// chunk is the part of an engine's chunk that a unary response is assembled from.
type chunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content   string     `json:"content"`
			Refusal   string     `json:"refusal"`
			ToolCalls []toolCall `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// maxToolCalls bounds the tool calls of one response.
const maxToolCalls = 128

// answer is the response to a chat completion, unary or streamed.
type answer struct {
	w            http.ResponseWriter
	stream       bool
	includeUsage bool
	// keep is set when a streamed response is also stored.
	keep     bool
	sent     bool
	unsent   bool
	buf      []byte
	stored   []byte
	last     chunk
	text     strings.Builder
	refusal  strings.Builder
	tools    []toolCall
	finished string
	body     []byte
}

func newAnswer(w http.ResponseWriter, req *decoder.Request) *answer {
	return &answer{w: w, stream: req.Stream, includeUsage: req.IncludeUsage, keep: req.IdempotencyKey != ""}
}

func (a *answer) started(*streamer.Frame) error { return nil }

func (a *answer) token(f *streamer.Frame) error {
	if a.stream {
		return a.event(f.Data)
	}
	var c chunk
	if err := json.Unmarshal(f.Data, &c); err != nil {
		return fmt.Errorf("entryserver: decode chunk: %w", err)
	}
	a.last = c
	for i := range c.Choices {
		d := &c.Choices[i].Delta
		a.text.WriteString(d.Content)
		a.refusal.WriteString(d.Refusal)
		for _, t := range d.ToolCalls {
			if err := a.tool(t); err != nil {
				return err
			}
		}
		if r := c.Choices[i].FinishReason; r != nil {
			a.finished = *r
		}
	}
	return nil
}

// tool merges one part of a tool call, whose name comes first and whose arguments follow in pieces.
func (a *answer) tool(t toolCall) error {
	if t.Index < 0 || t.Index >= maxToolCalls {
		return fmt.Errorf("entryserver: tool call %d is out of range", t.Index)
	}
	for len(a.tools) <= t.Index {
		a.tools = append(a.tools, toolCall{Index: len(a.tools), Type: "function"})
	}
	have := &a.tools[t.Index]
	if t.ID != "" {
		have.ID = t.ID
	}
	have.Function.Name += t.Function.Name
	have.Function.Arguments += t.Function.Arguments
	return nil
}

// event writes one server-sent event. A failed write is not reported here: the end of the request's context tells that
// the caller left, and a claimed run continues without its caller.
func (a *answer) event(data []byte) error {
	if !a.sent {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
		a.sent = true
	}
	a.buf = append(append(append(a.buf[:0], "data: "...), data...), "\n\n"...)
	if a.keep && len(a.stored) <= maxStored {
		a.stored = append(a.stored, a.buf...)
	}
	_, _ = a.w.Write(a.buf)
	a.unsent = true
	return nil
}

// flush sends the events that were written since the last one; tokens that arrive together share one.
func (a *answer) flush() {
	if !a.unsent {
		return
	}
	a.unsent = false
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (a *answer) begun() bool { return a.sent }

func (a *answer) reset() {
	*a = answer{w: a.w, stream: a.stream, includeUsage: a.includeUsage, keep: a.keep}
}

// fail ends a stream with an error event and without [DONE].
func (a *answer) fail(e *decoder.Error) {
	_ = a.event(e.Object())
	a.flush()
}

type completionMessage struct {
	Role      string         `json:"role"`
	Content   *string        `json:"content"`
	Refusal   *string        `json:"refusal"`
	ToolCalls []finishedTool `json:"tool_calls,omitempty"`
}

// finishedTool is a whole tool call, which has no index.
type finishedTool struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function any    `json:"function"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

func usageBody(u streamer.Usage) *completionUsage {
	b := &completionUsage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens: u.PromptTokens + u.CompletionTokens,
	}
	b.Details.CachedTokens = u.CachedTokens
	return b
}

func (a *answer) finish(u streamer.Usage) error {
	if a.stream {
		if a.includeUsage {
			data, err := json.Marshal(completionBody{
				ID: "chatcmpl-" + a.w.Header().Get(decoder.HeaderRequestID), Object: "chat.completion.chunk",
				Model: a.w.Header().Get(decoder.HeaderModel), Choices: []completionChoice{}, Usage: usageBody(u),
			})
			if err != nil {
				return fmt.Errorf("entryserver: encode usage: %w", err)
			}
			if err := a.event(data); err != nil {
				return err
			}
		}
		return a.event([]byte("[DONE]"))
	}
	if a.finished == "" {
		return errNoFinish
	}
	m := completionMessage{Role: "assistant"}
	if text := a.text.String(); text != "" || len(a.tools) == 0 {
		m.Content = &text
	}
	if refusal := a.refusal.String(); refusal != "" {
		m.Refusal = &refusal
	}
	for _, t := range a.tools {
		m.ToolCalls = append(m.ToolCalls, finishedTool{ID: t.ID, Type: t.Type, Function: t.Function})
	}
	body, err := json.Marshal(completionBody{
		ID: a.last.ID, Object: "chat.completion", Created: a.last.Created, Model: a.last.Model,
		Choices: []completionChoice{{Message: m, FinishReason: a.finished}}, Usage: usageBody(u),
	})
	if err != nil {
		return fmt.Errorf("entryserver: encode response: %w", err)
	}
	a.body = body
	return nil
}

// send writes a unary response; a streamed one is written already.
func (a *answer) send() error {
	if a.stream {
		return nil
	}
	a.w.Header().Set("Content-Type", "application/json")
	_, err := a.w.Write(a.body)
	return err
}

func (a *answer) result() Result {
	r := Result{Status: http.StatusOK, ContentType: "application/json", Body: a.body, Headers: map[string]string{}}
	if a.stream {
		r.ContentType, r.Body = "text/event-stream", a.stored
	}
	for _, name := range []string{decoder.HeaderRequestID, decoder.HeaderModel, decoder.HeaderVersion} {
		if v := a.w.Header().Get(name); v != "" {
			r.Headers[name] = v
		}
	}
	return r
}
