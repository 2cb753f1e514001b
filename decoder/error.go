package decoder

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/streamer"
)

// The error types of the OpenAI error object.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypePermission     = "permission_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// Response headers.
const (
	HeaderRequestID = "Siskinfront-Request-Id"
	HeaderModel     = "Siskinfront-Model"
	HeaderVersion   = "Siskinfront-Version"
	HeaderOutcome   = streamer.HeaderOutcome
)

// Error is an error that is reported to the caller.
type Error struct {
	Status  int
	Code    string
	Type    string
	Message string
	// Outcome says whether the request ran; empty means not-run.
	Outcome streamer.Outcome
	// RetryAt is the earliest time at which a retry makes sense; zero means that none does.
	RetryAt time.Time
	// Cause is for logs only and is never sent to the caller.
	Cause error
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("decoder: %s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// NewInvalidRequest returns an error with status 400.
func NewInvalidRequest(code, text string) *Error {
	return &Error{Status: http.StatusBadRequest, Code: code, Type: TypeInvalidRequest, Message: text}
}

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Outcome repeats the outcome header, because a stream that has begun can no longer send headers.
	Outcome streamer.Outcome `json:"outcome"`
}

// OutcomeOrNotRun returns the outcome, or not-run if none is set.
func (e *Error) OutcomeOrNotRun() streamer.Outcome {
	if e.Outcome == "" {
		return streamer.OutcomeNotRun
	}
	return e.Outcome
}

// Object returns the OpenAI error object as JSON.
func (e *Error) Object() []byte {
	o := errorObject{Message: e.Message, Type: e.Type, Code: e.Code, Outcome: e.OutcomeOrNotRun()}
	b, err := json.Marshal(errorBody{Error: o})
	if err != nil {
		panic("decoder: encode error object: " + err.Error())
	}
	return b
}

// Write writes the error as a response with the outcome header and, if RetryAt is set, a Retry-After header.
func (e *Error) Write(w http.ResponseWriter, now time.Time) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.OutcomeOrNotRun()))
	if !e.RetryAt.IsZero() {
		seconds := math.Ceil(e.RetryAt.Sub(now).Seconds())
		h.Set("Retry-After", strconv.Itoa(int(max(1, seconds))))
	}
	w.WriteHeader(e.Status)
	// The caller may have disconnected; then the error can't be reported to anyone.
	_, _ = w.Write(append(e.Object(), '\n'))
}
