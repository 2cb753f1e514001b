package enginefaker

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

var errRefused = errors.New("connection refused")

// Network is a network in memory whose connections can be cut or black-holed; it is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[string][]*link
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, links: map[string][]*link{}}
}

// Listen returns a listener at an address, in place of a former one.
func (n *Network) Listen(a netip.AddrPort) net.Listener {
	l := &listener{address: a, accepted: make(chan net.Conn), closed: make(chan struct{})}
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
	refused := &net.OpError{Op: "dial", Net: network, Err: errRefused}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	k := &link{client: client, server: server}
	select {
	case l.accepted <- end{server, k}:
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	n.mu.Lock()
	n.links[address] = append(n.links[address], k)
	n.mu.Unlock()
	return end{client, k}, nil
}

// BlackHole drops all further data on the open connections to an address, without closing them; new ones work.
func (n *Network) BlackHole(a netip.AddrPort) {
	for _, k := range n.take(a) {
		k.silent.Store(true)
	}
}

// Cut closes the open connections to an address.
func (n *Network) Cut(a netip.AddrPort) {
	for _, k := range n.take(a) {
		// Closing a pipe never fails.
		_ = k.client.Close()
		_ = k.server.Close()
	}
}

func (n *Network) take(a netip.AddrPort) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := n.links[a.String()]
	delete(n.links, a.String())
	return links
}

// link is one connection; silent is set once its data is dropped.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

type end struct {
	net.Conn
	link *link
}

// Write passes b on, or drops it on a silent connection.
func (e end) Write(b []byte) (int, error) {
	if e.link.silent.Load() {
		return len(b), nil
	}
	return e.Conn.Write(b)
}

type listener struct {
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; open connections stay.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
