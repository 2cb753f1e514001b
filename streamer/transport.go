package streamer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
)

const (
	// responseBuffer is the size of the read buffer of one connection in bytes; a token frame takes about 300.
	responseBuffer = 2048
	// requestBuffer is the size of a write buffer in bytes, which is shared by all connections between their requests.
	requestBuffer = 4096
)

var errScheme = errors.New("streamer: only http is supported")

// Transport is an http.RoundTripper for plain HTTP/1.1 that reads and writes on the goroutine of its caller. The one of
// net/http has two goroutines per connection; their hand-offs take a large part of the time that entry and agent add to a
// request, and their stacks and buffers a large part of the memory of an open stream. It is safe for concurrent use.
type Transport struct {
	// DialContext connects to an address.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdle bounds the idle connections per address; with 0 each request has a connection of its own.
	MaxIdle int

	writers sync.Pool
	mu      sync.Mutex
	idle    map[string][]*transportConn
}

// NewTransport returns a transport that dials over TCP.
func NewTransport(maxIdle int) *Transport {
	return &Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdle: maxIdle}
}

// transportConn is one connection and its read buffer.
type transportConn struct {
	net.Conn
	reader *bufio.Reader
}

// RoundTrip sends a request and returns its response, whose body must be closed. The end of the request's context
// closes the connection. A request is never repeated, because the peer may have acted on it.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme != "http" {
		closeBody(r)
		return nil, errScheme
	}
	ctx := r.Context()
	if t.MaxIdle == 0 && !r.Close {
		r = r.WithContext(ctx)
		r.Close = true
	}
	c, err := t.conn(ctx, r.URL.Host)
	if err != nil {
		closeBody(r)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := t.exchange(r, c)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, fmt.Errorf("streamer: exchange with %s: %w", r.URL.Host, err)
	}
	resp.Body = &transportBody{
		ReadCloser: resp.Body, ctx: ctx, conn: c, stop: stop, transport: t, address: r.URL.Host,
		reusable: !resp.Close && !r.Close,
	}
	return resp, nil
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		// The request was not sent; its body has no further use.
		_ = r.Body.Close()
	}
}

func (t *Transport) exchange(r *http.Request, c *transportConn) (*http.Response, error) {
	w, _ := t.writers.Get().(*bufio.Writer)
	if w == nil {
		w = bufio.NewWriterSize(nil, requestBuffer)
	}
	w.Reset(c)
	err := r.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	t.writers.Put(w)
	if err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// conn returns an idle connection that the peer has not closed, or a new one.
func (t *Transport) conn(ctx context.Context, address string) (*transportConn, error) {
	for {
		c := t.take(address)
		if c == nil {
			break
		}
		if alive(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := t.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &transportConn{Conn: c, reader: bufio.NewReaderSize(c, responseBuffer)}, nil
}

// take returns the idle connection that was used last, or nil.
func (t *Transport) take(address string) *transportConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(t.idle, address)
	} else {
		t.idle[address] = list[:len(list)-1]
	}
	return c
}

// put keeps a connection for the next request, or closes it.
func (t *Transport) put(address string, c *transportConn) {
	t.mu.Lock()
	if len(t.idle[address]) < t.MaxIdle {
		if t.idle == nil {
			t.idle = map[string][]*transportConn{}
		}
		t.idle[address] = append(t.idle[address], c)
		c = nil
	}
	t.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// CloseIdleConnections closes the connections that wait for a request.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	idle := t.idle
	t.idle = nil
	t.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// alive reports whether the peer of an idle connection has neither closed it nor sent anything. A request on a closed
// connection would fail without a certain outcome.
func alive(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// transportBody returns the connection to the pool at the end of the response, and closes it if it is closed before.
type transportBody struct {
	io.ReadCloser
	ctx       context.Context //nolint:containedctx // reads fail with the error of the request's context
	conn      *transportConn
	stop      func() bool
	transport *Transport
	address   string
	reusable  bool
	released  bool
}

// Read reads a part of the response.
func (b *transportBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.release(b.reusable && b.conn.reader.Buffered() == 0)
	case b.ctx.Err() != nil:
		err = b.ctx.Err()
	}
	return n, err
}

// Close ends the response.
func (b *transportBody) Close() error {
	b.release(false)
	return nil
}

func (b *transportBody) release(reusable bool) {
	if b.released {
		return
	}
	b.released = true
	// If the context has ended, its function closes the connection.
	if b.stop() && reusable {
		b.transport.put(b.address, b.conn)
		return
	}
	_ = b.conn.Close()
}
