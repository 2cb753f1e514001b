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
	defaultMaxAttempts = 4
	initialBackoff     = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	// Each successful call earns a tenth of a retry, so that a failing service gets at most one retry per ten successes
	// once the initial maxRetryBudget retries are spent.
	retriesPerSuccess = 0.1
	maxRetryBudget    = 20.0
	maxReplyBytes     = 16 << 20
)

type client struct {
	baseURL     string
	do          func(*http.Request) (*http.Response, error)
	sleep       func(context.Context, time.Duration) error
	callTimeout time.Duration
	maxAttempts int

	mu          sync.Mutex
	rand        *rand.Rand
	retryBudget float64

	attemptsMade, retries, failures atomic.Int64
}

// Option configures a client.
type Option func(*client)

// WithRoundTrip replaces the function that sends one HTTP request and returns its response.
func WithRoundTrip(do func(*http.Request) (*http.Response, error)) Option {
	return func(c *client) { c.do = do }
}

// WithSleep replaces the function that waits between attempts.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(c *client) { c.sleep = sleep }
}

// WithRand sets the random source of the backoff.
func WithRand(r *rand.Rand) Option {
	return func(c *client) { c.rand = r }
}

// WithCallTimeout sets the timeout of one attempt.
func WithCallTimeout(d time.Duration) Option {
	return func(c *client) { c.callTimeout = d }
}

// WithMaxAttempts sets the maximum number of attempts of one call.
func WithMaxAttempts(n int) Option {
	return func(c *client) { c.maxAttempts = n }
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
		baseURL: "http://" + address.String(), do: http.DefaultClient.Do, sleep: Sleep,
		callTimeout: defaultCallTimeout, maxAttempts: defaultMaxAttempts, retryBudget: maxRetryBudget,
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

type exchange struct {
	// onReply, if set, is called with the response of each attempt after its body was read.
	onReply      func(*http.Response)
	method, path string
	header       http.Header
	body         []byte
	// idempotent is set for requests that may be retried although an earlier attempt may have taken effect: reads, and
	// writes whose repetition the service recognises or that have the same effect when repeated.
	idempotent bool
}

// call retries an exchange with backoff until the service gives a definite reply, the attempts or the retry budget are
// used up, or ctx ends.
func (c *client) call(ctx context.Context, e exchange) ([]byte, error) {
	outcomeUnknown := false
	var err error
	for attempt := range c.maxAttempts {
		if attempt > 0 {
			if !c.spendRetry() || c.sleep(ctx, c.backoff(attempt)) != nil {
				break
			}
			c.retries.Add(1)
		}
		var b []byte
		var mayHaveActed bool
		b, mayHaveActed, err = c.attempt(ctx, e)
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrRefused) {
			c.creditRetry()
			return b, err
		}
		outcomeUnknown = outcomeUnknown || mayHaveActed
		if mayHaveActed && !e.idempotent || ctx.Err() != nil {
			break
		}
	}
	c.failures.Add(1)
	if outcomeUnknown && e.method != http.MethodGet {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return nil, err
}

// attempt sends the request once; its second result is true if the attempt failed but the service may have acted on it.
func (c *client) attempt(ctx context.Context, e exchange) ([]byte, bool, error) {
	c.attemptsMade.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, e.method, c.baseURL+e.path, bytes.NewReader(e.body))
	if err != nil {
		return nil, false, fmt.Errorf("storer: %s %s: %w", e.method, e.path, err)
	}
	for k, v := range e.header {
		r.Header[k] = v
	}
	w, err := c.do(r)
	if err != nil {
		return nil, true, fmt.Errorf("%w: %s %s at %s: %w", ErrUnavailable, e.method, e.path, c.baseURL, err)
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxReplyBytes))
	if err != nil {
		return nil, true, fmt.Errorf("%w: read reply of %s %s at %s: %w", ErrUnavailable, e.method, e.path, c.baseURL, err)
	}
	if e.onReply != nil {
		e.onReply(w)
	}
	cause := error(nil)
	switch w.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent, http.StatusNotModified:
		return b, false, nil
	case http.StatusNotFound:
		cause = ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		cause = ErrConflict
	case http.StatusTooManyRequests:
		cause = ErrRateLimited
	case http.StatusServiceUnavailable:
		cause = ErrUnavailable
	default:
		if w.StatusCode < http.StatusInternalServerError {
			cause = ErrRefused
			break
		}
		return nil, true, fmt.Errorf("%w: %s %s at %s: status %d", ErrUnavailable, e.method, e.path, c.baseURL, w.StatusCode)
	}
	return nil, false, fmt.Errorf("%w: %s %s at %s", cause, e.method, e.path, c.baseURL)
}

// spendRetry takes one retry from the budget, or returns false if less than one is left.
func (c *client) spendRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retryBudget < 1 {
		return false
	}
	c.retryBudget--
	return true
}

// creditRetry adds what a call with a definite reply earns to the retry budget.
func (c *client) creditRetry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryBudget = min(c.retryBudget+retriesPerSuccess, maxRetryBudget)
}

// backoff returns the delay before a retry, drawn uniformly from the upper half of the exponential backoff step.
func (c *client) backoff(attempt int) time.Duration {
	step := min(initialBackoff<<(attempt-1), maxBackoff)
	c.mu.Lock()
	defer c.mu.Unlock()
	return step/2 + time.Duration(c.rand.Int64N(int64(step/2)))
}

// Counters returns the numbers of attempts, of retries among them and of failed calls.
func (c *client) Counters() map[string]int64 {
	return map[string]int64{"calls": c.attemptsMade.Load(), "repeats": c.retries.Load(), "failures": c.failures.Load()}
}

// ClientState is the state dump of a client.
type ClientState struct {
	Address     string  `json:"address"`
	RetryBudget float64 `json:"budget"`
}

// State returns the address and the remaining retry budget.
func (c *client) State() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientState{Address: c.baseURL, RetryBudget: c.retryBudget}
}

// decode unmarshals the JSON reply of a call, or passes on the error of the call.
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
