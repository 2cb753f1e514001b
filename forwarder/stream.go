package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/relayer"
	"github.com/siskinfront/siskinfront/selector"
)

// stream serves a request that is answered by events. A resumable one goes on at another upstream after the last event.
func (f *Forwarder) stream(ctx context.Context, w http.ResponseWriter, q *request) error {
	f.budgets.ForService(q.service).first()
	ladder := f.ladder(q)
	step := ladder.First()
	q.size = f.pressure(q.service).RelativePromptSize(q.tokens)
	resuming := q.hasLastEvent
	for {
		c, err := f.send(ctx, q, f.modelOf(q, step), urgency(q.rank, resuming))
		if err == nil && !q.begun && c.response.StatusCode < http.StatusMultipleChoices {
			if next, ok := f.escalate(ctx, q, ladder, step, c); ok {
				step = next
				continue
			}
		}
		if err == nil {
			err = f.relayEvents(ctx, w, c)
		}
		if err == nil {
			return nil
		}
		run := !errors.Is(err, errNotRun) && !errors.Is(err, balancer.ErrNoUpstream)
		if errors.Is(err, errCaller) {
			return err
		}
		if !f.again(ctx, q, run) {
			if q.begun {
				return err
			}
			return f.fallBack(w, q, err)
		}
		if q.begun {
			resuming = true
			f.counters.resumed.Add(1)
		}
	}
}

// errCaller is returned when the caller's connection failed.
var errCaller = errors.New("forwarder: caller's connection failed")

// failures returns the number of attempts that may have run and brought no response.
func (q *request) failures() int {
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

func (f *Forwarder) ladder(q *request) *selector.ConfidenceCascade {
	return f.ladders.ForRoute(q.route.Name, len(q.route.Models))
}

func (f *Forwarder) modelOf(q *request, step int) identifier.Model {
	if !q.anyModel {
		return ""
	}
	return q.route.Models[step]
}

// urgency maps a rank to the urgency of an engine; a stream that was broken goes before new ones of its rank.
func urgency(rank int, resuming bool) int {
	u := min(1+2*rank, 9)
	if resuming {
		u--
	}
	return max(u, 0)
}

// escalate drops an answer in which its model has little confidence, if a larger model may be asked.
func (f *Forwarder) escalate(ctx context.Context, q *request, l *selector.ConfidenceCascade, step int, c *call) (int, bool) {
	if !q.anyModel {
		return 0, false
	}
	q.pressure = f.pressure(q.service).Value(f.Now())
	confidence := q.attempts[c.index].confidence
	if confidence < 0 || l.Accept(step, confidence, q.rank, q.pressure, q.size) {
		return 0, false
	}
	// After a failed attempt an answer at hand is worth more than a better one.
	if q.failures() > 0 || !f.left(ctx, q, true) || !f.budgets.ForService(q.service).Cascades.Allow() {
		return 0, false
	}
	f.counters.escalated.Add(1)
	c.end(balancer.ResultSuccess, outcomeEscalated, false)
	return l.Next(step), true
}

// relayEvents passes whole events on until the stream is complete.
func (f *Forwarder) relayEvents(ctx context.Context, w http.ResponseWriter, c *call) error {
	q, resp := c.q, c.response
	if resp.StatusCode >= http.StatusMultipleChoices {
		return f.relayFailure(ctx, w, c)
	}
	events := relayer.NewReader(resp, q.lastEvent, q.hasLastEvent)
	control := http.NewResponseController(w)
	for {
		b, err := events.Next()
		if errors.Is(err, io.EOF) && q.begun {
			c.end(balancer.ResultSuccess, outcomeComplete, false)
			return nil
		}
		if err != nil {
			c.lost(ctx, err)
			return fmt.Errorf("forwarder: read events of %s: %w", c.name, err)
		}
		f.touch(c.name)
		a := &q.attempts[c.index]
		if pause := c.watch.event(); pause > 0 {
			a.pause = max(a.pause, pause)
			f.paces.observe(c.name, f.modelName(q, a.model), pause, f.Now())
		}
		f.begin(w, control, c)
		_, err = w.Write(b)
		if err == nil && events.Buffered() == 0 {
			err = control.Flush()
		}
		if err != nil {
			c.end(balancer.ResultCanceled, outcomeCanceled, false)
			return errors.Join(errCaller, err)
		}
		if events.HasID {
			q.lastEvent, q.hasLastEvent = events.Last, true
		}
	}
}

// begin sends the head of the response, which is that of the first upstream with an event.
func (f *Forwarder) begin(w http.ResponseWriter, control *http.ResponseController, c *call) {
	q := c.q
	if q.begun {
		return
	}
	maps.Copy(w.Header(), f.responseHeader(c))
	q.begun, q.status = true, c.response.StatusCode
	// A caller that does not read ends with its deadline; a recorder in tests has none.
	_ = control.SetWriteDeadline(q.deadline)
	w.WriteHeader(c.response.StatusCode)
	f.observe(q)
}

// relayFailure handles the response of an upstream that reports a failure.
func (f *Forwarder) relayFailure(ctx context.Context, w http.ResponseWriter, c *call) error {
	q, resp := c.q, c.response
	serverError := resp.StatusCode >= http.StatusInternalServerError
	if !q.begun && (!serverError || !f.mayRepeat(q, c.index)) {
		return f.relay(ctx, w, c)
	}
	if serverError {
		f.counters.upstreamErrors.Add(1)
	}
	if buf, whole, err := readUpTo(resp, maxBuffered); err == nil && whole && !q.begun {
		q.failed = &answer{resp.StatusCode, f.responseHeader(c), buf}
	}
	c.end(balancer.ResultFailure, outcomeFailed, true)
	return fmt.Errorf("%w: status %d at %s", errUpstream, resp.StatusCode, c.name)
}

// mayRepeat reports whether an attempt is left after the one with an index, without taking it from the budget.
func (f *Forwarder) mayRepeat(q *request, index int) bool {
	return q.route.Retryable() && index+1 < q.route.MaxAttempts
}
