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

// chunk is the part of an engine's chunk that a whole answer is assembled from.
type chunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// answer writes the answer of one request to its caller, as a whole or as server-sent events.
type answer struct {
	w            http.ResponseWriter
	stream       bool
	begun        bool
	last         chunk
	text         strings.Builder
	finishReason string
}

func newAnswer(w http.ResponseWriter, stream bool) *answer {
	return &answer{w: w, stream: stream, finishReason: "stop"}
}

func (a *answer) token(data json.RawMessage) error {
	if a.stream {
		return a.event(data)
	}
	if err := json.Unmarshal(data, &a.last); err != nil {
		return fmt.Errorf("entryserver: decode chunk: %w", err)
	}
	for _, c := range a.last.Choices {
		a.text.WriteString(c.Delta.Content)
		if c.FinishReason != nil {
			a.finishReason = *c.FinishReason
		}
	}
	return nil
}

func (a *answer) event(data []byte) error {
	if !a.begun {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.WriteHeader(http.StatusOK)
		a.begun = true
	}
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("entryserver: write event to caller: %w", err)
	}
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// fail reports err in the stream once it has begun and returns nil then; before that it returns err.
func (a *answer) fail(err error) error {
	if !a.begun {
		return err
	}
	var e *decoder.Error
	if !errors.As(err, &e) {
		e = &decoder.Error{Code: "stream-broken", Type: decoder.TypeServer, Message: "the answer ended early"}
	}
	// The caller sees no [DONE] if this write fails as well.
	_ = a.event(e.Object())
	return nil
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
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
}

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

// finish ends a whole answer.
func (a *answer) finish(u *streamer.Usage) error {
	if a.stream {
		return a.event([]byte("[DONE]"))
	}
	body := completionBody{
		ID: a.last.ID, Object: "chat.completion", Created: a.last.Created, Model: a.last.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: a.finishReason,
		}},
	}
	if u != nil {
		body.Usage = completionUsage{
			PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
			TotalTokens: u.PromptTokens + u.CompletionTokens,
		}
	}
	a.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(a.w).Encode(body); err != nil {
		return fmt.Errorf("entryserver: write answer to caller: %w", err)
	}
	return nil
}
