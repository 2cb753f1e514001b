package soakbencher

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// fault is what a proxy does to the connections through it.
type fault int

// The faults of a proxy; a fault is drawn by its number.
const (
	faultNone fault = iota
	// faultDelay delays each chunk read by proxyDelay.
	faultDelay
	// faultBlockRequests and faultBlockResponses hold back the bytes of one direction until the fault ends.
	faultBlockRequests
	faultBlockResponses
	// faultSilence blocks both directions of the open connections for good; new connections work.
	faultSilence
	faultCount
)

const (
	proxyDelay        = 80 * time.Millisecond
	proxyPollInterval = 10 * time.Millisecond
	// proxyBuffer is the size of the buffers of a proxy's connections.
	proxyBuffer = 64 << 10
)

// proxy forwards TCP connections on loopback to a target.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	fault fault
	conns map[*proxyConn]bool
}

// proxyConn is one connection through a proxy; a silent one forwards nothing.
type proxyConn struct {
	client, target net.Conn
	silent         bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soakbencher: proxy: %w", err)
	}
	p := &proxy{listener: l, target: target, conns: map[*proxyConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	d := net.Dialer{Timeout: time.Second}
	target, err := d.DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	for _, c := range []net.Conn{client, target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Larger buffers would hide from an upstream that its response is not read. The kernel may choose other sizes.
			_, _ = tcp.SetReadBuffer(proxyBuffer), tcp.SetWriteBuffer(proxyBuffer)
		}
	}
	l := &proxyConn{client: client, target: target}
	p.mu.Lock()
	p.conns[l] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(l, target, client, faultBlockRequests); done <- struct{}{} }()
	go func() { p.copy(l, client, target, faultBlockResponses); done <- struct{}{} }()
	<-done
	_, _ = client.Close(), target.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, l)
	p.mu.Unlock()
}

// copy forwards one direction and holds it back during blockingFault.
func (p *proxy) copy(l *proxyConn, to, from net.Conn, blockingFault fault) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for {
			p.mu.Lock()
			f, silent, open := p.fault, l.silent, p.conns[l]
			p.mu.Unlock()
			if !open {
				return
			}
			if f == faultDelay {
				time.Sleep(proxyDelay)
			}
			if f != blockingFault && !silent {
				break
			}
			time.Sleep(proxyPollInterval)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// setFault begins a fault, or ends it with faultNone.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == faultSilence {
		p.fault = faultNone
		for l := range p.conns {
			l.silent = true
		}
	}
}

// resetConns closes the open connections with TCP resets.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		for _, c := range []net.Conn{l.client, l.target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.conns)
}
