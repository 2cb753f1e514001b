package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// maxIdleOnce bounds the idle time of a reused connection for a request that may run only once: if the upstream closes the
	// connection at that moment, it is unknown whether the request ran.
	maxIdleOnce = 300 * time.Millisecond
	// maxIdleRetryable bounds the same idle time for requests that may be sent again.
	maxIdleRetryable = 4 * time.Second
	// maxNotRunAttempts bounds the upstreams that may reject a request without running it before the caller is refused.
	maxNotRunAttempts = 3
)

// outcome is how an attempt ended.
type outcome string

// The outcomes of attempts as they are logged; outcomeLost is followed by the text of the error.
const (
	outcomeComplete     outcome = "complete"
	outcomeEscalated    outcome = "escalated"
	outcomeFailed       outcome = "failed"
	outcomeLost         outcome = "lost: "
	outcomeLate         outcome = "late"
	outcomeUnresponsive outcome = "silent"
	// outcomeRequestMissing is that of a request which a responsive engine does not have any more.
	outcomeRequestMissing outcome = "missing"
	// outcomeUnverified is that of a response without the upstream's stamp or the request's id, or with a content encoding.
	outcomeUnverified outcome = "spoiled"
	outcomeNotRun     outcome = "not-run"
	outcomeNotSent    outcome = "not-sent"
	outcomeCanceled   outcome = "canceled"
)

// attempt is one send of a request, kept for the log.
type attempt struct {
	upstream identifier.Upstream
	model    identifier.Model
	beganAt  time.Time
	took     time.Duration
	outcome  outcome
	status   int
	// confidence is the model's confidence in its answer, from 0 to 100, or -1 if the response stated none.
	confidence int
	// running and waiting are the load that the response stated, and timeToHead is the time until its headers arrived.
	running, waiting int
	timeToHead       time.Duration
	// events is the number of events that arrived, and firstEventAt the time of the first one.
	events       int
	firstEventAt time.Time
	// wasLost is set if the connection broke, and settled if the upstream had begun to answer without crashing.
	wasLost, settled bool
	// longestPause is the longest time between two events, and pace the time that PaceEvents events took.
	longestPause, pace time.Duration
	// evidence is what the watchdog knew when it last wanted to abandon the attempt, and kept why it did not.
	evidence evidence
	kept     denial
}

// call is an attempt in progress.
type call struct {
	f          *Forwarder
	q          *request
	upstream   *registrar.Upstream
	name       identifier.Upstream
	beganAt    time.Time
	timeToHead time.Duration
	response   *connector.Response
	watch      *watchdog
	info       Attempt
	pace       pace
	prompt     Prompt
	// index is that of the attempt in q.attempts.
	index int
	ended bool
}

var (
	errNotRun         = errors.New("forwarder: upstream did not run the request")
	errUnverified     = errors.New("forwarder: response is not the upstream's answer to this request")
	errAbandoned      = errors.New("forwarder: watchdog abandoned the attempt")
	errUpstreamFailed = errors.New("forwarder: upstream answered with an error status")
)

// affinityHash returns the hash that brings requests with the same prompt prefix to the same upstreams, or 0 without a prefix.
// It depends on the model, because an engine caches prefixes for each model separately.
func (f *Forwarder) affinityHash(q *request, model identifier.Model) uint64 {
	if q.prefixHash == 0 {
		return 0
	}
	return q.prefixHash ^ xxhash.Sum64String(f.modelName(q, model))
}

// modelName returns the name of the model that the system chose, or, if it chose none, of the one that the caller named.
func (f *Forwarder) modelName(q *request, model identifier.Model) string {
	if model == "" {
		return q.header.Get(f.headers.Model)
	}
	return string(model)
}

// send makes one attempt, which uses the permit that the request holds, and returns the call with the head of its response. The
// error wraps errNotRun if the request did not run, also if it was never sent (a *connector.Error with Sent unset). Other errors
// after the choice of an upstream leave open whether it ran.
func (f *Forwarder) send(ctx context.Context, q *request, model identifier.Model, urgency int) (*call, error) {
	to := q.permit.to
	if to.upstream == nil || !f.isAvailable(to.name) || f.throttler.IsPaused(to.name) {
		var err error
		if to, err = f.chooseInTime(ctx, q, model); err != nil {
			return nil, err
		}
	}
	u, name := to.upstream, to.name
	now := f.Now()
	c := &call{f: f, q: q, upstream: u, name: name, beganAt: now, index: len(q.attempts)}
	q.attempts = append(q.attempts, attempt{upstream: name, model: model, beganAt: now, confidence: -1})
	q.call = c
	sent := q.takePermit()
	f.counters.attempts.Add(1)
	f.balancer.Begin(name)
	c.info = Attempt{ID: f.attempts.Add(1), Service: q.service, Upstream: u, Route: q.route.Name, Model: f.modelName(q, model)}
	f.OnAttemptStart(c.info)
	c.announcePrompt()
	h := q.header.Clone()
	h.Set(f.headers.Deadline, strconv.FormatInt(max(q.deadline.Sub(now).Milliseconds(), 1), 10))
	h.Set(f.headers.ExpectUpstream, string(u.Name))
	if model != "" {
		h.Set(f.headers.Model, string(model))
	}
	if q.route.HasSessions {
		h.Set(f.headers.Urgency, strconv.Itoa(urgency))
	}
	if q.hasLastEventID {
		h.Set(f.headers.LastEventID, strconv.FormatInt(q.lastEventID, 10))
	}
	idle := maxIdleOnce
	if q.route.Retryable() {
		idle = maxIdleRetryable
	}
	// To abandon the attempt, the watchdog cancels this context, which closes the connection and ends any read from it.
	attemptCtx, cancel := context.WithCancelCause(ctx)
	c.watch = newWatchdog(c, cancel)
	w, err := f.pool.Send(attemptCtx, connector.Peer{Name: name, Address: u.Address}, &connector.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: h, Body: q.body, MaxIdle: idle,
	})
	if err != nil {
		c.watch.stop()
		if c.watch.abandonedAs() != "" {
			err = errors.Join(errAbandoned, err)
		}
		var x *connector.Error
		if errors.As(err, &x) && !x.Sent {
			result := balancer.ResultCanceled
			if ctx.Err() == nil {
				result = balancer.ResultFailure
				f.unresponsive.add(name, f.Now())
				f.observeRefusal(u, err)
			}
			c.end(result, outcomeNotSent, false)
			// An attempt that was not sent put no load on its upstream, so its permit holds for the next one, elsewhere.
			sent.to = choice{}
			q.hold(sent)
			return nil, errors.Join(errNotRun, err)
		}
		q.mayHaveRun = true
		c.endOnError(ctx, err)
		return nil, err
	}
	c.response = w
	f.recordActivity(name)
	f.quarantine.Heard(name, now)
	c.timeToHead = f.Now().Sub(now)
	return c, c.inspect()
}

// inspect records what the head of a response states. It returns an error and ends the attempt if the request did not run, or
// if the response is not the upstream's answer to this request.
func (c *call) inspect() error {
	f, w := c.f, c.response
	a := &c.q.attempts[c.index]
	a.status, a.timeToHead = w.StatusCode, c.timeToHead
	if n, ok := parseConfidence(w.Header.Get(f.headers.Confidence)); ok {
		a.confidence = n
	}
	c.reportLoad()
	stamped := w.Header.Get(f.headers.Stamp) != "" && w.Header.Get(f.headers.RequestID) == c.q.id &&
		w.Header.Get("Content-Encoding") == ""
	isMisdirected := w.StatusCode == http.StatusMisdirectedRequest
	// A misdirected request was answered by another upstream than the expected one.
	if !isMisdirected && (stamped || w.StatusCode >= http.StatusMultipleChoices) {
		f.ObserveSignals(c.upstream, w.Response)
	}
	if isMisdirected || w.Header.Get(f.headers.NotRun) != "" {
		f.counters.notRun.Add(1)
		c.drain()
		c.end(balancer.ResultRefused, outcomeNotRun, false)
		return errNotRun
	}
	c.q.mayHaveRun = true
	if !stamped && (w.StatusCode < http.StatusMultipleChoices || promisesNotRun(w.StatusCode)) {
		f.counters.unverified.Add(1)
		c.end(balancer.ResultFailure, outcomeUnverified, true)
		return fmt.Errorf("%w: status %d at %s", errUnverified, w.StatusCode, c.name)
	}
	return nil
}

// promisesNotRun reports whether callers take a status as the promise that a request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// drain reads the rest of a short body, so that the connection can be reused.
func (c *call) drain() {
	// If the body breaks off, the connection is not reused, which is the only effect.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.response, 16<<10))
}

// endOnError ends an attempt whose response did not arrive whole: abandoned by the watchdog, canceled, or lost.
func (c *call) endOnError(ctx context.Context, err error) {
	abandoned := c.watch.abandonedAs()
	switch {
	case abandoned != "":
		c.f.counters.abandoned.Add(1)
		result := balancer.ResultSilent
		if abandoned == outcomeRequestMissing {
			result = balancer.ResultFailure
		}
		c.end(result, abandoned, true)
	case ctx.Err() != nil:
		c.end(balancer.ResultCanceled, outcomeCanceled, false)
	default:
		c.f.counters.lost.Add(1)
		c.recordLoss(err)
		c.end(balancer.ResultFailure, outcomeLost+outcome(err.Error()), true)
	}
}

// end records the end of an attempt once and returns its connection to the pool. failed is set if the attempt counts as a
// failure of the upstream's version.
func (c *call) end(r balancer.Result, o outcome, failed bool) {
	if c.ended {
		return
	}
	c.ended = true
	if c.response != nil {
		c.response.Close()
	}
	c.watch.stop()
	c.f.balancer.End(c.name, r)
	c.observePromptUnread()
	defer c.f.OnAttemptEnd(c.info)
	a := &c.q.attempts[c.index]
	a.outcome, a.took = o, c.f.Now().Sub(c.beganAt)
	a.evidence, a.kept = c.watch.evidence, c.watch.kept
	if o == outcomeCanceled || o == outcomeNotRun || o == outcomeNotSent {
		return
	}
	if d, ok := c.pace.end(); ok && !failed {
		a.pace = d
		c.f.OnPace(c.info, d)
	}
	c.f.OnResult(Result{Attempt: c.info, Failed: failed})
}

// parseConfidence reads a model's confidence in its answer, from 0 to 100.
func parseConfidence(v string) (int, bool) {
	x, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || x < 0 || x > 100 {
		return 0, false
	}
	return int(x), true
}
