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
	r := &wholeRelay{call: c, delivery: newDelivery(f, q, w), piece: body, isFailure: failed}
	r.delivery.read, r.isWhole = r.read, whole
	r.detach = func() { r.buf = nil }
	if whole {
		r.err = io.EOF
	}
	return r.run(ctx)
}

// wholeRelay passes on a response that is no stream of events.
type wholeRelay struct {
	*delivery
	call *call
	// piece is the one to pass on next, or nil if it is still to be read into buf, and err is the error that ended the reading.
	piece, buf []byte
	err        error
	// isPassing is set while a piece is passed on.
	isPassing bool
	isFailure bool
}

// read reads the rest of the response and passes it on.
func (r *wholeRelay) read(ctx context.Context) error {
	c := r.call
	if r.isPassing {
		if err := r.passed(r.resume(ctx)); err != nil {
			return err
		}
	}
	for {
		piece, err := r.next()
		if errors.Is(err, io.EOF) {
			r.complete()
			return nil
		}
		if err != nil {
			c.endOnError(ctx, err)
			return fmt.Errorf("forwarder: relay response of %s: %w", c.name, err)
		}
		r.isPassing = true
		if err := r.passed(r.pass(ctx, piece, false)); err != nil {
			return err
		}
	}
}

// next returns the next piece of the response, or an error after the last one.
func (r *wholeRelay) next() ([]byte, error) {
	if piece := r.piece; piece != nil {
		r.piece = nil
		return piece, nil
	}
	for r.err == nil {
		if r.buf == nil {
			r.buf = make([]byte, maxChunkBytes)
		}
		var n int
		if n, r.err = r.call.response.Read(r.buf); n > 0 {
			r.isWhole = errors.Is(r.err, io.EOF)
			return r.buf[:n], nil
		}
	}
	return nil, r.err
}

// passed ends the passing of a piece with its error. With errHandedOver the other goroutine does so.
func (r *wholeRelay) passed(err error) error {
	if errors.Is(err, errHandedOver) {
		return err
	}
	r.isPassing = false
	if err != nil {
		r.call.end(balancer.ResultCanceled, outcomeCanceled, false)
	}
	return err
}

// complete ends the attempt of a response that was read to its end.
func (r *wholeRelay) complete() {
	c := r.call
	result := balancer.ResultSuccess
	if r.isFailure {
		result = balancer.ResultFailure
	}
	c.f.observeFirstByte(c.q)
	if c.response.StatusCode < http.StatusMultipleChoices {
		c.settle()
	}
	c.end(result, outcomeComplete, r.isFailure)
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
