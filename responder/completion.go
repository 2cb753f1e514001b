package responder

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// Completion is the response to a chat completion, unary or streamed; it is not safe for concurrent use.
type Completion struct {
	w            http.ResponseWriter
	stream       bool
	includeUsage bool
	// keep is set when a streamed response is also stored.
	keep   bool
	sent   bool
	unsent bool
	buf    []byte
	stored []byte
	whole  assembly
	body   []byte
}

// NewCompletion returns a response to req that is written to w.
func NewCompletion(w http.ResponseWriter, req *decoder.Request) *Completion {
	return &Completion{w: w, stream: req.Stream, includeUsage: req.IncludeUsage, keep: req.IdempotencyKey != ""}
}

// Started does nothing: a completion begins with its first chunk.
func (a *Completion) Started(*streamer.Frame) error { return nil }

// Token takes one chunk of the engine.
func (a *Completion) Token(f *streamer.Frame) error {
	if a.stream {
		return a.event(f.Data)
	}
	return a.whole.add(f.Data)
}

// event writes one server-sent event. A failed write is not reported here: the end of the request's context tells that
// the caller left, and a claimed run continues without its caller.
func (a *Completion) event(data []byte) error {
	if !a.sent {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
		a.sent = true
	}
	a.buf = append(append(append(a.buf[:0], "data: "...), data...), "\n\n"...)
	if a.keep && len(a.stored) <= MaxStoredBytes {
		a.stored = append(a.stored, a.buf...)
	}
	_, _ = a.w.Write(a.buf)
	a.unsent = true
	return nil
}

// Flush sends the events that were written since the last one; tokens that arrive together share one.
func (a *Completion) Flush() {
	if !a.unsent {
		return
	}
	a.unsent = false
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

// Begun reports whether the caller has received a part.
func (a *Completion) Begun() bool { return a.sent }

// Reset drops the parts of a failed attempt.
func (a *Completion) Reset() {
	*a = Completion{w: a.w, stream: a.stream, includeUsage: a.includeUsage, keep: a.keep}
}

// Fail ends a stream with an error event and without [DONE].
func (a *Completion) Fail(e *decoder.Error) {
	_ = a.event(e.Object())
	a.Flush()
}

// Finish makes the response complete. It fails if the chunks of a unary response make no complete message.
func (a *Completion) Finish(u streamer.Usage) error {
	if !a.stream {
		body, err := a.whole.message(u)
		a.body = body
		return err
	}
	if a.includeUsage {
		data, err := json.Marshal(completionBody{
			ID: "chatcmpl-" + a.w.Header().Get(decoder.HeaderRequestID), Object: "chat.completion.chunk",
			Model: a.w.Header().Get(decoder.HeaderModel), Choices: []completionChoice{}, Usage: usageBody(u),
		})
		if err != nil {
			return fmt.Errorf("responder: encode usage: %w", err)
		}
		if err := a.event(data); err != nil {
			return err
		}
	}
	return a.event([]byte("[DONE]"))
}

// Send writes a unary response; a streamed one is written already.
func (a *Completion) Send() error {
	if a.stream {
		return nil
	}
	a.w.Header().Set("Content-Type", "application/json")
	_, err := a.w.Write(a.body)
	return err
}

// Stored returns the complete response for storage.
func (a *Completion) Stored() StoredResponse {
	r := StoredResponse{Status: http.StatusOK, ContentType: "application/json", Body: a.body, Headers: map[string]string{}}
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
