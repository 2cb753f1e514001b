package decoder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 4 << 20

const (
	// prefixBytes is the length of the prompt prefix that is hashed for affinity; system prompts are rarely shorter.
	prefixBytes = 1024
	// maxHeaderBytes bounds the value of each header that callers may set.
	maxHeaderBytes = 256
)

// bytesPerToken is the estimated length of a token of text. It serves only to estimate load; bills use the engine's token counts.
const bytesPerToken = 4

// The headers that callers may set.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderWorkKind       = "Siskinfront-Work-Kind"
	HeaderSession        = "Siskinfront-Session"
	HeaderIdempotent     = "Siskinfront-Idempotent"
	HeaderDeadline       = "Siskinfront-Deadline"
)

// Request is a caller's decoded request.
type Request struct {
	Model          identifier.Model
	Stream         bool
	MaxTokens      int
	PromptTokens   int
	WorkKind       identifier.WorkKind
	Session        identifier.Session
	IdempotencyKey string
	// NonIdempotent is set when the caller does not allow the request to run a second time.
	NonIdempotent bool
	// Deadline is zero if the caller sets none.
	Deadline time.Time
	// IncludeUsage is set when the caller of a stream asks for the token usage in the last chunk.
	IncludeUsage bool
	// Prefix is a hash of the prompt's prefix, for affinity to upstreams that may have cached it; it is 0 for a prompt that is too
	// short to benefit.
	Prefix uint64
	// Body is the request body as received.
	Body []byte
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completionRequest struct {
	Model               identifier.Model `json:"model"`
	Stream              bool             `json:"stream"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	N                   *int             `json:"n"`
	Messages            []message        `json:"messages"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Decode decodes a chat completion request; every error is an *Error with outcome not-run.
func Decode(r *http.Request, now time.Time) (*Request, error) {
	req, err := decodeHeaders(r.Header, now)
	if err != nil {
		return nil, err
	}
	body, err := ReadBody(r)
	if err != nil {
		return nil, err
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, NewInvalidRequest("malformed-json", "the body is not a valid chat completion request")
	}
	if c.Model == "" {
		return nil, NewInvalidRequest("missing-model", "the body names no model")
	}
	if len(c.Messages) == 0 {
		return nil, NewInvalidRequest("missing-messages", "the body has no messages")
	}
	if c.N != nil && *c.N != 1 {
		return nil, NewInvalidRequest("unsupported-n", "only one choice per request is supported")
	}
	req.Model = c.Model
	req.IncludeUsage = c.StreamOptions != nil && c.StreamOptions.IncludeUsage
	req.Prefix = hashPrefix(c.Messages)
	req.Stream = c.Stream
	req.Body = body
	for _, m := range c.Messages {
		req.PromptTokens += len(m.Content)/bytesPerToken + 1
	}
	for _, n := range []*int{c.MaxTokens, c.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n <= 0 {
			return nil, NewInvalidRequest("invalid-max-tokens", "the token limit must be positive")
		}
		req.MaxTokens = *n
	}
	return req, nil
}

// DecodeService decodes a call to a plain service; every error is an *Error with outcome not-run.
func DecodeService(r *http.Request, now time.Time) (*Request, error) {
	req, err := decodeHeaders(r.Header, now)
	if err != nil {
		return nil, err
	}
	if req.Body, err = ReadBody(r); err != nil {
		return nil, err
	}
	return req, nil
}

// hashPrefix hashes the first prefixBytes of the messages. It returns 0 for shorter prompts: an engine processes them in a few
// steps, and each has a different hash, whose affinity could direct it to a busy upstream without any gain.
func hashPrefix(messages []message) uint64 {
	d := xxhash.New()
	remaining := prefixBytes
	for _, m := range messages {
		n := min(remaining, len(m.Content))
		// Writes to the hash never fail.
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write(m.Content[:n])
		if remaining -= n; remaining == 0 {
			return d.Sum64()
		}
	}
	return 0
}

// maxDiscardedBytes bounds how much of a body that is too large is read and discarded.
const maxDiscardedBytes = 64 << 20

// ReadBody reads a body of at most MaxBodyBytes; every error is an *Error with outcome not-run.
func ReadBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		// Some client libraries report a connection reset instead of the 413 response if the connection closes while they
		// send, so the rest of the body is read first. An error only ends that earlier.
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
		return nil, &Error{
			Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Type: TypeInvalidRequest,
			Message: fmt.Sprintf("the body exceeds %d bytes", MaxBodyBytes),
		}
	}
	if err != nil {
		return nil, NewInvalidRequest("unreadable-body", "the body could not be read")
	}
	return body, nil
}

func decodeHeaders(h http.Header, now time.Time) (*Request, error) {
	for _, name := range []string{
		HeaderIdempotencyKey, HeaderWorkKind, HeaderSession, HeaderIdempotent, HeaderDeadline, "Authorization",
	} {
		if len(h.Values(name)) > 1 {
			return nil, NewInvalidRequest("duplicate-header", "the header "+name+" was sent twice")
		}
		if len(h.Get(name)) > maxHeaderBytes {
			return nil, NewInvalidRequest("invalid-header", "the header "+name+" is too long")
		}
	}
	req := &Request{
		WorkKind:       identifier.WorkKind(h.Get(HeaderWorkKind)),
		Session:        identifier.Session(h.Get(HeaderSession)),
		IdempotencyKey: h.Get(HeaderIdempotencyKey),
	}
	switch h.Get(HeaderIdempotent) {
	case "", "true":
	case "false":
		req.NonIdempotent = true
	default:
		return nil, NewInvalidRequest("invalid-header", HeaderIdempotent+" must be true or false")
	}
	if text := h.Get(HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return nil, NewInvalidRequest("invalid-deadline", HeaderDeadline+" must be a time of RFC 3339")
		}
		if !deadline.After(now) {
			return nil, NewInvalidRequest("deadline-in-the-past", "the deadline has passed")
		}
		req.Deadline = deadline
	}
	return req, nil
}
