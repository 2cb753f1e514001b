package messenger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// callTimeout is the deadline of a call whose context has none.
	callTimeout = 3 * time.Second
	// outgoingIdleTimeout is the time without a call or notification after which a pool closes a connection of its own.
	outgoingIdleTimeout = 10 * time.Second
	// acceptedIdleTimeout is the time without a byte from the peer after which a listener closes a connection. It is longer
	// than outgoingIdleTimeout, so that the calling end closes first and no call is sent on a connection that the listener is
	// closing.
	acceptedIdleTimeout = 15 * time.Second
)

// Conn is one control connection; it is safe for concurrent use.
type Conn struct {
	rpc  *jsonrpc2.Conn
	peer Peer
	// lastReceivedNanos is the time of the last byte from the peer, in nanoseconds since the Unix epoch.
	lastReceivedNanos atomic.Int64
	now               func() time.Time
	keepalive         keepalive
}

// trackedConn records when bytes were last received and sets a deadline on each write, so that a black-holed peer can't block a
// caller for longer than silenceTimeout.
type trackedConn struct {
	net.Conn
	conn *Conn
}

// Read reads from the peer and records the time.
func (t trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.conn.lastReceivedNanos.Store(t.conn.now().UnixNano())
	}
	return n, err
}

// Write writes to the peer and fails after silenceTimeout.
func (t trackedConn) Write(b []byte) (int, error) {
	if err := t.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, err
	}
	return t.Conn.Write(b)
}

// newConn serves m on c. A connection of a pool closes after outgoingIdleTimeout without calls or notifications of its own, an
// accepted one after acceptedIdleTimeout without traffic from the peer.
func newConn(ctx context.Context, c net.Conn, m *Mux, peer Peer, accepted bool, now func() time.Time) *Conn {
	conn := &Conn{peer: peer, now: now}
	conn.lastReceivedNanos.Store(now().UnixNano())
	stream := jsonrpc2.NewBufferedStream(trackedConn{c, conn}, codec{})
	d := &dispatcher{mux: m, peer: peer, callSlots: make(chan struct{}, maxConcurrentCalls)}
	// Errors are returned to the callers; by default the library would also log each one.
	conn.rpc = jsonrpc2.NewConn(ctx, stream, d, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	conn.keepalive.start(conn, accepted)
	return conn
}

// Peer returns the other end of the connection.
func (c *Conn) Peer() Peer {
	return c.peer
}

// Closed returns a channel that is closed when the connection closes.
func (c *Conn) Closed() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Close closes the connection; calls in progress fail.
func (c *Conn) Close() {
	c.keepalive.stop()
	// The connection is unusable after Close, even if it returns an error.
	_ = c.rpc.Close()
}

// Call calls a method of the peer. If ctx has no deadline, the call times out after 3 s. If a call times out and no byte has
// arrived from the peer since it began, the connection is closed, so that the next call opens a new one.
func Call[P, R any](ctx context.Context, c *Conn, method string, p P) (R, error) {
	var result R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if err := c.call(ctx, method, p, &result); err != nil {
		return result, callError(method, c.peer.Address, err)
	}
	return result, nil
}

func (c *Conn) call(ctx context.Context, method string, params, result any) error {
	startNanos := c.now().UnixNano()
	c.keepalive.beginCall()
	defer c.keepalive.endCall()
	err := c.rpc.Call(ctx, method, params, result)
	// If the peer has sent anything since, the connection works and only the handler is slow; closing the connection would
	// fail its other calls.
	if errors.Is(err, context.DeadlineExceeded) && c.lastReceivedNanos.Load() <= startNanos {
		c.Close()
	}
	return err
}

// Notify sends a notification, which the peer doesn't acknowledge: a nil error does not mean that it was delivered.
func Notify[P any](ctx context.Context, c *Conn, method string, p P) error {
	c.keepalive.beforeNotify()
	if err := c.rpc.Notify(ctx, method, p); err != nil {
		return callError(method, c.peer.Address, err)
	}
	return nil
}

// remoteAddress returns the address of the other end, or the zero value if it is not an IP address and port.
func remoteAddress(c net.Conn) netip.AddrPort {
	addr, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

func dialError(addr netip.AddrPort, err error) error {
	return fmt.Errorf("messenger: connect to %s: %w", addr, err)
}
