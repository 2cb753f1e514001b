package admitter

import (
	"errors"
	"time"

	"github.com/siskinfront/siskinfront/streamer"
)

// The codes of a Refusal.
const (
	CodeUnknownRank  = "unknown-rank"
	CodeDraining     = streamer.CodeDraining
	CodeQueueFull    = "queue-full"
	CodeWaitTooLong  = "wait-too-long"
	CodeQueueTimeout = "queue-timeout"
	CodeDeadline     = "deadline-exceeded"
	CodeCanceled     = "canceled"
	CodeBusy         = streamer.CodeBusy
)

// ErrPausedExpired is the outcome of paused work whose deadline has passed or whose context has ended; unlike refused
// work it has run in part.
var ErrPausedExpired = errors.New("admitter: paused work is past its deadline")

// Refusal is the error for work that was not started and never will be.
type Refusal struct { //nolint:errname // the interface between the packages fixes the name
	Code string
	// RetryAt is the earliest time at which sending the work again is useful.
	RetryAt time.Time
}

// Error returns the code of the refusal after a prefix.
func (r *Refusal) Error() string {
	return "admitter: refused: " + r.Code
}

// Outcome returns OutcomeNotRun.
func (r *Refusal) Outcome() streamer.Outcome {
	return streamer.OutcomeNotRun
}

// AsRefusal returns the refusal that err wraps, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
