package enginefaker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// HeaderRequestID is the header that carries the request ID to engines and plain services.
const HeaderRequestID = "Siskinfront-Request-Id"

// bytesPerToken is the length of a prompt token.
const bytesPerToken = 4

type completionRequest struct {
	Model     string            `json:"model"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []json.RawMessage `json:"messages"`
	// Priority is 0 for the most urgent work.
	Priority int `json:"priority"`
	// ResumeFrom is the number of tokens that an earlier stream of the same request delivered.
	ResumeFrom int `json:"resume_from"`
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "enginefaker: malformed request", http.StatusBadRequest)
		return
	}
	id := identifier.Request(r.Header.Get(HeaderRequestID))
	if status := e.FailStatus(id); status != 0 {
		http.Error(w, "enginefaker: induced failure", status)
		return
	}
	var prompt []byte
	for _, m := range req.Messages {
		prompt = append(prompt, m...)
	}
	s := &sequence{
		request: id, priority: req.Priority, produced: req.ResumeFrom, maxTokens: e.Tokens, wake: make(chan struct{}, 1),
	}
	if req.MaxTokens > 0 {
		s.maxTokens = min(s.maxTokens, req.MaxTokens)
	}
	promptTokens := len(prompt)/bytesPerToken + 1
	cached := 0
	e.mu.Lock()
	if req.ResumeFrom == 0 {
		e.executions[id]++
	}
	s.blocks, cached = e.lookUpAndStore(prompt)
	e.mu.Unlock()
	s.prefillTokens = float64(promptTokens - cached)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	if s.produced < s.maxTokens {
		e.enqueue(s)
		defer e.cancelUnfinished(s)
	}
	out := eventWriter{w: w, prompt: prompt, text: e.Text, id: string(id), model: req.Model, created: e.Now().Unix()}
	for i := req.ResumeFrom; i < s.maxTokens; i++ {
		if !e.awaitToken(r.Context(), s, i) {
			return
		}
		out.writeToken(i, i == s.maxTokens-1)
	}
	out.writeUsage(promptTokens, cached, s.maxTokens)
}

// awaitToken injects the faults set for token i and waits until it is produced; it returns false when the stream has ended.
func (e *Engine) awaitToken(ctx context.Context, s *sequence, i int) bool {
	if e.CutConnection(s.request, i) {
		panic(http.ErrAbortHandler)
	}
	if e.Stall(s.request, i) {
		<-ctx.Done()
		return false
	}
	if d := e.TokenDelay(s.request, i); d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return false
		}
	}
	for {
		e.mu.Lock()
		produced, cancelled := s.produced, s.cancelled
		e.mu.Unlock()
		switch {
		case cancelled:
			return false
		case produced > i:
			return true
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return false
		}
	}
}

// cancelUnfinished cancels a stream whose client disconnected before the end.
func (e *Engine) cancelUnfinished(s *sequence) {
	e.mu.Lock()
	unfinished := s.produced < s.maxTokens && !s.cancelled
	e.mu.Unlock()
	if unfinished {
		e.cancel(s.request)
	}
}

type eventWriter struct {
	w       http.ResponseWriter
	prompt  []byte
	text    func(prompt []byte, token int) string
	id      string
	model   string
	created int64
	buf     []byte
}

func (o *eventWriter) beginChunk() {
	o.buf = append(o.buf[:0], `data: {"id":"chatcmpl-`...)
	o.buf = append(o.buf, o.id...)
	o.buf = append(o.buf, `","object":"chat.completion.chunk","created":`...)
	o.buf = strconv.AppendInt(o.buf, o.created, 10)
	o.buf = append(o.buf, `,"model":`...)
	o.buf = strconv.AppendQuote(o.buf, o.model)
}

func (o *eventWriter) flushChunk() {
	// A write fails when the client disconnects; awaitToken then sees the canceled context.
	_, _ = o.w.Write(o.buf)
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (o *eventWriter) writeToken(i int, last bool) {
	o.beginChunk()
	o.buf = append(o.buf, `,"choices":[{"index":0,"delta":{"role":"assistant","content":`...)
	o.buf = strconv.AppendQuote(o.buf, o.text(o.prompt, i))
	o.buf = append(o.buf, `},"finish_reason":`...)
	if last {
		o.buf = append(o.buf, `"stop"`...)
	} else {
		o.buf = append(o.buf, "null"...)
	}
	o.buf = append(o.buf, "}]}\n\n"...)
	o.flushChunk()
}

func (o *eventWriter) writeUsage(prompt, cached, completion int) {
	o.beginChunk()
	o.buf = append(o.buf, `,"choices":[],"usage":{"prompt_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(prompt), 10)
	o.buf = append(o.buf, `,"completion_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(completion), 10)
	o.buf = append(o.buf, `,"total_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(prompt+completion), 10)
	o.buf = append(o.buf, `,"prompt_tokens_details":{"cached_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(cached), 10)
	o.buf = append(o.buf, "}}}\n\ndata: [DONE]\n\n"...)
	o.flushChunk()
}
