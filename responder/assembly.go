package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/streamer"
)

var errNoFinishReason = errors.New("responder: response has no finish reason")

// chunk has the fields of an engine's chat completion chunk from which a unary response is assembled.
type chunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// SystemFingerprint and ServiceTier are the same in every chunk; not all engines send them.
	SystemFingerprint string `json:"system_fingerprint"`
	ServiceTier       string `json:"service_tier"`
	Choices           []struct {
		Delta struct {
			Content string `json:"content"`
			Refusal string `json:"refusal"`
			// ReasoningContent is streamed by reasoning models before Content.
			ReasoningContent string     `json:"reasoning_content"`
			ToolCalls        []toolCall `json:"tool_calls"`
		} `json:"delta"`
		Logprobs     *logprobs `json:"logprobs"`
		FinishReason *string   `json:"finish_reason"`
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

// logprobs holds the log probabilities of the tokens of a chunk or, concatenated, of a whole message.
type logprobs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal"`
}

type completionMessage struct {
	Role      string               `json:"role"`
	Content   *string              `json:"content"`
	Refusal   *string              `json:"refusal"`
	Reasoning string               `json:"reasoning_content,omitempty"`
	ToolCalls []completionToolCall `json:"tool_calls,omitempty"`
}

// completionToolCall is a tool call of a unary response; unlike one of a chunk, it is complete and has no index.
type completionToolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function any    `json:"function"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	Logprobs     *logprobs         `json:"logprobs,omitempty"`
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

	SystemFingerprint string `json:"system_fingerprint,omitempty"`
	ServiceTier       string `json:"service_tier,omitempty"`
}

func usageBody(u streamer.Usage) *completionUsage {
	b := &completionUsage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens: u.PromptTokens + u.CompletionTokens,
	}
	b.Details.CachedTokens = u.CachedTokens
	return b
}

// assembly merges chunks into the message of a unary response.
type assembly struct {
	lastChunk                chunk
	text, refusal, reasoning strings.Builder
	toolCalls                []toolCall
	logprobs                 *logprobs
	finishReason             string
}

// add merges one encoded chunk.
func (a *assembly) add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("responder: decode chunk: %w", err)
	}
	a.lastChunk = c
	for i := range c.Choices {
		choice := &c.Choices[i]
		a.text.WriteString(choice.Delta.Content)
		a.refusal.WriteString(choice.Delta.Refusal)
		a.reasoning.WriteString(choice.Delta.ReasoningContent)
		for _, t := range choice.Delta.ToolCalls {
			if err := a.addToolCall(t); err != nil {
				return err
			}
		}
		if l := choice.Logprobs; l != nil {
			if a.logprobs == nil {
				a.logprobs = &logprobs{}
			}
			a.logprobs.Content = append(a.logprobs.Content, l.Content...)
			a.logprobs.Refusal = append(a.logprobs.Refusal, l.Refusal...)
		}
		if r := choice.FinishReason; r != nil {
			a.finishReason = *r
		}
	}
	return nil
}

// addToolCall merges one part of a tool call; the name comes in the first part and the arguments follow in pieces.
func (a *assembly) addToolCall(t toolCall) error {
	if t.Index < 0 || t.Index >= maxToolCalls {
		return fmt.Errorf("responder: tool call %d is out of range", t.Index)
	}
	for len(a.toolCalls) <= t.Index {
		a.toolCalls = append(a.toolCalls, toolCall{Index: len(a.toolCalls), Type: "function"})
	}
	call := &a.toolCalls[t.Index]
	if t.ID != "" {
		call.ID = t.ID
	}
	call.Function.Name += t.Function.Name
	call.Function.Arguments += t.Function.Arguments
	return nil
}

// encode returns the chat completion as JSON; it fails if no chunk had a finish reason.
func (a *assembly) encode(u streamer.Usage) ([]byte, error) {
	if a.finishReason == "" {
		return nil, errNoFinishReason
	}
	m := completionMessage{Role: "assistant", Reasoning: a.reasoning.String()}
	if text := a.text.String(); text != "" || len(a.toolCalls) == 0 {
		m.Content = &text
	}
	if refusal := a.refusal.String(); refusal != "" {
		m.Refusal = &refusal
	}
	for _, t := range a.toolCalls {
		m.ToolCalls = append(m.ToolCalls, completionToolCall{ID: t.ID, Type: t.Type, Function: t.Function})
	}
	body, err := json.Marshal(completionBody{
		ID: a.lastChunk.ID, Object: "chat.completion", Created: a.lastChunk.Created, Model: a.lastChunk.Model,
		Choices: []completionChoice{{Message: m, Logprobs: a.logprobs, FinishReason: a.finishReason}}, Usage: usageBody(u),
		SystemFingerprint: a.lastChunk.SystemFingerprint, ServiceTier: a.lastChunk.ServiceTier,
	})
	if err != nil {
		return nil, fmt.Errorf("responder: encode response: %w", err)
	}
	return body, nil
}
