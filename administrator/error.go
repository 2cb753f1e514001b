package administrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/siskinfront/siskinfront/configurer"
)

// APIError is an error with its status and code in kebab case.
type APIError struct {
	Status  int
	Code    string
	Message string
	// ETag is the current ETag for the loser of a race.
	ETag     string
	Problems []configurer.Problem
}

// Error returns the code and the message.
func (e *APIError) Error() string {
	return "administrator: " + e.Code + ": " + e.Message
}

func fail(status int, code, format string, args ...any) *APIError {
	return &APIError{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code     string               `json:"code"`
	Message  string               `json:"message"`
	Problems []configurer.Problem `json:"problems,omitempty"`
}

// writeError answers with the error object; a failure of the store is a 503 without its details.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var known *APIError
	var invalid *configurer.InvalidError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &known):
	case errors.As(err, &large):
		known = fail(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than %d bytes", large.Limit)
	case errors.As(err, &invalid):
		known = fail(http.StatusUnprocessableEntity, "invalid-configuration", "%d problems", len(invalid.Problems))
		known.Problems = invalid.Problems
	default:
		s.log.ErrorContext(r.Context(), "administration request failed",
			slog.String("method", r.Method), slog.String("path", r.URL.Path), slog.Any("error", err))
		known = fail(http.StatusServiceUnavailable, "store-unavailable", "the configuration store gave no answer; the change may or may not be in force, read it before you repeat it")
	}
	if known.ETag != "" {
		w.Header().Set("ETag", known.ETag)
	}
	s.count("errors-" + known.Code)
	writeJSON(w, known.Status, errorBody{Error: errorDetail{Code: known.Code, Message: known.Message, Problems: known.Problems}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client has gone if this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
