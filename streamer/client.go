package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// SilenceTimeout is the time without a frame after which a connection counts as silent; it is three heartbeats.
	SilenceTimeout = 3 * HeartbeatInterval
	// maxResumes bounds the attempts to resume that bring no new frame.
	maxResumes = 4
	// firstBackoff is the wait before the second attempt to resume; it doubles with each further one.
	firstBackoff = 50 * time.Millisecond
	// maxIdleConnections bounds the idle connections kept to one agent.
	maxIdleConnections = 256
	// HeaderOutcome carries the outcome of a reply that has no frames.
	HeaderOutcome = "Siskinfront-Outcome"
)

// ErrNotSent is returned when no connection to the agent came about, so that the agent never had the order.
var ErrNotSent = errors.New("streamer: order was not sent")

// ErrRunLost is returned when the agent no longer knows the run or cannot be reached; the run may have happened.
var ErrRunLost = errors.New("streamer: run is lost")

// ErrNotAccepted is returned by Open, as a kind of ErrLost, when the agent gave no sign of the order in time.
var ErrNotAccepted = errors.New("streamer: agent did not accept the order in time")

var errSilent = errors.New("streamer: connection is silent")

// Client opens streams at agents; it is safe for concurrent use.
type Client struct {
	pooled *http.Client
	// fresh never reuses a connection: a pooled one to the same agent may be black-holed like the one that broke.
	fresh   *http.Client
	resumed atomic.Int64
	silent  atomic.Int64
	// unaccepted counts the orders that were given up without a sign of the agent.
	unaccepted atomic.Int64
}

// ClientOption configures a Client.
type ClientOption func(*http.Transport)

// WithDial sets the function that connects to agents.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(t *http.Transport) { t.DialContext = dial }
}

// NewClient returns a client with its own pool of connections.
func NewClient(opts ...ClientOption) *Client {
	pooled := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	fresh := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	for _, opt := range opts {
		opt(pooled)
		opt(fresh)
	}
	return &Client{pooled: &http.Client{Transport: pooled}, fresh: &http.Client{Transport: fresh}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Counters returns the totals since the start.
func (c *Client) Counters() map[string]int64 {
	return map[string]int64{
		"streams-resumed": c.resumed.Load(), "connections-silent": c.silent.Load(), "orders-unaccepted": c.unaccepted.Load(),
	}
}

// Stream is one run at one agent as its entry reads it; only Cancel may be called concurrently with other methods.
type Stream struct {
	client  *Client
	agent   netip.AddrPort
	request identifier.Request
	attempt int

	reader *Reader
	body   io.ReadCloser
	cancel context.CancelFunc
	silent *atomic.Bool
	// idle is set while nobody waits for a frame, because a slow caller is no fault of the connection.
	idle  atomic.Bool
	timer *time.Timer
	last  uint64
}

// acceptance bounds the wait for the first sign of an order.
type acceptance struct {
	by     time.Time
	giveUp func() bool
}

// OpenOption changes how one stream is opened.
type OpenOption func(*acceptance)

// WithAcceptDeadline gives the order up when the agent has not answered by a time and giveUp, which is asked then, agrees. An agent
// answers an order at once, whether or not it must wait for a slot; the run may happen all the same.
func WithAcceptDeadline(by time.Time, giveUp func() bool) OpenOption {
	return func(a *acceptance) { a.by, a.giveUp = by, giveUp }
}

// Open sends the order with the caller's body. ErrNotSent means that the agent never had it; on any other trouble the
// stream is resumed, and ErrLost is returned when that fails.
func (c *Client) Open(ctx context.Context, agent netip.AddrPort, order *Order, body []byte, opts ...OpenOption) (*Stream, error) {
	header, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("%w: encode order: %w", ErrNotSent, err)
	}
	payload := make([]byte, 0, len(header)+1+len(body))
	payload = append(append(append(payload, header...), '\n'), body...)
	s := &Stream{client: c, agent: agent, request: order.Request, attempt: order.Attempt}
	var a acceptance
	for _, opt := range opts {
		opt(&a)
	}
	err = s.connectBy(ctx, &a, payload)
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, ErrNotAccepted):
		return s, fmt.Errorf("%w: %s at %s: %w", ErrRunLost, s.request, s.agent, err)
	case isDial(err):
		return nil, fmt.Errorf("%w: %s: %w", ErrNotSent, agent, err)
	case ctx.Err() != nil:
		return s, context.Cause(ctx)
	}
	return s, s.resume(ctx, err)
}

// connectBy sends the order and returns ErrUnaccepted if it is given up.
func (s *Stream) connectBy(ctx context.Context, a *acceptance, payload []byte) error {
	if a.giveUp == nil {
		return s.connect(ctx, s.client.pooled, http.MethodPost, s.url("/run"), payload)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(a.by), func() {
		if a.giveUp() {
			cancel(ErrNotAccepted)
		}
	})
	err := s.connect(ctx, s.client.pooled, http.MethodPost, s.url("/run"), payload)
	timer.Stop()
	if errors.Is(context.Cause(ctx), ErrNotAccepted) {
		s.disconnect()
		s.client.unaccepted.Add(1)
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	if err != nil {
		cancel(nil)
		return err
	}
	// The stream reads on under ctx until it disconnects.
	end := s.cancel
	s.cancel = func() { end(); cancel(nil) }
	return nil
}

// isDial reports whether err means that no connection came about.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (s *Stream) url(path string) string {
	return "http://" + s.agent.String() + path
}

func (s *Stream) runURL(after uint64) string {
	return s.url("/run/" + url.PathEscape(string(s.request)) + "?attempt=" + strconv.Itoa(s.attempt) +
		"&after=" + strconv.FormatUint(after, 10))
}

// statusError is a reply of the agent that has no frames.
type statusError struct {
	status int
}

// Error returns the status.
func (e *statusError) Error() string {
	return "streamer: agent answered with status " + strconv.Itoa(e.status)
}

// connect makes a request whose reply becomes the source of frames. A connection that stays silent is closed.
func (s *Stream) connect(ctx context.Context, h *http.Client, method, url string, payload []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	silent := &atomic.Bool{}
	s.idle.Store(false)
	timer := time.AfterFunc(SilenceTimeout, func() {
		if s.idle.Load() {
			return
		}
		silent.Store(true)
		cancel()
	})
	fail := func(err error) error {
		timer.Stop()
		cancel()
		if silent.Load() {
			s.client.silent.Add(1)
			return fmt.Errorf("%w: %w", errSilent, err)
		}
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return fail(err)
	}
	resp, err := h.Do(r)
	if err != nil {
		return fail(err)
	}
	if resp.StatusCode != http.StatusOK {
		// The connection is not used again.
		_ = resp.Body.Close()
		return fail(&statusError{status: resp.StatusCode})
	}
	s.reader = NewReader(resp.Body, s.request, s.last)
	s.body, s.cancel, s.timer, s.silent = resp.Body, cancel, timer, silent
	return nil
}

// disconnect ends the current connection.
func (s *Stream) disconnect() {
	if s.body == nil {
		return
	}
	s.timer.Stop()
	s.cancel()
	// The connection is not used again, or its response was read to the end.
	_ = s.body.Close()
	s.body, s.reader = nil, nil
}

// resume reads on at a new connection after the last frame.
func (s *Stream) resume(ctx context.Context, cause error) error {
	s.disconnect()
	backoff := firstBackoff
	for i := range maxResumes {
		if i > 0 {
			select {
			case <-time.After(backoff):
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			backoff *= 2
		}
		err := s.connect(ctx, s.client.fresh, http.MethodGet, s.runURL(s.last), nil)
		if err == nil {
			s.client.resumed.Add(1)
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		cause = errors.Join(cause, err)
		var status *statusError
		// A new connection that stays silent leads to an agent that is frozen or cut off; further ones would use up the
		// deadline, within which another upstream can still answer.
		if errors.As(err, &status) || errors.Is(err, errSilent) {
			break
		}
	}
	return fmt.Errorf("%w: %s at %s: %w", ErrRunLost, s.request, s.agent, cause)
}

// Next returns the next frame, heartbeats included, and io.EOF after the final one. A broken or silent connection, a
// missing or a foreign frame leads to a resume; ErrLost is returned when the agent cannot continue the stream.
func (s *Stream) Next(ctx context.Context) (Frame, error) {
	if !s.reader.More() {
		s.idle.Store(false)
		defer s.idle.Store(true)
		s.timer.Reset(SilenceTimeout)
	}
	for tries := 0; ; tries++ {
		f, err := s.reader.Next()
		if err == nil {
			if f.Kind != KindHeartbeat {
				s.last = f.Sequence
			}
			return f, nil
		}
		if errors.Is(err, io.EOF) && s.reader.final {
			return f, io.EOF
		}
		if ctx.Err() != nil {
			return Frame{}, context.Cause(ctx)
		}
		if s.silent.Load() {
			s.client.silent.Add(1)
			err = errSilent
		}
		if tries == maxResumes {
			return Frame{}, fmt.Errorf("%w: %s at %s: %w", ErrRunLost, s.request, s.agent, err)
		}
		if err := s.resume(ctx, err); err != nil {
			return Frame{}, err
		}
	}
}

// More reports whether Next would return a frame without waiting.
func (s *Stream) More() bool {
	return s.reader != nil && s.reader.More()
}

// Cancel asks the agent to end the run and returns its outcome, or OutcomeUnknown if the agent does not answer.
func (s *Stream) Cancel(ctx context.Context) Outcome {
	ctx, cancel := context.WithTimeout(ctx, SilenceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.runURL(s.last), http.NoBody)
	if err != nil {
		return OutcomeUnknown
	}
	resp, err := s.client.fresh.Do(r)
	if err != nil {
		return OutcomeUnknown
	}
	defer resp.Body.Close()
	var reply CancelReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || reply.Outcome == "" {
		return OutcomeUnknown
	}
	return reply.Outcome
}

// CancelReply answers DELETE /run/{id}.
type CancelReply struct {
	Outcome Outcome `json:"outcome"`
}

// Close ends the connection; a stream that was read to its end leaves the connection in the pool.
func (s *Stream) Close() {
	if s.body == nil {
		return
	}
	if s.reader.final {
		// Reading to the end of the reply lets the transport keep the connection; the timer bounds the read.
		s.idle.Store(false)
		s.timer.Reset(SilenceTimeout)
		_, _ = io.CopyN(io.Discard, s.body, 1)
	}
	s.disconnect()
}
