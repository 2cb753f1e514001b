package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/siskinfront/siskinfront/balancer"
)

// maxBuffered is the largest response in bytes that is read whole before the caller gets its head, so that one that breaks
// off can be replaced by that of another upstream.
const maxBuffered = 64 << 10

// unary serves a request that is answered as a whole.
func (f *Forwarder) unary(ctx context.Context, w http.ResponseWriter, q *request) error {
	f.budgets.Of(q.service).Success()
	for {
		c, err := f.send(ctx, q, "", defaultUrgency)
		if err == nil {
			err = f.relay(ctx, w, c)
		}
		if err == nil {
			return nil
		}
		if q.begun || !f.again(ctx, q, !errors.Is(err, errNotRun) && !errors.Is(err, balancer.ErrNoUpstream)) {
			return err
		}
	}
}

// relay passes a response on. Nothing was sent to the caller if the error says so by request.begun.
func (f *Forwarder) relay(ctx context.Context, w http.ResponseWriter, c *call) error {
	q, resp := c.q, c.response
	buf := make([]byte, 0, 2<<10)
	whole := false
	for len(buf) < maxBuffered {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			whole = true
			break
		}
		if err != nil {
			c.lost(ctx, err)
			return fmt.Errorf("forwarder: read response of %s: %w", c.name, err)
		}
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	if failed && q.route.Repeatable() && f.again(ctx, q, true) {
		f.counters.upstreamErrors.Add(1)
		c.end(balancer.ResultFailure, "failed", true)
		return f.unaryAgain(ctx, w, q)
	}
	f.head(w, c)
	if whole {
		w.Header().Set("Content-Length", strconv.Itoa(len(buf)))
	} else if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	q.begun, q.status = true, resp.StatusCode
	w.WriteHeader(resp.StatusCode)
	_, err := w.Write(buf)
	if err == nil && !whole {
		_, err = io.Copy(w, resp)
	}
	if err != nil {
		c.lost(ctx, err)
		return fmt.Errorf("forwarder: relay response of %s: %w", c.name, err)
	}
	result := balancer.ResultSuccess
	if failed {
		result = balancer.ResultFailure
	}
	f.observe(q)
	c.end(result, "complete", failed)
	return nil
}

// unaryAgain makes the next attempt after a response that reports a failure.
func (f *Forwarder) unaryAgain(ctx context.Context, w http.ResponseWriter, q *request) error {
	for {
		c, err := f.send(ctx, q, "", defaultUrgency)
		if err == nil {
			return f.relay(ctx, w, c)
		}
		if !f.again(ctx, q, !errors.Is(err, errNotRun)) {
			return err
		}
	}
}

// head copies the headers of a response.
func (f *Forwarder) head(w http.ResponseWriter, c *call) {
	h := w.Header()
	for name, values := range c.response.Header {
		if !f.hop[name] {
			h[name] = values
		}
	}
	if c.response.Header.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing the type.
		h["Content-Type"] = nil
	}
}
