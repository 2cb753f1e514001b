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
	// readBufferBytes is large enough for the head and the first events of a response.
	readBufferBytes = 4 << 10
	// maxMismatches bounds the responses to other requests that are skipped before a connection is given up.
	maxMismatches = 2
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a reused connection may have been idle.
	MaxIdle time.Duration
}

// Response is a response whose body is read from the connection; it must be closed in every case.
type Response struct {
	*http.Response
	conn *conn
	// stopWatching ends the watch that closes the connection when the request's context ends.
	stopWatching func() bool
	closed       bool
	// identity is how the response relates to its request.
	identity identity
	// complete is set once the body has been read to its end.
	complete bool
}

// conn is one connection to an upstream, used by one request at a time.
type conn struct {
	pool        *Pool
	peer        Peer
	netConn     net.Conn
	head        *headReader
	br          *bufio.Reader
	idleTimeout time.Duration
	closed      atomic.Bool
	// carried holds the ids of the requests that were sent on the connection.
	carried carriedIDs

	idleSince, idleUntil time.Time
}

func newConn(p *Pool, peer Peer, netConn net.Conn) *conn {
	head := &headReader{r: netConn}
	return &conn{
		pool: p, peer: peer, netConn: netConn, head: head, br: bufio.NewReaderSize(head, readBufferBytes), idleTimeout: maxIdleTime,
	}
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// An error of Close is ignored: the connection is not used again either way.
		_ = c.netConn.Close()
		c.pool.connClosed(c.peer)
	}
}

// isReusable reports whether the idle connection is open and has no unread byte. A byte that arrived without a request belongs
// to no response, and a request on a connection that the upstream has closed would be lost.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && clean
}

// limitUnacked sets TCP_USER_TIMEOUT, how long sent bytes may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	return errors.Join(err, setErr)
}

// Send sends a request once and returns the head of its response, or an *Error. The connection is closed if ctx ends before
// the response has been read.
func (p *Pool) Send(ctx context.Context, peer Peer, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Step: "send", Peer: peer, Err: err}
	}
	id := r.Header.Get(p.echoHeader)
	c := p.takeIdle(peer, r.MaxIdle, id)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, peer); err != nil {
			return nil, err
		}
	}
	stopWatching := context.AfterFunc(ctx, c.close)
	//nolint:bodyclose // Response.Close returns the connection with its body.
	w, identity, err := c.exchange(r, id)
	if err != nil {
		stopWatching()
		c.close()
		return nil, err
	}
	return &Response{Response: w, conn: c, stopWatching: stopWatching, identity: identity}, nil
}

// exchange writes a request with an id and reads the head of its response; it skips responses to other requests.
func (c *conn) exchange(r *Request, id string) (*http.Response, identity, error) {
	c.carried.add(id)
	wire := r.encode()
	if n, err := wire.WriteTo(c.netConn); err != nil {
		return nil, foreign, &Error{Step: "write", Peer: c.peer, Sent: n > 0, Err: err}
	}
	sent := &http.Request{Method: r.Method}
	for range maxMismatches + 1 {
		c.head.begin()
		w, err := readFinalResponse(c.br, sent)
		c.head.end()
		if err != nil {
			if c.head.exceeded {
				// The parser reports a line that it could not read whole as malformed.
				err = ErrHeadTooLarge
			}
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				err = errors.Join(ErrNoResponse, err)
			}
			return nil, foreign, &Error{Step: "read", Peer: c.peer, Sent: true, Err: err}
		}
		if x := identify(w.Header, c.pool.echoHeader, id); x != foreign {
			return w, x, nil
		}
		// This is a second response to an earlier request that arrived late.
		c.pool.mismatches.Add(1)
		if n, err := io.Copy(io.Discard, io.LimitReader(w.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes {
			break
		}
	}
	return nil, foreign, &Error{Step: "read", Peer: c.peer, Sent: true, Err: ErrResponseMismatch}
}

// readFinalResponse reads the head of the next response that is not informational (1xx).
func readFinalResponse(br *bufio.Reader, sent *http.Request) (*http.Response, error) {
	for {
		w, err := http.ReadResponse(br, sent)
		if err != nil || w.StatusCode >= http.StatusOK {
			return w, err
		}
	}
}

// encode returns the head and the body of the request in its wire format. They are written by one call, so that a failed write shows
// whether any byte was sent. The body is not copied, because the copy would be memory that nobody bounds while the upstream does not read.
func (r *Request) encode() net.Buffers {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writing to a bytes.Buffer returns no error.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	if len(r.Body) == 0 {
		return net.Buffers{b.Bytes()}
	}
	return net.Buffers{b.Bytes(), r.Body}
}

// Read reads from the body and records whether its end was reached.
func (w *Response) Read(b []byte) (int, error) {
	n, err := w.Body.Read(b)
	if errors.Is(err, io.EOF) {
		w.complete = true
	}
	return n, err
}

// IsFramed reports whether the response has a length or chunks, which show whether it is complete; without them it ends with its connection.
func (w *Response) IsFramed() bool {
	return w.ContentLength >= 0 || len(w.TransferEncoding) > 0
}

// Buffered returns the number of bytes that were received but not read yet.
func (w *Response) Buffered() int {
	return w.conn.br.Buffered()
}

// Abort closes the connection, which also ends a Read in progress.
func (w *Response) Abort() {
	w.conn.close()
}

// Close keeps the connection for another request if the response names its request and was read to its end, and closes it otherwise.
func (w *Response) Close() {
	if w.closed {
		return
	}
	w.closed = true
	if !w.stopWatching() || w.identity != named || !w.complete || w.Response.Close || !w.IsFramed() ||
		w.conn.br.Buffered() > 0 || w.conn.closed.Load() {
		w.conn.close()
		return
	}
	if d, ok := keepAliveTime(w.Header); ok {
		w.conn.idleTimeout = d
	}
	w.conn.pool.putIdle(w.conn)
}

// keepAliveTime returns half of the idle timeout in the upstream's Keep-Alive header, because a request that is in flight when
// the upstream closes the connection is lost.
func keepAliveTime(h http.Header) (time.Duration, bool) {
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
