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
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// onceIdle bounds the idle time of a kept connection for a request that may run only once: an upstream that closes it
	// at that moment leaves open whether the request ran.
	onceIdle = 300 * time.Millisecond
	// repeatIdle is the same for requests that may be sent again.
	repeatIdle = 4 * time.Second
	// maxNotRun bounds the upstreams that may reject one request before the caller is told.
	maxNotRun = 3
)

// outcome is how an attempt ended.
type outcome string

// The outcomes of attempts; a lost one has the reason appended.
const (
	outcomeComplete  outcome = "complete"
	outcomeEscalated outcome = "escalated"
	outcomeFailed    outcome = "failed"
	outcomeLost      outcome = "lost: "
	outcomeLate      outcome = "late"
	outcomeSilent    outcome = "silent"
	outcomeMissing   outcome = "missing"
	outcomeSpoiled   outcome = "spoiled"
	outcomeNotRun    outcome = "not-run"
	outcomeNotSent   outcome = "not-sent"
	outcomeCanceled  outcome = "canceled"
)

// attempt is one send of a request, kept for the log.
type attempt struct {
	upstream identifier.Upstream
	model    identifier.Model
	at       time.Time
	age      time.Duration
	outcome  outcome
	status   int
	// confidence is that of the model in its answer, from 0 to 100, or -1.
	confidence int
	// running and waiting are the load that the response stated, and first the time to its head.
	running, waiting int
	first            time.Duration
	// pause is the longest time between two events.
	pause time.Duration
}

// call is an attempt in progress.
type call struct {
	f        *Forwarder
	q        *request
	upstream *registrar.Upstream
	name     identifier.Upstream
	begin    time.Time
	first    time.Duration
	response *connector.Response
	watch    *watchdog
	index    int
	ended    bool
}

var (
	errNotRun   = errors.New("forwarder: upstream did not run the request")
	errSpoiled  = errors.New("forwarder: response is not that of the upstream")
	errSilent   = errors.New("forwarder: upstream is silent")
	errUpstream = errors.New("forwarder: upstream failed")
)

// choose picks an upstream for a model that was not tried before; once all were, it picks one again.
func (f *Forwarder) choose(q *request, model identifier.Model) (*registrar.Upstream, identifier.Upstream, error) {
	pool := f.Group(q.service, q.session)
	k := balancer.Query{Service: pool, Prefix: f.home(q, model), Rank: q.rank}
	if q.tokens > 0 {
		k.PrefixRatio = q.size * float64(q.shared) / float64(q.tokens)
	}
	for i := range q.attempts {
		// An answer that lacked confidence says nothing against its upstream, which may be the home of the larger model.
		if q.attempts[i].outcome != outcomeEscalated {
			k.Exclude = append(k.Exclude, q.attempts[i].upstream)
		}
	}
	tried := len(k.Exclude)
	k.Exclude = f.silent.appendTo(k.Exclude, f.Now())
	u, err := f.balancer.Choose(k)
	if err != nil && len(k.Exclude) > tried {
		k.Exclude = k.Exclude[:tried]
		u, err = f.balancer.Choose(k)
	}
	if err != nil && tried > 0 {
		k.Exclude = nil
		u, err = f.balancer.Choose(k)
	}
	if err != nil {
		return nil, "", fmt.Errorf("forwarder: choose for %s: %w", pool, err)
	}
	x := f.Upstream(u.Name)
	if x == nil {
		return nil, "", fmt.Errorf("forwarder: %s has left: %w", u.Name, balancer.ErrNoUpstream)
	}
	return x, u.Name, nil
}

// home returns the hash by which requests with the same prefix meet at the same upstreams, 0 for a prompt without one. An engine
// keeps what it has read for each model apart.
func (f *Forwarder) home(q *request, model identifier.Model) uint64 {
	if q.prefix == 0 {
		return 0
	}
	return q.prefix ^ xxhash.Sum64String(f.modelName(q, model))
}

// modelName returns the name of the model that the system chose, or else of that which the caller named.
func (f *Forwarder) modelName(q *request, model identifier.Model) string {
	if model == "" {
		return q.header.Get(f.headers.Model)
	}
	return string(model)
}

// send makes one attempt and returns the call with the head of its response. Errors are errNotRun if the request did not run
// there; any other error leaves that open unless it is a *connector.Error with Sent unset.
func (f *Forwarder) send(ctx context.Context, q *request, model identifier.Model, urgency int) (*call, error) {
	u, name, err := f.choose(q, model)
	if err != nil {
		return nil, err
	}
	now := f.Now()
	c := &call{f: f, q: q, upstream: u, name: name, begin: now, index: len(q.attempts)}
	q.attempts = append(q.attempts, attempt{upstream: name, model: model, at: now, confidence: -1})
	f.counters.attempts.Add(1)
	f.balancer.Begin(name)
	f.Started(q.service, u)
	h := q.header.Clone()
	h.Set(f.headers.Deadline, strconv.FormatInt(max(q.deadline.Sub(now).Milliseconds(), 1), 10))
	h.Set(f.headers.ExpectUpstream, string(u.Name))
	if model != "" {
		h.Set(f.headers.Model, string(model))
	}
	if q.route.Sticky {
		h.Set(f.headers.Urgency, strconv.Itoa(urgency))
	}
	if q.hasLastEvent {
		h.Set(f.headers.LastEventID, strconv.FormatInt(q.lastEvent, 10))
	}
	idle := onceIdle
	if q.route.Retryable() {
		idle = repeatIdle
	}
	// The watchdog closes the connection of a silent upstream, which ends any read of it.
	watched, cancel := context.WithCancelCause(ctx)
	c.watch = newWatchdog(c, cancel)
	w, err := f.pool.Send(watched, connector.Peer{Name: name, Address: u.Address}, &connector.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: h, Body: q.body, MaxIdle: idle,
	})
	if err != nil {
		c.watch.stop()
		if c.watch.verdict.Load() != nil {
			err = errors.Join(errSilent, err)
		}
		var x *connector.Error
		if errors.As(err, &x) && !x.Sent {
			if ctx.Err() == nil {
				f.silent.add(name, f.Now())
			}
			c.end(balancer.ResultFailure, outcomeNotSent, false)
			return nil, errors.Join(errNotRun, err)
		}
		q.mayHaveRun = true
		c.lost(ctx, err)
		return nil, err
	}
	c.response = w
	f.touch(name)
	c.first = f.Now().Sub(now)
	return c, c.inspect()
}

// inspect classifies the head of a response.
func (c *call) inspect() error {
	f, w := c.f, c.response
	a := &c.q.attempts[c.index]
	a.status, a.first = w.StatusCode, c.first
	if n, ok := parseConfidence(w.Header.Get(f.headers.Confidence)); ok {
		a.confidence = n
	}
	c.load()
	if w.StatusCode == http.StatusMisdirectedRequest || w.Header.Get(f.headers.NotRun) != "" {
		f.counters.notRun.Add(1)
		c.drain()
		c.end(balancer.ResultRefused, outcomeNotRun, false)
		return errNotRun
	}
	c.q.mayHaveRun = true
	stamped := w.Header.Get(f.headers.Stamp) != "" && w.Header.Get(f.headers.RequestID) == c.q.id &&
		w.Header.Get("Content-Encoding") == ""
	if !stamped && w.StatusCode < http.StatusMultipleChoices {
		f.counters.spoiled.Add(1)
		c.end(balancer.ResultFailure, outcomeSpoiled, true)
		return fmt.Errorf("%w: status %d at %s", errSpoiled, w.StatusCode, c.name)
	}
	return nil
}

// load reports the load that the response states.
func (c *call) load() {
	fields := strings.Split(c.response.Header.Get(c.f.headers.Load), ",")
	if len(fields) < 2 {
		return
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err1 != nil || err2 != nil {
		return
	}
	a := &c.q.attempts[c.index]
	a.running, a.waiting = running, waiting
	now := c.f.Now()
	if waiting > 0 {
		c.f.signOf(c.name).busyAt.Store(now.UnixNano())
	}
	if c.q.route.Kind == matcher.Stream {
		c.f.pressure(c.q.service).Observe(waiting, c.upstream.Slots, now)
	}
	l := streamer.Load{At: now, Running: running, TokenInterval: c.f.paces.step(c.name, now)}
	if waiting > 0 {
		l.Queued = []int{waiting}
	}
	c.f.report(c.name, l)
}

// drain reads a short body, so that the connection can be kept.
func (c *call) drain() {
	// A body that breaks off costs only the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.response, 16<<10))
}

// lost ends an attempt without a response.
func (c *call) lost(ctx context.Context, err error) {
	verdict := c.watch.verdict.Load()
	switch {
	case verdict != nil:
		c.f.counters.rescued.Add(1)
		c.end(balancer.ResultFailure, *verdict, true)
	case ctx.Err() != nil:
		c.end(balancer.ResultCanceled, outcomeCanceled, false)
	default:
		c.f.counters.lost.Add(1)
		c.end(balancer.ResultFailure, outcomeLost+outcome(err.Error()), true)
	}
}

// end records the end of an attempt once and gives its connection back. failed is set if it counts against the version.
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
	c.f.Ended(c.q.service, c.upstream)
	a := &c.q.attempts[c.index]
	a.outcome, a.age = o, c.f.Now().Sub(c.begin)
	if o == outcomeCanceled || o == outcomeNotRun || o == outcomeNotSent {
		return
	}
	c.f.Observe(Result{Service: c.q.service, Upstream: c.upstream, Route: c.q.route.Name, Failed: failed, TimeToFirstEvent: c.first})
}

// again reports whether one more attempt is allowed, and takes it from the budget; run is set if the last one may have run.
// An attempt that did not reach its upstream costs nothing there, so the next one is the first.
func (f *Forwarder) again(ctx context.Context, q *request, run bool) bool {
	if !f.left(ctx, q, run) {
		return false
	}
	if q.attempts[len(q.attempts)-1].outcome != outcomeNotSent && !f.budgets.ForService(q.service).Retries.Allow() {
		f.counters.budgetExceeded.Add(1)
		return false
	}
	return true
}

// left reports whether the request may be sent once more.
func (f *Forwarder) left(ctx context.Context, q *request, run bool) bool {
	if ctx.Err() != nil || run && !q.route.Retryable() || len(q.attempts) == 0 {
		return false
	}
	sent, notRun := 0, 0
	for i := range q.attempts {
		switch q.attempts[i].outcome {
		case outcomeNotSent:
		case outcomeNotRun:
			notRun++
			sent++
		default:
			sent++
		}
	}
	return sent < q.route.MaxAttempts && notRun < maxNotRun && len(q.attempts) < q.route.MaxAttempts+maxNotRun
}

// parseConfidence reads a model's confidence in its answer, from 0 to 100.
func parseConfidence(v string) (int, bool) {
	x, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || x < 0 || x > 100 {
		return 0, false
	}
	return int(x), true
}
