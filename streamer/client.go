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
	// SilenceTimeout is the time without a frame after which a connection counts as silent and is closed.
	// It is three heartbeat intervals.
	SilenceTimeout = 3 * HeartbeatInterval
	// maxResumeAttempts limits the successive attempts to resume a stream without receiving a new frame.
	maxResumeAttempts = 4
	// initialBackoff is the delay before the second attempt to resume; it doubles with each further attempt.
	initialBackoff = 50 * time.Millisecond
	// maxIdleConnections limits the idle connections kept open to each agent.
	maxIdleConnections = 256
	// maxHeadBytes bounds the head of an agent's response.
	maxHeadBytes = 256 << 10
	// HeaderOutcome is the response header with the outcome of a response that has no frames.
	HeaderOutcome = "Siskinfront-Outcome"
)

// ErrNotSent is returned when no connection to the agent could be opened, so that the agent never received the order.
var ErrNotSent = errors.New("streamer: order was not sent")

// ErrRunLost is returned when the agent no longer knows the run or cannot be reached; the order may have run.
var ErrRunLost = errors.New("streamer: run is lost")

// ErrNotAccepted is returned by Open, wrapped together with ErrRunLost, when the agent did not respond to the order in time.
var ErrNotAccepted = errors.New("streamer: agent did not accept the order in time")

var errSilent = errors.New("streamer: connection is silent")

// Client opens streams at agents; it is safe for concurrent use.
type Client struct {
	pooled *http.Client
	// unpooled never reuses a connection. A pooled connection to the same agent may be black-holed like the broken one.
	unpooled          *http.Client
	resumedStreams    atomic.Int64
	silentConnections atomic.Int64
	// unacceptedOrders counts the orders that were given up because the agent did not respond.
	unacceptedOrders atomic.Int64
}

// ClientOption configures a Client.
type ClientOption func(*http.Transport)

// WithDial sets the function that opens connections to agents.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(t *http.Transport) { t.DialContext = dial }
}

// NewClient returns a client with its own pool of connections.
func NewClient(opts ...ClientOption) *Client {
	pooled := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	unpooled := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	for _, opt := range opts {
		opt(pooled)
		opt(unpooled)
	}
	return &Client{pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Counters returns the totals since the start.
func (c *Client) Counters() map[string]int64 {
	return map[string]int64{
		"streams-resumed": c.resumedStreams.Load(), "connections-silent": c.silentConnections.Load(),
		"orders-unaccepted": c.unacceptedOrders.Load(),
	}
}

// Stream is the entry's side of one run at one agent; only Cancel may be called concurrently with other methods.
type Stream struct {
	client  *Client
	agent   netip.AddrPort
	request identifier.Request
	attempt int

	reader *Reader
	body   io.ReadCloser
	cancel context.CancelFunc
	// timedOut is set when the current connection was closed because no frame arrived in time.
	timedOut *atomic.Bool
	// notReading is set while no call of Next waits for a frame. The silence timer is ignored then, because a caller that
	// reads slowly does not mean that the connection is broken.
	notReading   atomic.Bool
	silenceTimer *time.Timer
	lastSequence uint64
}

// acceptLimit limits the time that Open waits for the agent's response to an order.
type acceptLimit struct {
	deadline time.Time
	giveUp   func() bool
}

// OpenOption configures how a stream is opened.
type OpenOption func(*acceptLimit)

// WithAcceptDeadline gives up the order if the agent has not responded by the deadline and giveUp, which is called then,
// returns true. A healthy agent responds to an order immediately, even if the order must wait for a slot. An order that was
// given up may still run.
func WithAcceptDeadline(deadline time.Time, giveUp func() bool) OpenOption {
	return func(a *acceptLimit) { a.deadline, a.giveUp = deadline, giveUp }
}

// Open sends the order with the caller's body. It returns ErrNotSent if the agent never received the order. After any other
// failure it tries to resume the stream, and returns ErrRunLost if that fails.
func (c *Client) Open(ctx context.Context, agent netip.AddrPort, order *Order, body []byte, opts ...OpenOption) (*Stream, error) {
	header, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("%w: encode order: %w", ErrNotSent, err)
	}
	payload := make([]byte, 0, len(header)+1+len(body))
	payload = append(append(append(payload, header...), '\n'), body...)
	s := &Stream{client: c, agent: agent, request: order.Request, attempt: order.Attempt}
	var a acceptLimit
	for _, opt := range opts {
		opt(&a)
	}
	err = s.sendOrder(ctx, &a, payload)
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, ErrNotAccepted):
		return s, fmt.Errorf("%w: %s at %s: %w", ErrRunLost, s.request, s.agent, err)
	case isDialError(err):
		return nil, fmt.Errorf("%w: %s: %w", ErrNotSent, agent, err)
	case ctx.Err() != nil:
		return s, context.Cause(ctx)
	}
	return s, s.resume(ctx, err)
}

// sendOrder sends the order and returns ErrNotAccepted if it was given up.
func (s *Stream) sendOrder(ctx context.Context, a *acceptLimit, payload []byte) error {
	if a.giveUp == nil {
		return s.connect(ctx, s.client.pooled, http.MethodPost, s.url("/run"), payload)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	decided := make(chan struct{})
	timer := time.AfterFunc(time.Until(a.deadline), func() {
		defer close(decided)
		if a.giveUp() {
			cancel(ErrNotAccepted)
		}
	})
	err := s.connect(ctx, s.client.pooled, http.MethodPost, s.url("/run"), payload)
	if !timer.Stop() {
		// A response that arrives while giveUp decides must not be cancelled later, when a permit would go unused.
		<-decided
	}
	if errors.Is(context.Cause(ctx), ErrNotAccepted) {
		s.disconnect()
		s.client.unacceptedOrders.Add(1)
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	if err != nil {
		cancel(nil)
		return err
	}
	// The response is read under ctx, so ctx is cancelled only when the stream disconnects.
	cancelConnection := s.cancel
	s.cancel = func() { cancelConnection(); cancel(nil) }
	return nil
}

// isDialError reports whether err means that no connection was opened.
func isDialError(err error) bool {
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

// statusError is a response of the agent with a status other than 200, which has no frames.
type statusError struct {
	status int
}

// Error returns the status.
func (e *statusError) Error() string {
	return "streamer: agent answered with status " + strconv.Itoa(e.status)
}

// connect sends a request and reads the frames of its response from then on. It closes the connection when no frame arrives
// within SilenceTimeout.
func (s *Stream) connect(ctx context.Context, client *http.Client, method, url string, payload []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	timedOut := &atomic.Bool{}
	s.notReading.Store(false)
	timer := time.AfterFunc(SilenceTimeout, func() {
		if s.notReading.Load() {
			return
		}
		timedOut.Store(true)
		cancel()
	})
	fail := func(err error) error {
		timer.Stop()
		cancel()
		if timedOut.Load() {
			s.client.silentConnections.Add(1)
			return fmt.Errorf("%w: %w", errSilent, err)
		}
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return fail(err)
	}
	resp, err := client.Do(r)
	if err != nil {
		return fail(err)
	}
	if resp.StatusCode != http.StatusOK {
		// An error is ignored, because the connection is not used again.
		_ = resp.Body.Close()
		return fail(&statusError{status: resp.StatusCode})
	}
	s.reader = NewReader(resp.Body, s.request, s.lastSequence)
	s.body, s.cancel, s.silenceTimer, s.timedOut = resp.Body, cancel, timer, timedOut
	return nil
}

// disconnect closes the current connection, or returns it to the pool if its response was read to the end.
func (s *Stream) disconnect() {
	if s.body == nil {
		return
	}
	s.silenceTimer.Stop()
	s.cancel()
	// An error is ignored, because the connection is not used again or its response was read to the end.
	_ = s.body.Close()
	s.body, s.reader = nil, nil
}

// resume continues the stream after the last frame on a new connection.
func (s *Stream) resume(ctx context.Context, cause error) error {
	s.disconnect()
	backoff := initialBackoff
	for i := range maxResumeAttempts {
		if i > 0 {
			select {
			case <-time.After(backoff):
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			backoff *= 2
		}
		err := s.connect(ctx, s.client.unpooled, http.MethodGet, s.runURL(s.lastSequence), nil)
		if err == nil {
			s.client.resumedStreams.Add(1)
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		cause = errors.Join(cause, err)
		var status *statusError
		// If a new connection also stays silent, the agent is suspended or unreachable. Further attempts would use up the time
		// until the deadline, in which another upstream can still answer.
		if errors.As(err, &status) || errors.Is(err, errSilent) {
			break
		}
	}
	return fmt.Errorf("%w: %s at %s: %w", ErrRunLost, s.request, s.agent, cause)
}

// Next returns the next frame, heartbeats included, and io.EOF after the final one. It resumes the stream after a broken or
// silent connection, a missing frame, or a frame of another request, and returns ErrRunLost if the agent cannot continue it.
func (s *Stream) Next(ctx context.Context) (Frame, error) {
	if !s.reader.More() {
		s.notReading.Store(false)
		defer s.notReading.Store(true)
		s.silenceTimer.Reset(SilenceTimeout)
	}
	for tries := 0; ; tries++ {
		f, err := s.reader.Next()
		if err == nil {
			if f.Kind != KindHeartbeat {
				s.lastSequence = f.Sequence
			}
			return f, nil
		}
		if errors.Is(err, io.EOF) && s.reader.final {
			return f, io.EOF
		}
		if ctx.Err() != nil {
			return Frame{}, context.Cause(ctx)
		}
		if s.timedOut.Load() {
			s.client.silentConnections.Add(1)
			err = errSilent
		}
		if tries == maxResumeAttempts {
			return Frame{}, fmt.Errorf("%w: %s at %s: %w", ErrRunLost, s.request, s.agent, err)
		}
		if err := s.resume(ctx, err); err != nil {
			return Frame{}, err
		}
	}
}

// More reports whether the next frame is already buffered, so that Next returns without waiting.
func (s *Stream) More() bool {
	return s.reader != nil && s.reader.More()
}

// Cancel asks the agent to end the run and returns its outcome, or OutcomeUnknown if the agent does not answer.
func (s *Stream) Cancel(ctx context.Context) Outcome {
	ctx, cancel := context.WithTimeout(ctx, SilenceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.runURL(s.lastSequence), http.NoBody)
	if err != nil {
		return OutcomeUnknown
	}
	resp, err := s.client.unpooled.Do(r)
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

// CancelReply is the response to DELETE /run/{id}.
type CancelReply struct {
	Outcome Outcome `json:"outcome"`
}

// Close closes the connection, or returns it to the pool if the stream was read to its end.
func (s *Stream) Close() {
	if s.body == nil {
		return
	}
	if s.reader.final {
		// The transport reuses the connection only if the response was read to its end. The timer limits the read.
		s.notReading.Store(false)
		s.silenceTimer.Reset(SilenceTimeout)
		_, _ = io.CopyN(io.Discard, s.body, 1)
	}
	s.disconnect()
}
