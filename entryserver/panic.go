package entryserver

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// panicError logs the panic v of a request with its stack and returns the error for the caller, who may not have got any part of
// a response yet. It panics again to abort the connection if the handler did so on purpose.
func (s *Server) panicError(r *http.Request, id identifier.Request, v any) *decoder.Error {
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	s.counters.panics.Add(1)
	s.log.ErrorContext(r.Context(), "request panicked", "request", id, "method", r.Method, "path", r.URL.Path,
		"panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	return &decoder.Error{
		Status: http.StatusInternalServerError, Code: "internal", Type: decoder.TypeServer,
		Message: "the request failed", Outcome: streamer.OutcomeUnknown,
	}
}
