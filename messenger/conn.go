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
	// callTime is the deadline of a call whose context has none.
	callTime = 3 * time.Second
	// idleAfter is the time without a call or notification after which a pool closes a connection.
	idleAfter = 10 * time.Second
	// abandonedAfter is the time without a byte after which a listener closes a connection. It is longer than idleAfter, so
	// that the end that calls closes first and no call meets a connection that is being closed.
	abandonedAfter = 15 * time.Second
)

// Conn is one control connection; it is safe for concurrent use.
type Conn struct {
	rpc  *jsonrpc2.Conn
	peer Peer
	// received holds the time of the last byte from the peer in nanoseconds.
	received atomic.Int64
	now      func() time.Time
	keeper   keeper
}

// link notes each received byte and bounds each write, so that a black-holed peer never blocks a caller for long.
type link struct {
	net.Conn
	conn *Conn
}

// Read reads from the peer.
func (l link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if n > 0 {
		l.conn.received.Store(l.conn.now().UnixNano())
	}
	return n, err
}

// Write writes to the peer within silentAfter.
func (l link) Write(b []byte) (int, error) {
	if err := l.SetWriteDeadline(time.Now().Add(silentAfter)); err != nil {
		return 0, err
	}
	return l.Conn.Write(b)
}

// newConn serves mux on c. The connection of a pool closes when its own calls are idle, an accepted one when its peer is.
func newConn(ctx context.Context, c net.Conn, m *Mux, peer Peer, accepted bool, now func() time.Time) *Conn {
	conn := &Conn{peer: peer, now: now}
	conn.received.Store(now().UnixNano())
	stream := jsonrpc2.NewBufferedStream(link{c, conn}, codec{})
	d := &dispatcher{mux: m, peer: peer, busy: make(chan struct{}, maxConcurrent)}
	// Errors reach the callers; the library would also print each one.
	conn.rpc = jsonrpc2.NewConn(ctx, stream, d, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	conn.keeper.start(conn, accepted)
	return conn
}

// Peer returns the other end.
func (c *Conn) Peer() Peer {
	return c.peer
}

// Closed returns a channel that is closed with the connection.
func (c *Conn) Closed() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Close closes the connection; calls in progress fail.
func (c *Conn) Close() {
	c.keeper.stop()
	// The connection is gone either way.
	_ = c.rpc.Close()
}

// Call calls a method of the peer. Without a deadline in ctx, the call ends after 3 s. A call that ends without a reply
// while nothing came from the peer closes the connection, so that the next one connects anew.
func Call[P, R any](ctx context.Context, c *Conn, method string, p P) (R, error) {
	var result R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTime)
		defer cancel()
	}
	if err := c.call(ctx, method, p, &result); err != nil {
		return result, callError(method, c.peer.Address, err)
	}
	return result, nil
}

func (c *Conn) call(ctx context.Context, method string, params, result any) error {
	begin := c.now().UnixNano()
	c.keeper.begin()
	defer c.keeper.end()
	err := c.rpc.Call(ctx, method, params, result)
	// After traffic from the peer the connection is sound and only the handler is slow; closing it would fail other calls.
	if errors.Is(err, context.DeadlineExceeded) && c.received.Load() <= begin {
		c.Close()
	}
	return err
}

// Notify sends a notification, to which there is no reply: a nil error does not mean that it arrived.
func Notify[P any](ctx context.Context, c *Conn, method string, p P) error {
	c.keeper.notified()
	if err := c.rpc.Notify(ctx, method, p); err != nil {
		return callError(method, c.peer.Address, err)
	}
	return nil
}

// addressOf returns the address of the other end, or the zero value for a connection without one.
func addressOf(c net.Conn) netip.AddrPort {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func dialError(a netip.AddrPort, err error) error {
	return fmt.Errorf("messenger: connect to %s: %w", a, err)
}
