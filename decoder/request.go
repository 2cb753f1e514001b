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

// MaxBodyBytes bounds a caller's body in bytes.
const MaxBodyBytes = 4 << 20

const (
	// prefixBytes is the length of the prompt that counts for affinity; system prompts are rarely shorter.
	prefixBytes = 1024
	// maxHeader bounds the value of each header that callers may set, in bytes.
	maxHeader = 256
)

// bytesPerToken estimates tokens from bytes of text; it only weighs work, bills count the engine's own figure.
const bytesPerToken = 4

// The headers that callers may set.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderWorkKind       = "Siskinfront-Work-Kind"
	HeaderSession        = "Siskinfront-Session"
	HeaderIdempotent     = "Siskinfront-Idempotent"
	HeaderDeadline       = "Siskinfront-Deadline"
)

// Request is a caller's request after decoding.
type Request struct {
	Model          identifier.Model
	Stream         bool
	MaxTokens      int
	PromptTokens   int
	WorkKind       identifier.WorkKind
	Session        identifier.Session
	IdempotencyKey string
	// NonIdempotent is set when the caller forbids a second run.
	NonIdempotent bool
	// Deadline is zero when the caller states none.
	Deadline time.Time
	// IncludeUsage is set when a streaming caller wants the usage as its last chunk.
	IncludeUsage bool
	// Prefix is a hash of the start of the prompt, for affinity to upstreams that cached it; 0 for a prompt that is too
	// short to be worth it.
	Prefix uint64
	// Body is the caller's body as received.
	Body []byte
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completion struct {
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

// Decode reads a chat completion request; every error is a *Error with outcome not-run.
func Decode(r *http.Request, now time.Time) (*Request, error) {
	req, err := decodeHeaders(r.Header, now)
	if err != nil {
		return nil, err
	}
	body, err := ReadBody(r)
	if err != nil {
		return nil, err
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, Invalid("malformed-json", "the body is not a valid chat completion request")
	}
	if c.Model == "" {
		return nil, Invalid("missing-model", "the body names no model")
	}
	if len(c.Messages) == 0 {
		return nil, Invalid("missing-messages", "the body has no messages")
	}
	if c.N != nil && *c.N != 1 {
		return nil, Invalid("unsupported-n", "only one choice per request is supported")
	}
	req.Model = c.Model
	req.IncludeUsage = c.StreamOptions != nil && c.StreamOptions.IncludeUsage
	req.Prefix = prefix(c.Messages)
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
			return nil, Invalid("invalid-max-tokens", "the token limit must be positive")
		}
		req.MaxTokens = *n
	}
	return req, nil
}

// DecodeService reads a call to a plain service; every error is a *Error with outcome not-run.
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

// prefix hashes the first prefixBytes of the messages. It returns 0 for shorter ones: an engine reads them in a few steps,
// and each has a hash of its own, which would bind it to busy upstreams for nothing.
func prefix(messages []message) uint64 {
	d := xxhash.New()
	left := prefixBytes
	for _, m := range messages {
		n := min(left, len(m.Content))
		// Writes to the digest never fail.
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write(m.Content[:n])
		if left -= n; left == 0 {
			return d.Sum64()
		}
	}
	return 0
}

// maxDropped bounds the bytes of a body that are read and dropped after a refusal.
const maxDropped = 64 << 20

// ReadBody reads a body of at most MaxBody bytes.
func ReadBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		// Some client libraries see a reset instead of the refusal while they still send. An error only ends that earlier.
		_, _ = io.CopyN(io.Discard, r.Body, maxDropped)
		return nil, &Error{
			Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Type: TypeInvalidRequest,
			Message: fmt.Sprintf("the body exceeds %d bytes", MaxBodyBytes),
		}
	}
	if err != nil {
		return nil, Invalid("unreadable-body", "the body could not be read")
	}
	return body, nil
}

func decodeHeaders(h http.Header, now time.Time) (*Request, error) {
	for _, name := range []string{
		HeaderIdempotencyKey, HeaderWorkKind, HeaderSession, HeaderIdempotent, HeaderDeadline, "Authorization",
	} {
		if len(h.Values(name)) > 1 {
			return nil, Invalid("duplicate-header", "the header "+name+" was sent twice")
		}
		if len(h.Get(name)) > maxHeader {
			return nil, Invalid("invalid-header", "the header "+name+" is too long")
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
		return nil, Invalid("invalid-header", HeaderIdempotent+" must be true or false")
	}
	if text := h.Get(HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return nil, Invalid("invalid-deadline", HeaderDeadline+" must be a time of RFC 3339")
		}
		if !deadline.After(now) {
			return nil, Invalid("deadline-in-the-past", "the deadline has passed")
		}
		req.Deadline = deadline
	}
	return req, nil
}
