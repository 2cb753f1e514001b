package enginefaker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Engine answers chat completions with a fixed text of tokens.
type Engine struct {
	// Tokens is the number of tokens of an answer without a smaller limit.
	Tokens int
	// Interval is the time between tokens.
	Interval time.Duration

	mux *http.ServeMux
}

// New returns an engine that answers with 16 tokens without delay.
func New(opts ...Option) *Engine {
	e := &Engine{Tokens: 16, mux: http.NewServeMux()}
	for _, opt := range opts {
		opt(e)
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	return e
}

// Option configures an Engine.
type Option func(*Engine)

// WithInterval sets the time between tokens.
func WithInterval(interval time.Duration) Option {
	return func(e *Engine) { e.Interval = interval }
}

// ServeHTTP serves the engine's API.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

type completionRequest struct {
	Model     string            `json:"model"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []json.RawMessage `json:"messages"`
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "enginefaker: malformed request", http.StatusBadRequest)
		return
	}
	n := e.Tokens
	if req.MaxTokens > 0 {
		n = min(n, req.MaxTokens)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	id := r.Header.Get("Siskinfront-Request-Id")
	for i := range n {
		if e.Interval > 0 {
			select {
			case <-time.After(e.Interval):
			case <-r.Context().Done():
				return
			}
		}
		finish := "null"
		if i == n-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(w, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q,`+
			`"choices":[{"index":0,"delta":{"role":"assistant","content":"t%d "},"finish_reason":%s}]}`+"\n\n",
			id, time.Now().Unix(), req.Model, i, finish)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
	fmt.Fprintf(w, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q,"choices":[],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\ndata: [DONE]\n\n",
		id, time.Now().Unix(), req.Model, len(req.Messages), n, len(req.Messages)+n)
}
