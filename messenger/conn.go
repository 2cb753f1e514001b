package messenger

import (
	"context"
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
	// pingAfter is the time without traffic after which a connection is pinged.
	pingAfter = time.Second
	// silentAfter is the time without a byte from the peer after which a connection is closed.
	silentAfter = 3 * time.Second
	// callTime is the deadline of a call whose context has none.
	callTime = 3 * time.Second
	// idleAfter is the time without a call after which a pool closes a connection, to save its pings.
	idleAfter = 30 * time.Second
)

// Conn is one control connection; it is safe for concurrent use.
type Conn struct {
	rpc  *jsonrpc2.Conn
	peer Peer
	// received and called hold the time of the last byte from the peer and of the last call, in nanoseconds.
	received atomic.Int64
	called   atomic.Int64
	idle     time.Duration
	now      func() time.Time
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

// newConn serves mux on c and keeps it alive. A positive idle closes it after that time without an outgoing call.
func newConn(ctx context.Context, c net.Conn, m *Mux, peer Peer, idle time.Duration, now func() time.Time) *Conn {
	conn := &Conn{peer: peer, idle: idle, now: now}
	conn.received.Store(now().UnixNano())
	conn.called.Store(now().UnixNano())
	stream := jsonrpc2.NewBufferedStream(link{c, conn}, codec{})
	d := &dispatcher{mux: m, peer: peer, busy: make(chan struct{}, maxConcurrent)}
	// Errors reach the callers; the library would also print each one.
	conn.rpc = jsonrpc2.NewConn(ctx, stream, d, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	go conn.keepAlive()
	return conn
}

// keepAlive pings a quiet peer and closes the connection once it is silent or unused.
func (c *Conn) keepAlive() {
	ticker := time.NewTicker(pingAfter)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.rpc.DisconnectNotify():
			return
		}
		now := c.now().UnixNano()
		quiet := time.Duration(now - c.received.Load())
		unused := time.Duration(now - c.called.Load())
		if quiet >= silentAfter || c.idle > 0 && unused >= c.idle {
			c.Close()
			return
		}
		if quiet >= pingAfter {
			go c.ping()
		}
	}
}

func (c *Conn) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), silentAfter)
	defer cancel()
	// The reply itself counts as traffic; without one, keepAlive closes the connection.
	_ = c.rpc.Call(ctx, methodPing, struct{}{}, nil)
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
	// The connection is gone either way.
	_ = c.rpc.Close()
}

// Call calls a method of the peer. Without a deadline in ctx, the call ends after 3 s.
func Call[P, R any](ctx context.Context, c *Conn, method string, p P) (R, error) {
	var result R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTime)
		defer cancel()
	}
	c.called.Store(c.now().UnixNano())
	if err := c.rpc.Call(ctx, method, p, &result); err != nil {
		return result, callError(method, c.peer.Address, err)
	}
	return result, nil
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
