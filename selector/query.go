package selector

import (
	"errors"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// ErrUnknownModel is returned for a model that the configuration does not define.
var ErrUnknownModel = errors.New("selector: unknown model")

// ErrNotAllowed is returned for a model, or a pinned target, that the client account may not use.
var ErrNotAllowed = errors.New("selector: model is not allowed for the client account")

// ErrNoVersion is returned when no allowed version receives new work.
var ErrNoVersion = errors.New("selector: no version receives new work")

// ErrWithdrawn is returned when the pinned version of a session is withdrawn or no longer configured.
var ErrWithdrawn = errors.New("selector: pinned version is withdrawn")

// Query describes the request that a version is selected for.
type Query struct {
	ClientAccount *configurer.ClientAccount
	WorkKind      *configurer.WorkKind
	// Model is identifier.ModelAuto when the caller leaves the choice to the router.
	Model   identifier.Model
	Session identifier.Session
	// Pinned is the target the session started on; the zero value means none.
	Pinned       identifier.Target
	PromptTokens int
	MaxTokens    int
	// Deadline is the time by which the caller needs the answer; the zero value rules out a cascade.
	Deadline time.Time
	// Now is the time of the request; the zero value means the current time of the selector's clock.
	Now time.Time
}

// Decision is the selected target.
type Decision struct {
	Target identifier.Target
	// Cascade lists the targets of the next steps, to be run in order as long as the answer is rated below the quality target.
	// The slice is shared and must not be changed.
	Cascade []identifier.Target
	// Reason is one of the Reason constants.
	Reason string
	// NeedsRating requests a paid rating of the answer, because its version is selected by quality. It is set for a share of the
	// answers, so that ratings cost little relative to answers.
	NeedsRating bool
}

// The reasons of a decision.
const (
	ReasonPinned      = "pinned"
	ReasonOnly        = "only-candidate"
	ReasonCheapest    = "cheapest-at-target"
	ReasonExposure    = "exposure"
	ReasonExploration = "exploration"
	ReasonCascade     = "cascade"
	ReasonUnreachable = "target-unreachable"
)
