package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/siskinfront/siskinfront/balancer"
)

// answerPanic logs the panic v of a request with its stack and answers the request if no part of a response was sent. q is nil
// if the panic came before the request was accepted.
func (f *Forwarder) answerPanic(w http.ResponseWriter, r *http.Request, q *request, v any) {
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	f.counters.panics.Add(1)
	f.log.Error("request panicked", "request", r.Header.Get(f.headers.RequestID), "method", r.Method, "path", r.URL.Path,
		"panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	if q != nil && q.call != nil && q.call.watch != nil {
		q.call.end(balancer.ResultCanceled, outcomeCanceled, false)
	}
	if q == nil {
		q = &request{id: r.Header.Get(f.headers.RequestID), arrived: f.Now()}
	}
	if q.responseStarted {
		f.counters.streamsBroken.Add(1)
		f.record(q, "broken", fmt.Errorf("forwarder: panic: %v", v))
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	// An upstream may still have the request, so the status must not promise that it did not run.
	f.refuse(w, q, &refusal{status: http.StatusInternalServerError, reason: "internal", closeConnection: true})
}
