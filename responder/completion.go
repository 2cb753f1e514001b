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
	// storeStream is set when the events of a streamed response are kept for storage.
	storeStream  bool
	begun        bool
	unflushed    bool
	eventBuf     []byte
	storedStream []byte
	assembly     assembly
	body         []byte
}

// NewCompletion returns a response to req that is written to w.
func NewCompletion(w http.ResponseWriter, req *decoder.Request) *Completion {
	return &Completion{w: w, stream: req.Stream, includeUsage: req.IncludeUsage, storeStream: req.IdempotencyKey != ""}
}

// Started does nothing, because the response begins with the first chunk.
func (c *Completion) Started(*streamer.Frame) error { return nil }

// Token writes a chunk of the engine to a stream, or adds it to a unary response.
func (c *Completion) Token(f *streamer.Frame) error {
	if c.stream {
		return c.writeEvent(f.Data)
	}
	return c.assembly.add(f.Data)
}

// writeEvent writes one server-sent event. It ignores write errors: when the caller disconnects, the request's context ends, and
// a run that holds a claim continues without its caller.
func (c *Completion) writeEvent(data []byte) error {
	if !c.begun {
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-cache")
		c.w.WriteHeader(http.StatusOK)
		c.begun = true
	}
	c.eventBuf = append(append(append(c.eventBuf[:0], "data: "...), data...), "\n\n"...)
	if c.storeStream && len(c.storedStream) <= MaxStoredBytes {
		c.storedStream = append(c.storedStream, c.eventBuf...)
	}
	_, _ = c.w.Write(c.eventBuf)
	c.unflushed = true
	return nil
}

// Flush sends the events written since the last flush; chunks that arrive together share one flush.
func (c *Completion) Flush() {
	if !c.unflushed {
		return
	}
	c.unflushed = false
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}

// Begun reports whether part of the response has been written to the caller.
func (c *Completion) Begun() bool { return c.begun }

// Reset discards what a failed attempt has produced.
func (c *Completion) Reset() {
	*c = Completion{w: c.w, stream: c.stream, includeUsage: c.includeUsage, storeStream: c.storeStream}
}

// Fail ends a stream with an error event instead of [DONE].
func (c *Completion) Fail(e *decoder.Error) {
	_ = c.writeEvent(e.Object())
	c.Flush()
}

// Finish ends a stream with [DONE], after the usage if the caller asked for it, or encodes a unary response. It fails if the
// chunks of a unary response make no complete message.
func (c *Completion) Finish(u streamer.Usage) error {
	if !c.stream {
		body, err := c.assembly.encode(u)
		c.body = body
		return err
	}
	if c.includeUsage {
		data, err := json.Marshal(completionBody{
			ID: "chatcmpl-" + c.w.Header().Get(decoder.HeaderRequestID), Object: "chat.completion.chunk",
			Model: c.w.Header().Get(decoder.HeaderModel), Choices: []completionChoice{}, Usage: usageBody(u),
		})
		if err != nil {
			return fmt.Errorf("responder: encode usage: %w", err)
		}
		if err := c.writeEvent(data); err != nil {
			return err
		}
	}
	return c.writeEvent([]byte("[DONE]"))
}

// Send writes a unary response; a streamed one has already been written.
func (c *Completion) Send() error {
	if c.stream {
		return nil
	}
	c.w.Header().Set("Content-Type", "application/json")
	_, err := c.w.Write(c.body)
	return err
}

// Stored returns the complete response for storage with the claim.
func (c *Completion) Stored() StoredResponse {
	r := StoredResponse{Status: http.StatusOK, ContentType: "application/json", Body: c.body, Headers: map[string]string{}}
	if c.stream {
		r.ContentType, r.Body = "text/event-stream", c.storedStream
	}
	for _, name := range []string{decoder.HeaderRequestID, decoder.HeaderModel, decoder.HeaderVersion} {
		if v := c.w.Header().Get(name); v != "" {
			r.Headers[name] = v
		}
	}
	return r
}
