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

// The faults of a proxy.
const (
	passing fault = iota
	// delaying holds each piece for a while.
	delaying
	// cutUp and cutDown hold the bytes of one direction until the fault ends.
	cutUp
	cutDown
	// silencing holds both directions, for good on the connections that are open; new ones work.
	silencing
	faults
)

const (
	proxyDelay = 80 * time.Millisecond
	proxyCheck = 10 * time.Millisecond
)

// proxy forwards TCP connections on loopback to a target.
type proxy struct {
	l      net.Listener
	target netip.AddrPort

	mu    sync.Mutex
	fault fault
	conns map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	a, b   net.Conn
	silent bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soakbencher: proxy: %w", err)
	}
	p := &proxy{l: l, target: target, conns: map[*link]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.l.Addr().String())
}

func (p *proxy) accept() {
	for {
		a, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.forward(a)
	}
}

func (p *proxy) forward(a net.Conn) {
	d := net.Dialer{Timeout: time.Second}
	b, err := d.DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		_ = a.Close()
		return
	}
	l := &link{a: a, b: b}
	p.mu.Lock()
	p.conns[l] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(l, b, a, cutUp); done <- struct{}{} }()
	go func() { p.copy(l, a, b, cutDown); done <- struct{}{} }()
	<-done
	_, _ = a.Close(), b.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, l)
	p.mu.Unlock()
}

// copy forwards one direction, which the fault cut holds.
func (p *proxy) copy(l *link, to, from net.Conn, cut fault) {
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
			if f == delaying {
				time.Sleep(proxyDelay)
			}
			if f != cut && !silent {
				break
			}
			time.Sleep(proxyCheck)
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

// set begins or ends a fault.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == silencing {
		p.fault = passing
		for l := range p.conns {
			l.silent = true
		}
	}
}

// reset resets the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		for _, c := range []net.Conn{l.a, l.b} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.conns)
}
