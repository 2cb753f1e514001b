package enginefaker

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

var errConnectionRefused = errors.New("connection refused")

// Network is an in-memory network whose connections can be cut or black-holed; it is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	connections map[string][]*connection
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, connections: map[string][]*connection{}}
}

// Listen returns a listener at an address and replaces an earlier one.
func (n *Network) Listen(a netip.AddrPort) net.Listener {
	l := &listener{address: a, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[a.String()] = l
	return l
}

// Dial connects to a listener.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refusedErr := &net.OpError{Op: "dial", Net: network, Err: errConnectionRefused}
	if l == nil {
		return nil, refusedErr
	}
	client, server := net.Pipe()
	c := &connection{client: client, server: server}
	select {
	case l.incoming <- endpoint{server, c}:
	case <-l.closed:
		return nil, refusedErr
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	n.mu.Lock()
	n.connections[address] = append(n.connections[address], c)
	n.mu.Unlock()
	return endpoint{client, c}, nil
}

// BlackHole drops all further data on the open connections to an address without closing them; new connections work.
func (n *Network) BlackHole(a netip.AddrPort) {
	for _, c := range n.removeConnections(a) {
		c.blackHoled.Store(true)
	}
}

// Cut closes the open connections to an address.
func (n *Network) Cut(a netip.AddrPort) {
	for _, c := range n.removeConnections(a) {
		// Close of a net.Pipe connection never fails.
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

func (n *Network) removeConnections(a netip.AddrPort) []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	connections := n.connections[a.String()]
	delete(n.connections, a.String())
	return connections
}

// connection holds both ends of one connection; blackHoled is set once its data is to be dropped.
type connection struct {
	client, server net.Conn
	blackHoled     atomic.Bool
}

// endpoint is one end of a connection.
type endpoint struct {
	net.Conn
	connection *connection
}

// Write passes b on, or discards it if the connection is black-holed.
func (e endpoint) Write(b []byte) (int, error) {
	if e.connection.blackHoled.Load() {
		return len(b), nil
	}
	return e.Conn.Write(b)
}

type listener struct {
	address  netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; open connections are kept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
