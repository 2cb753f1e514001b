package connector

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// dialTime bounds the opening of a connection; a lost first packet is sent again after 1 s, and another upstream serves sooner.
	dialTime = 700 * time.Millisecond
	// maxIdleTime bounds how long a kept connection waits for the next request if the upstream names no shorter time.
	maxIdleTime = 4 * time.Second
	// unackedTime is how long sent bytes may stay unacknowledged before the kernel ends the connection, so that a silent
	// one does not hang until the deadline of its request.
	unackedTime = 3 * time.Second
)

// Peer is an upstream at its address.
type Peer struct {
	Name    identifier.Upstream
	Address netip.AddrPort
}

// Pool keeps the connections to upstreams; it is safe for concurrent use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Now returns the current time.
	Now func() time.Time

	echo string

	mu   sync.Mutex
	idle map[Peer][]*conn
	open map[Peer]int

	dials, reuses, foreign, stale, failures atomic.Int64
}

// Option configures a Pool.
type Option func(*Pool)

// WithEcho names the header of a request that its response repeats.
func WithEcho(header string) Option {
	return func(p *Pool) { p.echo = header }
}

// WithDial replaces the opening of connections.
func WithDial(dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)) Option {
	return func(p *Pool) { p.Dial = dial }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(p *Pool) { p.Now = now }
}

// New returns an empty pool.
func New(opts ...Option) *Pool {
	d := &net.Dialer{Timeout: dialTime, KeepAlive: -1, Control: limitUnacked}
	p := &Pool{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address.String())
		},
		Now: time.Now, idle: map[Peer][]*conn{}, open: map[Peer]int{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// take returns a kept connection that was idle for at most maxIdle and has neither ended nor unread bytes, or nil.
func (p *Pool) take(peer Peer, maxIdle time.Duration) *conn {
	now := p.Now()
	for {
		p.mu.Lock()
		list := p.idle[peer]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		if now.Sub(c.idleSince) > maxIdle {
			p.mu.Unlock()
			return nil
		}
		p.idle[peer] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.quiet() {
			p.reuses.Add(1)
			return c
		}
		p.stale.Add(1)
		c.close()
	}
}

func (p *Pool) dial(ctx context.Context, peer Peer) (*conn, error) {
	p.dials.Add(1)
	nc, err := p.Dial(ctx, peer.Address)
	if err != nil {
		p.failures.Add(1)
		return nil, &Error{Step: "dial", Peer: peer, Err: err}
	}
	c := newConn(p, peer, nc)
	p.mu.Lock()
	p.open[peer]++
	p.mu.Unlock()
	return c, nil
}

func (p *Pool) put(c *conn) {
	c.idleSince = p.Now()
	c.idleUntil = c.idleSince.Add(c.keep)
	p.mu.Lock()
	p.idle[c.peer] = append(p.idle[c.peer], c)
	p.mu.Unlock()
}

func (p *Pool) closed(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[peer]--; p.open[peer] <= 0 {
		delete(p.open, peer)
	}
}

// OpenConnections returns the number of open connections to an upstream.
func (p *Pool) OpenConnections(peer Peer) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[peer]
}

// Sweep closes kept connections whose time is over, and all of the upstreams that keep does not hold.
func (p *Pool) Sweep(keep func(Peer) bool) {
	now := p.Now()
	var old []*conn
	p.mu.Lock()
	for peer, list := range p.idle {
		kept := keep(peer)
		list = slices.DeleteFunc(list, func(c *conn) bool {
			over := !kept || !now.Before(c.idleUntil)
			if over {
				old = append(old, c)
			}
			return over
		})
		if len(list) == 0 {
			delete(p.idle, peer)
		} else {
			p.idle[peer] = list
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Counters returns the totals since the start.
func (p *Pool) Counters() map[string]int64 {
	return map[string]int64{
		"dials": p.dials.Load(), "dial-failures": p.failures.Load(), "reuses": p.reuses.Load(),
		"foreign-responses": p.foreign.Load(), "stale-connections": p.stale.Load(),
	}
}
