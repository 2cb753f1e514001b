package forwarder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// stream serves a request that is answered by events. A resumable stream that breaks is resumed at another upstream after the
// last event.
func (f *Forwarder) stream(ctx context.Context, w http.ResponseWriter, q *request) error {
	f.budgets.ForService(q.service).recordRequest()
	q.hold(permit{held: true})
	defer q.releasePermit()
	r := newEventRelay(f, q, w)
	q.relativePromptSize = f.queueingOf(q.service).RelativePromptSize(q.promptTokens)
	return r.run(ctx)
}

// errCallerConnection is returned when a response cannot be written to the caller.
var errCallerConnection = errors.New("forwarder: caller's connection failed")

// failedAttempts returns the number of ended attempts in which the request may have run, except those that were escalated.
func (q *request) failedAttempts() int {
	n := 0
	for i := range q.attempts {
		switch q.attempts[i].outcome {
		case "", outcomeNotSent, outcomeNotRun, outcomeEscalated:
		default:
			n++
		}
	}
	return n
}

func (f *Forwarder) cascade(q *request) *selector.ConfidenceCascade {
	return f.cascades.ForRoute(q.route.Name, len(q.route.Models))
}

func (f *Forwarder) stepModel(q *request, step int) identifier.Model {
	if !q.anyModel {
		return ""
	}
	return q.route.Models[step]
}

// urgency maps a rank to the scale of engines, on which 0 is the most urgent; a resumed stream goes before new ones of its rank.
func urgency(rank int, resuming bool) int {
	u := min(1+2*rank, 9)
	if resuming {
		u--
	}
	return max(u, 0)
}

// escalate drops an answer in which its model has too little confidence and returns the next step of the cascade, if a larger
// model may be asked.
func (f *Forwarder) escalate(ctx context.Context, q *request, cascade *selector.ConfidenceCascade, step int, c *call) (int, bool) {
	if !q.anyModel || q.isTrial {
		return 0, false
	}
	q.pressure = f.queueingOf(q.service).effectivePressure(f.Now())
	confidence := q.attempts[c.index].confidence
	if confidence < 0 || cascade.Accept(step, confidence, q.rank, q.pressure, q.relativePromptSize) {
		return 0, false
	}
	// After a failed attempt, or without an upstream for the next one, the answer at hand is preferred to a better one.
	if q.failedAttempts() > 0 || ctx.Err() != nil || q.attemptsDenial(true, false) != "" ||
		!f.hasUpstream(q, nil) ||
		!f.budgets.ForService(q.service).Cascades.Allow() {
		return 0, false
	}
	f.counters.escalated.Add(1)
	f.OnResponse(c.info, c.timeToHead)
	c.end(balancer.ResultSuccess, outcomeEscalated, false)
	q.hold(permit{held: true, budget: f.budgets.ForService(q.service).Cascades})
	return cascade.Next(step), true
}

// recordEvent records that an event of a stream has arrived.
func (f *Forwarder) recordEvent(c *call) {
	a := &c.q.attempts[c.index]
	c.countEvent()
	if c.pace.firstAt.IsZero() {
		f.OnResponse(c.info, f.Now().Sub(c.beganAt))
		c.observePromptRead()
	}
	if d, ok := c.pace.add(f.Now()); ok {
		a.pace = d
		f.OnPace(c.info, d)
	}
	if pause := c.watch.recordEvent(); pause > 0 {
		f.observeEventPause(c.q, pause)
		a.longestPause = max(a.longestPause, pause)
		f.slowdowns.observe(c.name, f.modelName(c.q, a.model), pause, f.Now())
	}
}

// startResponse sends the head of the response, which is taken from the first upstream that sent an event.
func (f *Forwarder) startResponse(w http.ResponseWriter, control *http.ResponseController, c *call) {
	q := c.q
	if q.responseStarted {
		return
	}
	maps.Copy(w.Header(), f.responseHeader(c))
	q.responseStarted, q.status, q.contentType = true, c.response.StatusCode, c.response.Header.Get("Content-Type")
	// A response that the caller does not read ends at its deadline. A response recorder in tests supports no deadlines.
	_ = control.SetWriteDeadline(q.deadline)
	w.WriteHeader(c.response.StatusCode)
	f.observeFirstByte(q)
}

// checkContinuation ends an attempt whose response does not continue the stream that the caller receives.
func (f *Forwarder) checkContinuation(c *call) error {
	if !c.q.responseStarted {
		return nil
	}
	if resp := c.response; !c.q.isContinuation(resp) {
		f.counters.unverified.Add(1)
		c.end(balancer.ResultFailure, outcomeUnverified, true)
		return fmt.Errorf("%w: status %d and type %q at %s do not continue the stream", errUnverified, resp.StatusCode, resp.Header.Get("Content-Type"), c.name)
	}
	f.counters.resumed.Add(1)
	return nil
}

// endsStream reports whether the end of the response is that of the stream. A response without length or chunks may have been cut before its
// first event.
func (c *call) endsStream() bool {
	return c.q.responseStarted && (c.response.IsFramed() || c.q.attempts[c.index].events > 0)
}

// isContinuation reports whether a response may continue the stream that the caller receives: it has the status of its head, and the type of
// events or that of its head.
func (q *request) isContinuation(resp *connector.Response) bool {
	contentType := mediaType(resp.Header.Get("Content-Type"))
	return resp.StatusCode == q.status && (contentType == eventStreamType || contentType == mediaType(q.contentType))
}

// mediaType returns a content type without its parameters, in lower case.
func mediaType(contentType string) string {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// relayFailure handles a response to a stream request whose status is not a success: it passes the response on, or returns an
// error if the request may be retried or events were already sent.
func (f *Forwarder) relayFailure(ctx context.Context, w http.ResponseWriter, c *call) error {
	q, resp := c.q, c.response
	serverError := resp.StatusCode >= http.StatusInternalServerError
	if !q.responseStarted && (!serverError || !f.mayRetry(q, c.index)) {
		return f.relay(ctx, w, c)
	}
	if serverError {
		f.counters.upstreamErrors.Add(1)
	}
	if buf, whole, err := readUpTo(resp, maxBufferedBytes); err == nil && whole && !q.responseStarted {
		q.failedResponse = &bufferedResponse{resp.StatusCode, f.responseHeader(c), buf}
	}
	c.end(balancer.ResultFailure, outcomeFailed, true)
	return fmt.Errorf("%w: status %d at %s", errUpstreamFailed, resp.StatusCode, c.name)
}

// mayRetry reports whether the route allows an attempt after the one with an index, apart from the budget.
func (f *Forwarder) mayRetry(q *request, index int) bool {
	return q.route.Retryable() && index+1 < q.route.MaxAttempts
}
