package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/relayer"
	"github.com/siskinfront/siskinfront/selector"
)

// eventRelay is a stream of events that is passed on. Its fields are used only by the goroutine that reads the stream.
type eventRelay struct {
	*delivery
	cascade *selector.ConfidenceCascade
	// step is that of the cascade, and resuming is set if the next attempt continues the stream.
	step     int
	resuming bool
	// call is the attempt whose events are read, or nil between two attempts.
	call   *call
	events *relayer.Reader
	// isPassing is set while an event or comment is passed on, since passingSince.
	isPassing    bool
	passingSince time.Time
}

func newEventRelay(f *Forwarder, q *request, w http.ResponseWriter) *eventRelay {
	r := &eventRelay{delivery: newDelivery(f, q, w), cascade: f.cascade(q), resuming: q.hasLastEventID}
	r.step = r.cascade.First()
	r.delivery.read = r.read
	r.detach = func() { r.events.Detach() }
	return r
}

// read makes attempts until the stream is complete or no further attempt is possible.
func (r *eventRelay) read(ctx context.Context) error {
	f, q := r.f, r.q
	for {
		if r.call == nil {
			if err := f.admitSuspect(ctx, q); err != nil {
				return err
			}
		}
		err := r.relayAttempt(ctx)
		if errors.Is(err, errHandedOver) {
			return err
		}
		r.call, r.events = nil, nil
		if errors.Is(err, errEscalated) {
			continue
		}
		if err == nil || errors.Is(err, errCallerConnection) {
			return err
		}
		if d := f.awaitRetry(ctx, q, err); d != "" {
			return f.endDenied(r.w, q, d, err)
		}
		r.resuming = r.resuming || q.responseStarted
	}
}

// errEscalated is returned when an answer was dropped for that of a larger model.
var errEscalated = errors.New("forwarder: a larger model is asked")

// relayAttempt makes an attempt, or goes on with the one that was handed over, and passes its events on.
func (r *eventRelay) relayAttempt(ctx context.Context) error {
	f, q := r.f, r.q
	if r.call != nil {
		return r.relayEvents(ctx)
	}
	c, err := f.send(ctx, q, f.stepModel(q, r.step), urgency(q.rank, r.resuming))
	if err != nil {
		return err
	}
	if !q.responseStarted && c.response.StatusCode < http.StatusMultipleChoices {
		if next, ok := f.escalate(ctx, q, r.cascade, r.step, c); ok {
			r.step = next
			return errEscalated
		}
	}
	if c.response.StatusCode >= http.StatusMultipleChoices {
		return f.relayFailure(ctx, r.w, c)
	}
	if err := f.checkContinuation(c); err != nil {
		return err
	}
	r.call, r.events = c, relayer.NewReader(c.response, q.lastEventID, q.hasLastEventID)
	return r.relayEvents(ctx)
}

// relayEvents passes whole events on until the stream is complete.
func (r *eventRelay) relayEvents(ctx context.Context) error {
	f, q, c := r.f, r.q, r.call
	if r.isPassing {
		if err := r.passed(r.resume(ctx)); err != nil {
			return err
		}
	}
	for {
		b, err := r.events.Next()
		if errors.Is(err, io.EOF) && c.endsStream() {
			c.settle()
			c.end(balancer.ResultSuccess, outcomeComplete, false)
			return nil
		}
		if err != nil {
			c.endOnError(ctx, err)
			return fmt.Errorf("forwarder: read events of %s: %w", c.name, err)
		}
		f.recordActivity(c.name)
		if r.events.IsComment {
			// A comment is no progress of the stream. One before the first event is dropped.
			if !q.responseStarted {
				continue
			}
			c.watch.beginComment()
		} else {
			f.recordEvent(c)
			if err := ctx.Err(); err != nil && !q.responseStarted {
				// The caller gets a refusal instead of a response that cannot be written any more.
				c.endOnError(ctx, err)
				return fmt.Errorf("forwarder: first event of %s: %w", c.name, err)
			}
			f.startResponse(r.w, r.control, c)
			if r.events.HasLastID {
				q.lastEventID, q.hasLastEventID = r.events.LastID, true
			}
		}
		r.isPassing, r.passingSince = true, f.Now()
		flush := r.events.IsComment || !r.events.HasNext()
		if err := r.passed(r.pass(ctx, b, flush)); err != nil {
			return err
		}
	}
}

// passed ends the passing of an event or comment with its error. With errHandedOver the other goroutine does so.
func (r *eventRelay) passed(err error) error {
	if errors.Is(err, errHandedOver) {
		return err
	}
	c := r.call
	r.isPassing = false
	if err != nil {
		c.end(balancer.ResultCanceled, outcomeCanceled, false)
		return err
	}
	if r.events.IsComment {
		c.watch.endComment()
	} else {
		c.watch.recordPassedOn()
	}
	if d := r.f.Now().Sub(r.passingSince); d >= takeOverDelay {
		c.pace.exclude(d)
	}
	return nil
}
