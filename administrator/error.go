package administrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/siskinfront/siskinfront/configurer"
)

// APIError is an error response of the API, with its HTTP status and a code in kebab case.
type APIError struct {
	Status  int
	Code    string
	Message string
	// ETag is the current ETag of the item, if the request failed because If-Match does not match it.
	ETag     string
	Problems []configurer.Problem
}

// Error returns the code and the message.
func (e *APIError) Error() string {
	return "administrator: " + e.Code + ": " + e.Message
}

func newAPIError(status int, code, format string, args ...any) *APIError {
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

// writeError writes the error as JSON. An error of any other type, such as a store failure, is logged and becomes a 503 without
// details.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var apiErr *APIError
	var invalid *configurer.InvalidError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &apiErr):
	case errors.As(err, &tooLarge):
		apiErr = newAPIError(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &invalid):
		apiErr = newAPIError(http.StatusUnprocessableEntity, "invalid-configuration", "%d problems", len(invalid.Problems))
		apiErr.Problems = invalid.Problems
	default:
		s.log.ErrorContext(r.Context(), "administration request failed",
			slog.String("method", r.Method), slog.String("path", r.URL.Path), slog.Any("error", err))
		apiErr = newAPIError(http.StatusServiceUnavailable, "store-unavailable", "the configuration store gave no answer; the change may or may not be in force, read it before you repeat it")
	}
	if apiErr.ETag != "" {
		w.Header().Set("ETag", apiErr.ETag)
	}
	s.count("errors-" + apiErr.Code)
	writeJSON(w, apiErr.Status, errorBody{Error: errorDetail{Code: apiErr.Code, Message: apiErr.Message, Problems: apiErr.Problems}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected, so it cannot be reported to the client.
	_ = json.NewEncoder(w).Encode(v)
}
