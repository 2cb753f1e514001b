package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds the head and the first events of a response in bytes.
	readBuffer = 4 << 10
	// maxForeign bounds the responses of other requests that are skipped on one connection.
	maxForeign = 2
	// maxSkipped bounds the body of a skipped response in bytes.
	maxSkipped = 1 << 20
)

// Request is one request as it is sent.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long the connection may have been idle before.
	MaxIdle time.Duration
}

// Response is a response whose body is read from the connection; Close it in every case.
type Response struct {
	*http.Response
	c      *conn
	stop   func() bool
	closed bool
	// complete is set once the body was read to its end.
	complete bool
}

// conn is one connection to an upstream, used by one request at a time.
type conn struct {
	pool  *Pool
	peer  Peer
	nc    net.Conn
	br    *bufio.Reader
	keep  time.Duration
	ended atomic.Bool
	used  bool

	idleSince, idleUntil time.Time
}

func newConn(p *Pool, peer Peer, nc net.Conn) *conn {
	return &conn{pool: p, peer: peer, nc: nc, br: bufio.NewReaderSize(nc, readBuffer), keep: maxIdleTime}
}

func (c *conn) close() {
	if c.ended.CompareAndSwap(false, true) {
		// An error of Close changes nothing: the connection is gone either way.
		_ = c.nc.Close()
		c.pool.closed(c.peer)
	}
}

// quiet reports whether the idle connection is open and has no unread byte. A byte that arrives without a request belongs
// to no response, and an end that has arrived would lose the next request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// limitUnacked sets how long sent bytes may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// Send sends a request once and returns the head of its response, or an *Error. The connection closes when ctx ends before
// the response was read.
func (p *Pool) Send(ctx context.Context, peer Peer, r *Request) (*Response, error) {
	c := p.take(peer, r.MaxIdle)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, peer); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	//nolint:bodyclose // Response.Close returns the connection with its body.
	w, err := c.exchange(r, p.echo)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	return &Response{Response: w, c: c, stop: stop}, nil
}

func (c *conn) exchange(r *Request, echo string) (*http.Response, error) {
	if n, err := c.nc.Write(r.encode()); err != nil {
		return nil, &Error{Step: "write", Peer: c.peer, Sent: n > 0, Err: err}
	}
	c.used = true
	head := &http.Request{Method: r.Method}
	for range maxForeign + 1 {
		w, err := readFinal(c.br, head)
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				err = errors.Join(ErrNoResponse, err)
			}
			return nil, &Error{Step: "read", Peer: c.peer, Sent: true, Err: err}
		}
		if echo == "" || w.Header.Get(echo) == "" || w.Header.Get(echo) == r.Header.Get(echo) {
			return w, nil
		}
		// A second response to an earlier request arrived late.
		c.pool.foreign.Add(1)
		if n, err := io.Copy(io.Discard, io.LimitReader(w.Body, maxSkipped)); err != nil || n == maxSkipped {
			break
		}
	}
	return nil, &Error{Step: "read", Peer: c.peer, Sent: true, Err: ErrResponseMismatch}
}

// readFinal reads the head of a response and skips informational ones.
func readFinal(br *bufio.Reader, head *http.Request) (*http.Response, error) {
	for {
		w, err := http.ReadResponse(br, head)
		if err != nil || w.StatusCode >= http.StatusOK {
			return w, err
		}
	}
}

// encode returns the request as it is sent, in one piece so that a failed write tells whether anything was sent.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// A bytes.Buffer returns no error.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Read reads from the body and notes its end.
func (w *Response) Read(b []byte) (int, error) {
	n, err := w.Body.Read(b)
	if errors.Is(err, io.EOF) {
		w.complete = true
	}
	return n, err
}

// Buffered returns the number of bytes that arrived and were not read.
func (w *Response) Buffered() int {
	return w.c.br.Buffered()
}

// Abort closes the connection, which ends a Read in progress.
func (w *Response) Abort() {
	w.c.close()
}

// Close keeps the connection for another request if the response was read to its end, and closes it otherwise.
func (w *Response) Close() {
	if w.closed {
		return
	}
	w.closed = true
	if !w.stop() || !w.complete || w.Response.Close || w.ContentLength < 0 && len(w.TransferEncoding) == 0 ||
		w.c.br.Buffered() > 0 || w.c.ended.Load() {
		w.c.close()
		return
	}
	if d, ok := idleTime(w.Header); ok {
		w.c.keep = d
	}
	w.c.pool.put(w.c)
}

// idleTime returns half of the time for which the upstream says that it keeps an idle connection, because a request that
// crosses its end is lost.
func idleTime(h http.Header) (time.Duration, bool) {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return min(time.Duration(n)*time.Second/2, maxIdleTime), true
		}
	}
	return 0, false
}
