package enginefaker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// HeaderRequestID names the request towards engines and plain services.
const HeaderRequestID = "Siskinfront-Request-Id"

// bytesPerToken is the length of a token of the prompt.
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
	if status := e.Fail(id); status != 0 {
		http.Error(w, "enginefaker: induced failure", status)
		return
	}
	var prompt []byte
	for _, m := range req.Messages {
		prompt = append(prompt, m...)
	}
	s := &sequence{
		request: id, priority: req.Priority, produced: req.ResumeFrom, limit: e.Tokens, wake: make(chan struct{}, 1),
	}
	if req.MaxTokens > 0 {
		s.limit = min(s.limit, req.MaxTokens)
	}
	promptTokens := len(prompt)/bytesPerToken + 1
	cached := 0
	e.mu.Lock()
	if req.ResumeFrom == 0 {
		e.executions[id]++
	}
	s.blocks, cached = e.cacheUse(prompt)
	e.mu.Unlock()
	s.prefill = float64(promptTokens - cached)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	if s.produced < s.limit {
		e.enqueue(s)
		defer e.drop(s)
	}
	out := eventWriter{w: w, prompt: prompt, text: e.Text, id: string(id), model: req.Model, created: e.Now().Unix()}
	for i := req.ResumeFrom; i < s.limit; i++ {
		if !e.await(r.Context(), s, i) {
			return
		}
		out.token(i, i == s.limit-1)
	}
	out.usage(promptTokens, cached, s.limit)
}

// await waits until token i is produced and applies the fault seams; it returns false when the stream is over.
func (e *Engine) await(ctx context.Context, s *sequence, i int) bool {
	if e.Cut(s.request, i) {
		panic(http.ErrAbortHandler)
	}
	if e.Stall(s.request, i) {
		<-ctx.Done()
		return false
	}
	if d := e.Slow(s.request, i); d > 0 {
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

// drop takes an unfinished stream whose reader left out of the batch.
func (e *Engine) drop(s *sequence) {
	e.mu.Lock()
	unfinished := s.produced < s.limit && !s.cancelled
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

func (o *eventWriter) head() {
	o.buf = append(o.buf[:0], `data: {"id":"chatcmpl-`...)
	o.buf = append(o.buf, o.id...)
	o.buf = append(o.buf, `","object":"chat.completion.chunk","created":`...)
	o.buf = strconv.AppendInt(o.buf, o.created, 10)
	o.buf = append(o.buf, `,"model":`...)
	o.buf = strconv.AppendQuote(o.buf, o.model)
}

func (o *eventWriter) send() {
	// A failed write means that the reader left; the next wait sees the ended context.
	_, _ = o.w.Write(o.buf)
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (o *eventWriter) token(i int, last bool) {
	o.head()
	o.buf = append(o.buf, `,"choices":[{"index":0,"delta":{"role":"assistant","content":`...)
	o.buf = strconv.AppendQuote(o.buf, o.text(o.prompt, i))
	o.buf = append(o.buf, `},"finish_reason":`...)
	if last {
		o.buf = append(o.buf, `"stop"`...)
	} else {
		o.buf = append(o.buf, "null"...)
	}
	o.buf = append(o.buf, "}]}\n\n"...)
	o.send()
}

func (o *eventWriter) usage(prompt, cached, completion int) {
	o.head()
	o.buf = append(o.buf, `,"choices":[],"usage":{"prompt_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(prompt), 10)
	o.buf = append(o.buf, `,"completion_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(completion), 10)
	o.buf = append(o.buf, `,"total_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(prompt+completion), 10)
	o.buf = append(o.buf, `,"prompt_tokens_details":{"cached_tokens":`...)
	o.buf = strconv.AppendInt(o.buf, int64(cached), 10)
	o.buf = append(o.buf, "}}}\n\ndata: [DONE]\n\n"...)
	o.send()
}
