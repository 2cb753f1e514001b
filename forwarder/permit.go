package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
)

const (
	// minResumePause and maxResumePause bound the pause after which a started stream tries again to be resumed; it doubles each time.
	minResumePause = 50 * time.Millisecond
	maxResumePause = time.Second
	// resumeJitter is the largest random addition to a pause, as a fraction of it, so that the streams which an upstream lost at
	// the same time do not all return at the same time.
	resumeJitter = 0.5
)

// permit is the permission to send a request; an unused one goes back to its budget.
type permit struct {
	held bool
	// budget is the one from which it was taken, or nil for the first attempt.
	budget *limiter.Budget
	// to is the upstream of the attempt if it was chosen with the permit.
	to choice
}

// hold replaces the permit of the request.
func (q *request) hold(p permit) {
	q.releasePermit()
	q.permit = p
}

// releasePermit gives an unused permit back.
func (q *request) releasePermit() {
	if q.permit.held && q.permit.budget != nil {
		q.permit.budget.Return()
	}
	q.permit = permit{}
}

// takePermit returns the permit of the request, which is then used.
func (q *request) takePermit() permit {
	p := q.permit
	q.permit = permit{}
	return p
}

// awaitRetry makes the request hold a permit for one more attempt after an error, or returns why there is none. A stream whose
// response has started waits for a permit, with growing pauses, until its deadline.
func (f *Forwarder) awaitRetry(ctx context.Context, q *request, err error) denial {
	noUpstream := errors.Is(err, balancer.ErrNoUpstream)
	if noUpstream && !q.responseStarted {
		return denialNoUpstream
	}
	if d := f.suspicionDenial(q); d != "" {
		return d
	}
	mayHaveRun := !noUpstream && !errors.Is(err, errNotRun)
	if mayHaveRun {
		q.resumePause = 0
	}
	for {
		if q.responseStarted && !sleep(ctx, q.resumePause+time.Duration(resumeJitter*f.rand()*float64(q.resumePause))) {
			return contextDenial(ctx)
		}
		q.resumePause = min(max(2*q.resumePause, minResumePause), maxResumePause)
		d := f.allowRetry(ctx, q, mayHaveRun)
		if !q.responseStarted || d != denialBudget && d != denialNoUpstream {
			return d
		}
	}
}

// allowRetry makes the request hold a permit for one more attempt, or returns why there is none; mayHaveRun is set if the request
// may have run in the last one.
func (f *Forwarder) allowRetry(ctx context.Context, q *request, mayHaveRun bool) denial {
	if ctx.Err() != nil {
		return contextDenial(ctx)
	}
	if d := q.attemptsDenial(mayHaveRun, q.responseStarted); d != "" {
		return d
	}
	return f.reserve(q)
}

// reserve makes the request hold a permit for an attempt at any upstream, or returns why there is none. Without an upstream
// nothing is taken from the budget.
func (f *Forwarder) reserve(q *request) denial {
	if q.permit.to.upstream != nil {
		return ""
	}
	if !f.hasUpstream(q, nil) {
		return denialNoUpstream
	}
	if q.permit.held {
		return ""
	}
	return f.takeRetry(q)
}

// takeRetry makes the request hold a permit from the retry budget, unless it is empty.
func (f *Forwarder) takeRetry(q *request) denial {
	b := f.budgets.ForService(q.service).Retries
	if !b.Allow() {
		f.counters.budgetExceeded.Add(1)
		return denialBudget
	}
	q.permit = permit{held: true, budget: b}
	return ""
}

// reserveElsewhere makes the request hold a permit for an attempt instead of a running one, with its upstream, or returns why there
// is none. The upstream is chosen now, because giving up attempts may open the circuit breakers of all upstreams.
func (f *Forwarder) reserveElsewhere(q *request, model identifier.Model, unsuitable []identifier.Upstream) denial {
	if !f.hasUpstream(q, unsuitable) {
		return denialNoUpstream
	}
	if d := f.takeRetry(q); d != "" {
		return d
	}
	to, err := f.chooseElsewhere(q, model, unsuitable)
	if err != nil {
		q.releasePermit()
		return denialNoUpstream
	}
	q.permit.to = to
	return ""
}

// unsuitable returns the upstreams to which the next attempt must not go if this one is given up with an outcome: those that are
// known to be silent, and its own if it may still answer.
func (c *call) unsuitable(o outcome) []identifier.Upstream {
	list := c.f.unresponsive.appendTo(nil, c.f.Now())
	if o == outcomeUnresponsive || o == outcomeLate {
		list = append(list, c.name)
	}
	return list
}

// attemptsDenial returns why the request may not be sent once more, apart from the budget. Rejections do not end a stream whose
// response has started.
func (q *request) attemptsDenial(mayHaveRun, started bool) denial {
	switch {
	case mayHaveRun && !q.route.Retryable():
		return denialNotRepeatable
	case len(q.attempts) == 0:
		return denialNoUpstream
	}
	run, notRun := 0, 0
	for i := range q.attempts {
		switch q.attempts[i].outcome {
		case outcomeNotSent:
		case outcomeNotRun:
			notRun++
		default:
			run++
		}
	}
	switch {
	case run >= q.route.MaxAttempts:
		return denialAttempts
	case started:
		return ""
	case notRun >= maxNotRunAttempts:
		return denialRejections
	case run+notRun >= q.route.MaxAttempts || len(q.attempts) >= q.route.MaxAttempts+maxNotRunAttempts:
		return denialAttempts
	default:
		return ""
	}
}

// sleep waits for d and reports whether the context did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
