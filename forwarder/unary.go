package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/siskinfront/siskinfront/balancer"
)

// maxBufferedBytes bounds the part of a response that is read before the caller gets its head, so that a shorter response that
// breaks off can be replaced by that of another upstream.
const maxBufferedBytes = 64 << 10

// bufferedResponse is a response that was read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// unary serves a request that is answered by a single response.
func (f *Forwarder) unary(ctx context.Context, w http.ResponseWriter, q *request) error {
	f.budgets.ForService(q.service).recordRequest()
	q.hold(permit{held: true})
	defer q.releasePermit()
	for {
		if err := f.admitSuspect(ctx, q); err != nil {
			return err
		}
		c, err := f.send(ctx, q, "", defaultUrgency)
		if err == nil {
			err = f.relay(ctx, w, c)
		}
		if err == nil || q.responseStarted {
			return err
		}
		if d := f.awaitRetry(ctx, q, err); d != "" {
			return f.endDenied(w, q, d, err)
		}
	}
}

// endDenied ends a request that gets no further attempt after an error.
func (f *Forwarder) endDenied(w http.ResponseWriter, q *request, d denial, err error) error {
	f.deny(q, d)
	if q.responseStarted {
		return err
	}
	return f.fallBack(w, q, err)
}

// fallBack passes on the last error response of an upstream if later attempts brought no response; without one it returns err.
func (f *Forwarder) fallBack(w http.ResponseWriter, q *request, err error) error {
	x := q.failedResponse
	if x == nil {
		return err
	}
	maps.Copy(w.Header(), x.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(x.body)))
	q.responseStarted, q.status = true, x.status
	w.WriteHeader(x.status)
	if _, err := w.Write(x.body); err != nil {
		return errors.Join(errCallerConnection, err)
	}
	return nil
}

// relay passes a response on. After an error, request.responseStarted is unset if nothing was sent to the caller.
func (f *Forwarder) relay(ctx context.Context, w http.ResponseWriter, c *call) error {
	q, resp := c.q, c.response
	body, whole, err := readUpTo(resp, maxBufferedBytes)
	if err != nil {
		c.endOnError(ctx, err)
		return fmt.Errorf("forwarder: read response of %s: %w", c.name, err)
	}
	f.OnResponse(c.info, c.timeToHead)
	failed := resp.StatusCode >= http.StatusInternalServerError
	if failed && whole && f.mayRetry(q, c.index) {
		f.counters.upstreamErrors.Add(1)
		q.failedResponse = &bufferedResponse{resp.StatusCode, f.responseHeader(c), body}
		c.end(balancer.ResultFailure, outcomeFailed, true)
		return fmt.Errorf("%w: status %d at %s", errUpstreamFailed, resp.StatusCode, c.name)
	}
	// What the caller has received can't be taken back, so from here on no other attempt is possible.
	if !whole && !c.watch.keep() {
		c.endOnError(ctx, errAbandoned)
		return fmt.Errorf("forwarder: read response of %s: %w", c.name, errAbandoned)
	}
	maps.Copy(w.Header(), f.responseHeader(c))
	if whole {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	} else if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	q.responseStarted, q.status = true, resp.StatusCode
	w.WriteHeader(resp.StatusCode)
	caller := &callerWriter{w: w}
	_, err = caller.Write(body)
	if err == nil && !whole {
		_, err = io.Copy(caller, resp)
	}
	if caller.err != nil {
		c.end(balancer.ResultCanceled, outcomeCanceled, false)
		return errors.Join(errCallerConnection, caller.err)
	}
	if err != nil {
		c.endOnError(ctx, err)
		return fmt.Errorf("forwarder: relay response of %s: %w", c.name, err)
	}
	result := balancer.ResultSuccess
	if failed {
		result = balancer.ResultFailure
	}
	f.observeFirstByte(q)
	if resp.StatusCode < http.StatusMultipleChoices {
		c.settle()
	}
	c.end(result, outcomeComplete, failed)
	return nil
}

// callerWriter writes to the caller and keeps the error, which tells it from one of the upstream.
type callerWriter struct {
	w   io.Writer
	err error
}

// Write writes to the caller.
func (c *callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		c.err = err
	}
	return n, err
}

// readUpTo reads until the end or, beyond it, until at least limit bytes were read, and reports whether the end was reached.
func readUpTo(r io.Reader, limit int) ([]byte, bool, error) {
	buf := make([]byte, 0, 2<<10)
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	return buf, false, nil
}

// responseHeader returns the headers of a response that are passed on to the caller.
func (f *Forwarder) responseHeader(c *call) http.Header {
	h := make(http.Header, len(c.response.Header))
	for name, values := range c.response.Header {
		if !f.notForwarded[name] {
			h[name] = values
		}
	}
	if c.response.Header.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing the type.
		h["Content-Type"] = nil
	}
	return h
}
