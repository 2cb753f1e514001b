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

// ErrPausedExpired ends the wait of paused work whose deadline has passed; unlike refused work it has run in part.
var ErrPausedExpired = errors.New("admitter: paused work is past its deadline")

// Refusal says that work was not started and will not be.
type Refusal struct { //nolint:errname // the interface between the packages fixes the name
	Code string
	// RetryAt is when the work is worth sending again.
	RetryAt time.Time
}

// Error returns the code of the refusal.
func (r *Refusal) Error() string {
	return "admitter: refused: " + r.Code
}

// Outcome returns not-run.
func (r *Refusal) Outcome() streamer.Outcome {
	return streamer.OutcomeNotRun
}

// AsRefusal returns the refusal in err, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
