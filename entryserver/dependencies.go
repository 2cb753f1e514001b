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

// ErrClaimUnavailable is returned by Claim when the claim could not be written; the request must not run then.
var ErrClaimUnavailable = errors.New("entryserver: claim cannot be written")

// ErrClaimMismatch is returned by Claim when the idempotency key was used with another request.
var ErrClaimMismatch = errors.New("entryserver: idempotency key was used with another request")

// SpendLimitError is returned by Reserve when a run could exceed the hard limit of the spend.
type SpendLimitError struct {
	// RetryAt is the end of the period or the time of the next lease; the zero value stands for a short
	// delay.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *SpendLimitError) Error() string {
	return "entryserver: run could exceed the hard limit of the spend"
}

// Upstream is a chosen upstream with the address of its agent, through which the entry reaches it.
type Upstream struct {
	Name       identifier.Upstream
	DataCentre identifier.DataCentre
	Agent      netip.AddrPort
	// StartDeadline is the time by which the run must start, otherwise the agent refuses the order as busy; zero lets the
	// order wait.
	StartDeadline time.Time
}

// ChoiceInput holds what the choice of an upstream depends on.
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
	// BusyRefusals is the number of upstreams that refused the request because it would have had to wait for a slot.
	BusyRefusals int
	Query        selector.Query
}

// StoredResponse is the stored response of a non-idempotent request.
type StoredResponse struct {
	Outcome     streamer.Outcome
	Status      int
	ContentType string
	Headers     map[string]string
	Body        []byte
}

// Claim is the right to run a non-idempotent request, written before the run.
type Claim struct {
	// Previous is set if another request holds the key; its Status is 0 while that one has no stored response.
	Previous *StoredResponse
	// MarkStarted records durably that the run may begin; if it fails, the request is not sent.
	MarkStarted func(ctx context.Context) error
	// Finish stores the response.
	Finish func(ctx context.Context, r StoredResponse) error
	// Release frees the key after a request that certainly did not run.
	Release func(ctx context.Context) error
}

// RatingInput identifies an answer for the rating service.
type RatingInput struct {
	// Request is the ID of the run, as returned by StepID.
	Request  identifier.Request
	WorkKind identifier.WorkKind
	Target   identifier.Target
	At       time.Time
	// Requested is set if the selection asked for the rating.
	Requested bool
}

// Attempt records one order that was sent to one upstream.
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
	// FirstTokenAt is zero if no token arrived.
	FirstTokenAt time.Time
	EndedAt      time.Time
	// started is set once the upstream has begun the run, billed once the final bill of the run is recorded.
	started, billed bool
}

// DecisionRecord lists the decisions about one request.
type DecisionRecord struct {
	Request  identifier.Request
	At       time.Time
	Target   identifier.Target
	Upstream identifier.Upstream
	Steps    []DecisionStep
}

// DecisionStep is one decision.
type DecisionStep struct {
	Decision string
	Reason   string
}
