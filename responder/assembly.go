package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/siskinfront/siskinfront/streamer"
)

var errNoFinish = errors.New("responder: response has no finish reason")

// chunk is the part of an engine's chunk that a unary response is assembled from.
type chunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// SystemFingerprint and ServiceTier are repeated by each chunk of the engines that have them.
	SystemFingerprint string `json:"system_fingerprint"`
	ServiceTier       string `json:"service_tier"`
	Choices           []struct {
		Delta struct {
			Content string `json:"content"`
			Refusal string `json:"refusal"`
			// ReasoningContent is what reasoning models stream ahead of their content.
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

// logprobs are the log probabilities of the tokens of a chunk or, joined, of a message.
type logprobs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal"`
}

type completionMessage struct {
	Role      string         `json:"role"`
	Content   *string        `json:"content"`
	Refusal   *string        `json:"refusal"`
	Reasoning string         `json:"reasoning_content,omitempty"`
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

// assembly collects the chunks of a unary response.
type assembly struct {
	last                     chunk
	text, refusal, reasoning strings.Builder
	tools                    []toolCall
	logprobs                 *logprobs
	finished                 string
}

// add takes one chunk.
func (a *assembly) add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("responder: decode chunk: %w", err)
	}
	a.last = c
	for i := range c.Choices {
		choice := &c.Choices[i]
		a.text.WriteString(choice.Delta.Content)
		a.refusal.WriteString(choice.Delta.Refusal)
		a.reasoning.WriteString(choice.Delta.ReasoningContent)
		for _, t := range choice.Delta.ToolCalls {
			if err := a.tool(t); err != nil {
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
			a.finished = *r
		}
	}
	return nil
}

// tool merges one part of a tool call, whose name comes first and whose arguments follow in pieces.
func (a *assembly) tool(t toolCall) error {
	if t.Index < 0 || t.Index >= maxToolCalls {
		return fmt.Errorf("responder: tool call %d is out of range", t.Index)
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

// message returns the encoded response.
func (a *assembly) message(u streamer.Usage) ([]byte, error) {
	if a.finished == "" {
		return nil, errNoFinish
	}
	m := completionMessage{Role: "assistant", Reasoning: a.reasoning.String()}
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
		Choices: []completionChoice{{Message: m, Logprobs: a.logprobs, FinishReason: a.finished}}, Usage: usageBody(u),
		SystemFingerprint: a.last.SystemFingerprint, ServiceTier: a.last.ServiceTier,
	})
	if err != nil {
		return nil, fmt.Errorf("responder: encode response: %w", err)
	}
	return body, nil
}
