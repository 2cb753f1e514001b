package entryserver

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// ErrNoUpstream is returned by Choose when no live upstream serves the target.
var ErrNoUpstream = errors.New("entryserver: no upstream serves the target")

// ErrClaimUnavailable is returned by Claim when the claim could not be written, so that nothing may run.
var ErrClaimUnavailable = errors.New("entryserver: claim cannot be written")

// ErrClaimMismatch is returned by Claim when the key was used with another body.
var ErrClaimMismatch = errors.New("entryserver: idempotency key was used with another request")

// SpendLimitError is returned by Reserve when the hard limit of the spend leaves no room for a run.
type SpendLimitError struct {
	// RetryAt is the end of the period or the time of the next lease; the zero value means soon.
	RetryAt time.Time
}

// Error states the limit.
func (e *SpendLimitError) Error() string {
	return "entryserver: spend limit"
}

// Upstream is an upstream as the entry reaches it, through its agent.
type Upstream struct {
	Name       identifier.Upstream
	DataCentre identifier.DataCentre
	Agent      netip.AddrPort
	// StartDeadline is the time after which the order should be refused rather than wait there; zero lets it wait.
	StartDeadline time.Time
}

// ChoiceInput is what the choice of an upstream depends on.
type ChoiceInput struct {
	Target  identifier.Target
	Service identifier.Service
	// Prefix is a hash of the start of the prompt, 0 for plain services.
	Prefix  uint64
	Session identifier.Session
	// Rank is the position of the rank, 0 being the most urgent.
	Rank int
	// Exclude lists the upstreams that were tried before.
	Exclude []identifier.Upstream
	// BusyRefusals is the number of upstreams that refused the request because it would have waited there.
	BusyRefusals int
	Query        selector.Query
}

// Result is the stored response of a non-idempotent request.
type Result struct {
	Outcome     streamer.Outcome
	Status      int
	ContentType string
	Headers     map[string]string
	Body        []byte
}

// Claim is the right to run a non-idempotent request, written before the run.
type Claim struct {
	// Previous is set if another request holds the key; its Status is 0 while that one has no stored response.
	Previous *Result
	// MarkStarted notes durably that the run may begin; the request is not sent if it fails.
	MarkStarted func(ctx context.Context) error
	// Finish stores the response.
	Finish func(ctx context.Context, r Result) error
	// Release gives the key back after a truthful not-run.
	Release func(ctx context.Context) error
}

// RatingInput names an answer to the rating service.
type RatingInput struct {
	// Request is the name of the run, as returned by StepID.
	Request  identifier.Request
	WorkKind identifier.WorkKind
	Target   identifier.Target
	At       time.Time
	// Requested is set if the selection asked for the rating.
	Requested bool
}

// Attempt is the record of one order that was sent to one upstream.
type Attempt struct {
	Request  identifier.Request
	Upstream identifier.Upstream
	Target   identifier.Target
	Service  identifier.Service
	Rank     identifier.Rank
	Outcome  streamer.Outcome
	// Code is empty for a complete response.
	Code    string
	Usage   streamer.Usage
	BeganAt time.Time
	// FirstTokenAt is zero if there was none.
	FirstTokenAt time.Time
	EndedAt      time.Time
	// started is set once the upstream has begun the run, billed once its final bill is recorded.
	started, billed bool
}

// DecisionRecord is the record of the decisions about one request.
type DecisionRecord struct {
	Request  identifier.Request
	At       time.Time
	Target   identifier.Target
	Upstream identifier.Upstream
	Steps    []Step
}

// Step is one decision.
type Step struct {
	Decision string
	Reason   string
}
