package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultCallTimeout = 1 * time.Second
	defaultAttempts    = 4
	firstBackoff       = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	// A failing service sees at most one repeat per ten successes once the initial repeats are spent.
	budgetPerSuccess = 0.1
	maxBudget        = 20.0
	maxReply         = 16 << 20
)

type client struct {
	base        string
	do          func(*http.Request) (*http.Response, error)
	sleep       func(context.Context, time.Duration) error
	callTimeout time.Duration
	attempts    int

	mu     sync.Mutex
	rand   *rand.Rand
	budget float64

	calls, repeats, failures atomic.Int64
}

// Option changes a client at construction.
type Option func(*client)

// WithDo replaces the HTTP exchange of one request.
func WithDo(do func(*http.Request) (*http.Response, error)) Option {
	return func(c *client) { c.do = do }
}

// WithSleep replaces the wait between attempts.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(c *client) { c.sleep = sleep }
}

// WithRand sets the random source of the backoff.
func WithRand(r *rand.Rand) Option {
	return func(c *client) { c.rand = r }
}

// WithCallTimeout sets the time that one attempt may take.
func WithCallTimeout(d time.Duration) Option {
	return func(c *client) { c.callTimeout = d }
}

// WithAttempts bounds the attempts of one call.
func WithAttempts(n int) Option {
	return func(c *client) { c.attempts = n }
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newClient(address netip.AddrPort, opts []Option) *client {
	c := &client{
		base: "http://" + address.String(), do: http.DefaultClient.Do, sleep: Sleep,
		callTimeout: defaultCallTimeout, attempts: defaultAttempts, budget: maxBudget,
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

type exchange struct {
	// reply observes the status and the headers of the reply, if set.
	reply        func(*http.Response)
	method, path string
	header       http.Header
	body         []byte
	// repeatable is set for reads and for writes whose repeat the service recognises.
	repeatable bool
}

// call runs an exchange until it has a definite reply, the attempts or the budget are spent, or ctx ends.
func (c *client) call(ctx context.Context, e exchange) ([]byte, error) {
	ambiguous := false
	var err error
	for attempt := range c.attempts {
		if attempt > 0 {
			if !c.allowRepeat() || c.sleep(ctx, c.backoff(attempt)) != nil {
				break
			}
			c.repeats.Add(1)
		}
		var b []byte
		var sent bool
		b, sent, err = c.attempt(ctx, e)
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrRefused) {
			c.succeeded()
			return b, err
		}
		ambiguous = ambiguous || sent
		if sent && !e.repeatable || ctx.Err() != nil {
			break
		}
	}
	c.failures.Add(1)
	if ambiguous && e.method != http.MethodGet {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return nil, err
}

// attempt reports in its second result whether the service may have acted although the call failed.
func (c *client) attempt(ctx context.Context, e exchange) ([]byte, bool, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, e.method, c.base+e.path, bytes.NewReader(e.body))
	if err != nil {
		return nil, false, fmt.Errorf("storer: %s %s: %w", e.method, e.path, err)
	}
	for k, v := range e.header {
		r.Header[k] = v
	}
	w, err := c.do(r)
	if err != nil {
		return nil, true, fmt.Errorf("%w: %s %s at %s: %w", ErrUnavailable, e.method, e.path, c.base, err)
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxReply))
	if err != nil {
		return nil, true, fmt.Errorf("%w: read reply of %s %s at %s: %w", ErrUnavailable, e.method, e.path, c.base, err)
	}
	if e.reply != nil {
		e.reply(w)
	}
	kind := error(nil)
	switch w.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent, http.StatusNotModified:
		return b, false, nil
	case http.StatusNotFound:
		kind = ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		kind = ErrConflict
	case http.StatusTooManyRequests:
		kind = ErrRateLimited
	case http.StatusServiceUnavailable:
		kind = ErrUnavailable
	default:
		if w.StatusCode < http.StatusInternalServerError {
			kind = ErrRefused
			break
		}
		return nil, true, fmt.Errorf("%w: %s %s at %s: status %d", ErrUnavailable, e.method, e.path, c.base, w.StatusCode)
	}
	return nil, false, fmt.Errorf("%w: %s %s at %s", kind, e.method, e.path, c.base)
}

func (c *client) allowRepeat() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}

func (c *client) succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget = min(c.budget+budgetPerSuccess, maxBudget)
}

// backoff draws the wait before a repeat evenly from the upper half of the exponential step.
func (c *client) backoff(attempt int) time.Duration {
	step := min(firstBackoff<<(attempt-1), maxBackoff)
	c.mu.Lock()
	defer c.mu.Unlock()
	return step/2 + time.Duration(c.rand.Int64N(int64(step/2)))
}

// Counters returns the numbers of calls, repeats and failed calls.
func (c *client) Counters() map[string]int64 {
	return map[string]int64{"calls": c.calls.Load(), "repeats": c.repeats.Load(), "failures": c.failures.Load()}
}

// ClientState is the state dump of a client.
type ClientState struct {
	Address string  `json:"address"`
	Budget  float64 `json:"budget"`
}

// State returns the address and the remaining repeats.
func (c *client) State() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientState{Address: c.base, Budget: c.budget}
}

func decode[T any](b []byte, err error) (T, error) {
	var v T
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("storer: decode reply: %w", err)
	}
	return v, nil
}
