package streamer

import (
	"encoding/json"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Kind is the type of a frame.
type Kind string

// The kinds of frames, in the order in which they may occur; done, refused and failed are final.
const (
	KindAccepted  Kind = "accepted"
	KindStarted   Kind = "started"
	KindToken     Kind = "token"
	KindHeartbeat Kind = "heartbeat"
	KindDone      Kind = "done"
	KindRefused   Kind = "refused"
	KindFailed    Kind = "failed"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that no upstream started the request and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRun means that an upstream ran the request.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// CodeBusy is the code of the refusal of an order that could not start by its StartDeadline; the outcome is always not-run.
const CodeBusy = "busy"

// CodeDraining is the code of the refusal of an order because the agent is shutting down; the outcome is always not-run.
const CodeDraining = "draining"

// Order is an entry's request to an agent to run a call at its upstream.
type Order struct {
	Request       identifier.Request       `json:"request-id"`
	Attempt       int                      `json:"attempt"`
	ClientAccount identifier.ClientAccount `json:"client-account"`
	WorkKind      identifier.WorkKind      `json:"work-kind"`
	Rank          identifier.Rank          `json:"rank"`
	Target        identifier.Target        `json:"target"`
	Service       identifier.Service       `json:"service,omitempty"`
	Session       identifier.Session       `json:"session,omitempty"`
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time `json:"deadline"`
	// StartDeadline is the time by which the run must start; the agent refuses the order with CodeBusy if no slot will be
	// free by then. Zero means that the order may wait until its deadline. The agent compares it with its own clock only
	// while no slot is free.
	StartDeadline time.Time `json:"start-by,omitzero"`
	NonIdempotent bool      `json:"non-idempotent"`
	// PromptTokens and MaxTokens estimate the cost of the run in tokens.
	PromptTokens int `json:"prompt-tokens"`
	MaxTokens    int `json:"max-tokens"`
	// Revision is the revision of the configuration by which the entry routed the request.
	Revision uint64 `json:"revision"`
	// Call is set if the upstream is a plain service, and nil if it is a model engine.
	Call *ServiceCall `json:"call,omitempty"`
}

// ServiceCall is the request line and the forwarded headers of a call to a plain service.
type ServiceCall struct {
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
}

// ServiceReply is the data of a plain service's started frame; the response body follows as base64 strings in token frames.
type ServiceReply struct {
	Status  int               `json:"status"`
	Headers map[string]string `json:"headers,omitempty"`
}

// Usage counts the tokens of one run.
type Usage struct {
	PromptTokens     int `json:"prompt-tokens"`
	CachedTokens     int `json:"cached-tokens"`
	CompletionTokens int `json:"completion-tokens"`
}

// Load is the load of one upstream at a point in time.
type Load struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	// Queued holds the numbers of waiting requests by rank, the most urgent rank first.
	Queued []int `json:"queued"`
	// TokenRate is the output of the engine in tokens per second.
	TokenRate float64 `json:"token-rate"`
	// EstimatedWait is the estimated time until a new request of the lowest rank starts.
	EstimatedWait time.Duration `json:"wait"`
	Draining      bool          `json:"leaving"`
	// Stalled is set while the engine has runs but generates no tokens, and after that until it generates a token again, also
	// for a probe request.
	Stalled bool `json:"stalled,omitempty"`
	// TokenInterval is the mean time between two tokens of a run, including the time to its first token, or 0 if there are
	// too few recent tokens.
	TokenInterval time.Duration `json:"step,omitempty"`
	// Slowdown is the time that work takes relative to the mean of upstreams that do the same work, or 0 if it is not known.
	Slowdown float64 `json:"slowdown,omitempty"`
	// SlowdownCorrection is the factor by which the slowdown differs now, or 0 if it is not known.
	SlowdownCorrection float64 `json:"slowdown-correction,omitempty"`
	// LoadedHash is a hash of the versions that the engine has loaded; it changes when they do.
	LoadedHash uint64 `json:"loaded,omitempty"`
}

// Frame is one part of a response; frames are numbered from 1 without gaps.
type Frame struct {
	Sequence uint64             `json:"sequence"`
	Request  identifier.Request `json:"request-id"`
	Kind     Kind               `json:"kind"`
	// Data is the engine's chunk for a token frame, and a Reply for a started frame of a plain service.
	Data    json.RawMessage `json:"data,omitempty"`
	Outcome Outcome         `json:"outcome,omitempty"`
	Code    string          `json:"code,omitempty"`
	Usage   *Usage          `json:"usage,omitempty"`
	Load    *Load           `json:"load,omitempty"`
	// RetryAt is the earliest time at which a refused request should be sent again.
	RetryAt time.Time `json:"retry-at,omitzero"`
	// Frames is the number of all frames of the stream and set in the done frame, so that a truncated response is never taken
	// for a complete one.
	Frames uint64 `json:"frames,omitempty"`
}

// Final reports whether the frame ends the stream.
func (f *Frame) Final() bool {
	return f.Kind == KindDone || f.Kind == KindRefused || f.Kind == KindFailed
}
